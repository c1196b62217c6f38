"""Signals that come while the program starts."""

from __future__ import annotations

import signal

HANDLED = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


def hold() -> None:
    """Keep the signals that the program handles pending until ``release``: by default they would end it."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED)


def release() -> None:
    """Deliver them from now on, those that came meanwhile at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED)
