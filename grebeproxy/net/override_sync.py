"""Keeps what operators set by hand alike in the processes of one router, by way of a file."""

from __future__ import annotations

from collections.abc import Callable

from grebeproxy.net import events, manual_overrides
from grebeproxy.net.override_file import POLL_INTERVAL, OverrideFile
from grebeproxy.net.timers import LoopTimers


class OverrideSync:
    """Reports what another process has written to the file, and writes what this one knows."""

    def __init__(
        self,
        file: OverrideFile,
        timers: LoopTimers,
        feed: Callable[[events.Event], None],
        log: Callable[[str], None],
    ) -> None:
        self._file, self._timers, self._feed, self._log = file, timers, feed, log

    def poll(self) -> None:
        """Read the file where it has changed, now and ever again."""
        try:
            calls = self._file.read()
            if calls is not None:
                self._feed(events.OverridesRead(calls))
        except (OSError, manual_overrides.OverrideFileError) as error:
            self._log(f"{self._file.path.name}: not used: {error}")
        self._timers.call_later(POLL_INTERVAL, self.poll)

    def save(self, calls: manual_overrides.Calls) -> None:
        """Write the calls for the other processes."""
        try:
            self._file.write(calls)
        except OSError as error:  # in force all the same, but not known to another process
            self._log(f"{self._file.path.name}: not written: {error}")
