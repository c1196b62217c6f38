"""Decodes the input of all connections in turns, so that no connection can occupy the event loop.

A connection whose input is not decoded yet is not read from meanwhile. This bounds the memory for input, and
the sender notices that its writes are no longer accepted.
"""

from __future__ import annotations

from collections import deque
from typing import Protocol

from grebeproxy.net.timers import LoopTimers

READ_BYTES = 16 * 1024  # read from a connection at once
# Most messages count 1. A client that keeps its limit of 32 open requests, and cancels all of them, has no
# more undecoded messages than this.
COST_PER_CONNECTION = 64
# Limits of one turn of the event loop, for all connections together.
COST_PER_TURN = 256
BYTES_PER_TURN = 512 * 1024
TIME_PER_TURN = 0.010  # seconds
BACKLOG_INTERVAL = 0.010  # seconds between two turns of the backlog
BACKLOG_COST_PER_TURN = 32  # of all connections in the backlog together


class QueuedInput(Protocol):
    """A connection with input that may not be decoded yet."""

    @property
    def has_priority(self) -> bool:
        """Whether its input is decoded before that of connections without priority."""

    @property
    def is_excessive(self) -> bool:
        """Whether it has sent so much that its input belongs to the backlog."""

    @property
    def has_undecoded_input(self) -> bool:
        """Whether input may be left that is not decoded yet."""

    def decode(self, limit: int) -> int:
        """Decode messages that together cost at most ``limit``, and return their cost."""

    def pause_reading(self) -> None:
        """Stop reading from the socket."""

    def resume_reading(self) -> None:
        """Read from the socket again."""

    def has_departed(self) -> bool:
        """Whether the peer has closed or reset its side, which voids input that is not decoded yet."""

    def peer_departed(self) -> None:
        """End the connection: its peer has closed it behind input that is not decoded yet."""

    def input_queued(self) -> None:
        """Called when input waits to be decoded because the input of other connections comes first."""

    def report_backlog(self) -> None:
        """Log that the connection's input is delayed."""


class Turn:
    """What is left of the limits of one turn of the event loop that began at ``began_at``."""

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        self.cost_left = COST_PER_TURN
        self.bytes_left = BYTES_PER_TURN

    def allowance(self, now: float) -> int:
        """The cost of the messages that may still be decoded; 0 once a limit is reached."""
        if self.bytes_left < 0 or now >= self.began_at + TIME_PER_TURN:
            return 0
        return max(0, self.cost_left)


