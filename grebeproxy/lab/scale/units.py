"""Factors between units of time."""

US_PER_SECOND = 1e6
