"""The admin endpoint's protocol: one line, answered by one that starts with ``ACK`` or ``NAK``."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from grebeproxy.net.messages import (
    Active,
    BadFrameError,
    AdminCall,
    Standby,
    Status,
    MaintenanceOff,
    MaintenanceOn,
    UnknownCall,
)

MAX_BYTES = 256
PLAIN: dict[str, AdminCall] = {"status": Status(), "standby": Standby(), "active": Active()}
ON_ENGINES: dict[str, Callable[[str], AdminCall]] = {"maint-on": MaintenanceOn, "maint-off": MaintenanceOff}


class Decoder:
    """Splits the first line off, however the bytes are cut; what comes behind it is not looked at."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._called = False

    @property
    def partial(self) -> int:
        """Bytes of a call that has begun and is not whole yet."""
        return 0 if self._called else len(self._buffer)

    def feed(self, data: bytes) -> Iterator[AdminCall]:
        """The call, once its line is whole. Raises ``BadFrameError`` for a line that is too long."""
        if self._called:
            return
        self._buffer += data
        line, end, _ = self._buffer.partition(b"\n")
        if len(line) > MAX_BYTES:
            raise BadFrameError("a line that is too long")
        if end:
            self._called = True
            yield call(line.decode("ascii", "replace"))


def call(line: str) -> AdminCall:
    """What a line asks for."""
    match line.split():
        case [verb] if verb in PLAIN:
            return PLAIN[verb]
        case [verb, engine] if verb in ON_ENGINES:
            return ON_ENGINES[verb](engine)
    return UnknownCall()


def encode(done: bool, text: str) -> bytes:
    """The line of an answer."""
    return f"{'ACK' if done else 'NAK'} {text}\n".encode()
