"""Simulation of ways to give each router a subset of the engines; the findings are in ``docs/SUBSETS.md``."""
