"""Runs of many routers and engines on one machine."""
