"""Measurements of the project at the size that the fleet grows to; the product never imports this package."""
