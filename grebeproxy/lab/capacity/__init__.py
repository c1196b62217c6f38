"""Renders and checks the capacity page, which compares fitted measurements with budgets."""
