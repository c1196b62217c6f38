"""The capacity page: recorded measurements, fitted slopes, budgets, and the check that they agree."""
