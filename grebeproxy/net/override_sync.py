"""Keeps the manual overrides of one router's processes alike, through a file."""

from __future__ import annotations

from collections.abc import Callable

from grebeproxy.net import events, manual_overrides
from grebeproxy.net.log_line import log_line
from grebeproxy.net.override_file import POLL_INTERVAL, OverrideFile
from grebeproxy.net.timers import LoopTimers


class OverrideSync:
    """Reports the calls that another process wrote to the file, and writes those of this one."""

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
        """Read the file where it has changed, now and every ``POLL_INTERVAL``."""
        try:
            calls = self._file.read()
            if calls is not None:
                self._feed(events.OverridesRead(calls))
        except (OSError, manual_overrides.OverrideFileError) as error:
            self._log(log_line("router.overrides.rejected", file=self._file.path.name, error=error))
        self._timers.call_later(POLL_INTERVAL, self.poll)

    def save(self, calls: manual_overrides.Calls) -> None:
        """Write the calls for the other processes."""
        try:
            self._file.write(calls)
        except OSError as error:  # in force in this process all the same
            self._log(log_line("router.overrides.write_failed", file=self._file.path.name, error=error))
