"""Simulates schemes that assign each router a subset of the engines; ``docs/SUBSETS.md`` has the findings."""