class InputQueue:
    """Gives each connection its turn to decode input.

    Connections that wait because others came first are served in the next turn of the event loop, those with
    priority before the others. Those that are excessive, or have no priority and have sent more than
    ``COST_PER_CONNECTION`` at once, form the backlog. It is served once per ``BACKLOG_INTERVAL``, which
    leaves CPU time to others.
    """

    def __init__(self, timers: LoopTimers) -> None:
        self.buffer = memoryview(bytearray(READ_BYTES))  # shared, because each read is copied from it at once
        self._timers = timers
        self._turn = Turn(timers.now())
        self._turn_scheduled = False
        self._backlog_scheduled = False
        self._waiting_with_priority: deque[QueuedInput] = deque()
        self._waiting: deque[QueuedInput] = deque()
        self._backlog: deque[QueuedInput] = deque()
        self._held: set[QueuedInput] = set()  # all connections that are not read from

    def __len__(self) -> int:
        """The number of connections with input that waits to be decoded."""
        return len(self._held)

    @property
    def has_waiting(self) -> bool:
        """Whether input is waiting that belongs to the current turn; the backlog does not."""
        return bool(self._waiting_with_priority or self._waiting)

    def received(self, connection: QueuedInput, size: int) -> None:
        """Decode the ``size`` bytes that a connection has received, or queue the connection."""
        if connection in self._held:
            return
        if connection.is_excessive:
            self._add_to_backlog(connection)
            return
        if not self._turn_scheduled:
            self._turn = Turn(self._timers.now())
        self._schedule_turn()
        self._turn.bytes_left -= size
        self._serve(connection, self._turn.allowance(self._timers.now()))

    def remove(self, connection: QueuedInput) -> bool:
        """Forget a connection whose input is no longer needed; return whether its reading was paused."""
        if connection not in self._held:
            return False
        for connections in (self._waiting_with_priority, self._waiting, self._backlog):
            if connection in connections:
                connections.remove(connection)
        self._held.discard(connection)
        return True

    def end_departed(self) -> None:
        """End the queued connections whose peers have left: their input must have no effect any more."""
        for connection in [connection for connection in self._held if connection.has_departed()]:
            connection.peer_departed()

    # --- turns

    def _schedule_turn(self) -> None:
        if not self._turn_scheduled:
            self._turn_scheduled = True
            self._timers.call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        """Begin a turn: serve the connections that wait, in order."""
        self._turn_scheduled = False
        self._turn = Turn(self._timers.now())
        self.end_departed()
        self._serve_waiting(self._waiting_with_priority)
        if self._waiting:  # At least one of them is served in each turn.
            self._serve_again(self._waiting.popleft(), COST_PER_CONNECTION)
        self._serve_waiting(self._waiting)
        if self.has_waiting:
            self._schedule_turn()

    def _serve_waiting(self, connections: deque[QueuedInput]) -> None:
        """Serve the connections that are waiting now, in order, within the limits of the turn."""
        for _ in range(len(connections)):
            allowance = self._turn.allowance(self._timers.now())
            if not allowance or not connections:  # Serving one connection may end others.
                return
            self._turn.bytes_left -= READ_BYTES
            self._serve_again(connections.popleft(), allowance)

    def _schedule_backlog(self) -> None:
        if not self._backlog_scheduled:
            self._backlog_scheduled = True
            self._timers.call_later(BACKLOG_INTERVAL, self._serve_backlog)

    def _serve_backlog(self) -> None:
        self._backlog_scheduled = False
        self.end_departed()
        left = BACKLOG_COST_PER_TURN
        for _ in range(len(self._backlog)):
            if left <= 0 or not self._backlog:  # Serving one connection may end others.
                break
            left -= self._serve_again(self._backlog.popleft(), left, is_backlog=True)
        if self._backlog:
            self._schedule_backlog()

    def _serve_again(self, connection: QueuedInput, limit: int, *, is_backlog: bool = False) -> int:
        """Serve a connection that was taken from a queue; read from it again if nothing is left."""
        cost = self._serve(connection, limit, is_backlog=is_backlog)
        if not connection.has_undecoded_input:
            self._held.discard(connection)
            connection.resume_reading()
        return cost

    def _serve(self, connection: QueuedInput, limit: int, *, is_backlog: bool = False) -> int:
        """Decode messages that cost up to ``limit``, and queue the connection if it may have more."""
        allowed = min(limit, COST_PER_CONNECTION)
        cost = connection.decode(allowed)
        self._turn.cost_left -= cost
        if not connection.has_undecoded_input:
            return cost
        has_used_its_turn = allowed == COST_PER_CONNECTION and not connection.has_priority
        if is_backlog or has_used_its_turn or connection.is_excessive:
            self._add_to_backlog(connection)
        else:
            (self._waiting_with_priority if connection.has_priority else self._waiting).append(connection)
            self._schedule_turn()
            self._hold(connection)
        return cost

    def _add_to_backlog(self, connection: QueuedInput) -> None:
        if connection not in self._held:
            connection.report_backlog()
        self._backlog.append(connection)
        self._schedule_backlog()
        self._hold(connection)

    def _hold(self, connection: QueuedInput) -> None:
        """Stop reading from a queued connection."""
        connection.input_queued()
        if connection not in self._held:
            self._held.add(connection)
            connection.pause_reading()
