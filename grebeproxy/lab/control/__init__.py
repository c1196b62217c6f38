"""The control part of many routers on one simulated clock: messages, bytes, processor time and memory."""
