"""Measurements of the project at the expected fleet size; the product never imports this package."""
