"""A change log whose connections can be cut, silenced, or end in the middle of a frame."""

from __future__ import annotations

from grebeproxy.lab.scale.changelog_server import ChangeLog

HALF_FRAME_BYTES = 5  # bytes of a frame's length field and one byte of its content


class FaultyChangeLog(ChangeLog):
    """A change log that can break its open connections; new connections work normally."""

    def silence_all(self) -> None:
        """Send nothing more on the open connections, and leave them open."""
        for subscriber in list(self._subscribers):
            subscriber.stop_heartbeats()
            self.unsubscribe(subscriber)

    def cut_short_all(self) -> None:
        """Send the beginning of a frame on each connection, then reset it."""
        for subscriber in list(self._subscribers):
            subscriber.write(self.heartbeat()[:HALF_FRAME_BYTES])
            subscriber.close()
