"""Measures the control code of many routers on one simulated clock: packets, bytes, CPU time and memory."""
