"""The admin endpoint's protocol: a call is one line, and so is its answer, with ``ACK`` or ``NAK`` first."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from grebeproxy.net.engine_id import engine_id_from_text
from grebeproxy.net.messages import (
    Active,
    AdminCall,
    BadFrameError,
    MaintenanceOff,
    MaintenanceOn,
    Standby,
    Status,
    UnknownCall,
)

MAX_LINE_BYTES = 256
ROUTER_CALLS: dict[str, AdminCall] = {"status": Status(), "standby": Standby(), "active": Active()}
ENGINE_CALLS: dict[str, Callable[[str], AdminCall]] = {"maint-on": MaintenanceOn, "maint-off": MaintenanceOff}


class Decoder:
    """Decodes the first line of a byte stream, however the stream is split; later input is ignored."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._decoded = False  # whether the connection's only call has been decoded

    @property
    def partial(self) -> int:
        """The number of buffered bytes of a call that is not complete yet."""
        return 0 if self._decoded else len(self._buffer)

    def feed(self, data: bytes) -> Iterator[AdminCall]:
        """Yield the call once its line is complete. Raises ``BadFrameError`` for a line that is too long."""
        if self._decoded:
            return
        self._buffer += data
        line, end, _ = self._buffer.partition(b"\n")
        if len(line) > MAX_LINE_BYTES:
            raise BadFrameError("a line that is too long")
        if end:
            self._decoded = True
            yield _decode_call(line.decode("ascii", "replace"))


def _decode_call(line: str) -> AdminCall:
    match line.split():
        case [verb] if verb in ROUTER_CALLS:
            return ROUTER_CALLS[verb]
        case [verb, engine] if verb in ENGINE_CALLS:
            return ENGINE_CALLS[verb](engine_id_from_text(engine))
    return UnknownCall()


def encode(done: bool, text: str) -> bytes:
    """Encode the line of an answer."""
    return f"{'ACK' if done else 'NAK'} {text}\n".encode()
