"""Synchronizes manual overrides between the processes of one router through a file."""

from __future__ import annotations

from collections.abc import Callable

from grebeproxy.net import events, manual_overrides
from grebeproxy.net.log_line import log_line
from grebeproxy.net.override_file import POLL_INTERVAL, OverrideFile
from grebeproxy.net.timers import LoopTimers


class OverrideSync:
    """Reports the calls that other processes wrote to the file, and writes the calls of this process."""

    def __init__(
        self,
        file: OverrideFile,
        timers: LoopTimers,
        feed: Callable[[events.Event], None],
        log: Callable[[str], None],
    ) -> None:
        self._file = file
        self._timers = timers
        self._feed = feed
        self._log = log

    def poll(self) -> None:
        """Read the file if it has changed, now and every ``POLL_INTERVAL`` seconds."""
        try:
            calls = self._file.read()
            if calls is not None:
                self._feed(events.OverridesRead(calls))
        except (OSError, manual_overrides.OverrideFileError) as error:
            self._log(log_line("router.overrides.rejected", file=self._file.path.name, error=error))
        self._timers.call_later(POLL_INTERVAL, self.poll)

    def save(self, calls: manual_overrides.Calls) -> None:
        """Write the calls to the file for the other processes."""
        try:
            self._file.write(calls)
        except OSError as error:  # The calls are in force in this process even if the write fails.
            self._log(log_line("router.overrides.write_failed", file=self._file.path.name, error=error))
