"""Blocks signals while the program starts."""

from __future__ import annotations

import signal

HANDLED = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


def block() -> None:
    """Keep handled signals pending until ``unblock``; their default action would end the program."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)


def unblock() -> None:
    """Deliver pending signals now, and further ones as they arrive."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)
