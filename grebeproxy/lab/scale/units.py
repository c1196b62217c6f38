"""Factors between units of time."""

MS_PER_SECOND = 1000
US_PER_SECOND = 1e6
