"""The change log's frames, and the same events as JSON in the configuration."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable, Iterator
from typing import Any

from grebeproxy.errors import GrebeproxyError
from grebeproxy.net.messages import BadFrameError, ChangeLogUpdate
from grebeproxy.policy.interface import Engine, EngineList, EngineState, ListKind, Settings

HEAD = struct.Struct(">IQB")
RECORD = struct.Struct(">IIHBBBHIQ")
AFTER_LENGTH = HEAD.size - 4
MAX_BYTES = AFTER_LENGTH + 16384 * RECORD.size
NOTHING, FULL, CHANGES = 0, 1, 2  # kinds of frame: a heartbeat, the full list, changes to it
PORT_LIMIT = 65536  # ports are below it, and above 0
STATES = (EngineState.UP, EngineState.DRAINING, EngineState.GONE)
STATE_NAMES = {"Ready": EngineState.UP, "Terminating": EngineState.DRAINING, "Gone": EngineState.GONE}

Clock = Callable[[int], float]  # a Unix millisecond on the module's clock


def hello(seq: int) -> bytes:
    """What a router writes first: the number of the last event it has."""
    return struct.pack(">Q", seq)


class Decoder:
    """Splits the stream into events, however the bytes are cut."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._clock, self._buffer = clock, bytearray()
        self.retune(settings)

    def retune(self, settings: Settings) -> None:
        """Go by these settings' lists of zones and kinds from the next event on."""
        self._zones, self._kinds = settings.zones, settings.kinds

    @property
    def partial(self) -> int:
        """Bytes of a frame that has begun and is not complete yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[ChangeLogUpdate]:
        """The events that these bytes complete."""
        self._buffer += data
        while len(self._buffer) >= HEAD.size:
            length, seq, kind = HEAD.unpack_from(self._buffer)
            complete_records = not (length - AFTER_LENGTH) % RECORD.size
            if not AFTER_LENGTH <= length <= MAX_BYTES or not complete_records or kind > CHANGES:
                raise BadFrameError(f"a frame of kind {kind} and length {length}")
            if len(self._buffer) < 4 + length:
                return
            records = bytes(self._buffer[HEAD.size : 4 + length])
            del self._buffer[: 4 + length]
            yield ChangeLogUpdate(seq) if kind == NOTHING else self._update(seq, kind, records)

    def _update(self, seq: int, kind: int, records: bytes) -> ChangeLogUpdate:
        engines, addresses = [], {}
        for number, host, port, state, zone, shape, cell, weight, started in RECORD.iter_unpack(records):
            if state >= len(STATES) or zone >= len(self._zones) or shape >= len(self._kinds):
                raise BadFrameError("a record with a state, zone or kind that is not known")
            engine = f"s-{number:08x}"
            addresses[engine] = (socket.inet_ntoa(host.to_bytes(4, "big")), port)
            engines.append(
                Engine(
                    engine,
                    self._kinds[shape].name,
                    self._zones[zone],
                    cell,
                    STATES[state],
                    self._clock(started) if started else None,
                    weight / 1000,
                )
            )
        how = ListKind.FULL if kind == FULL else ListKind.CHANGES
        return ChangeLogUpdate(seq, EngineList(how, tuple(engines), seq), addresses)


def known_events(known: dict[str, Any], clock: Clock) -> Iterator[ChangeLogUpdate]:
    """The events that the configuration holds, in order. Raises ValueError or KeyError naming the field."""
    for position, result in enumerate(known["results"]):
        fleet, seq = result["fleet"], int(result["seq"])
        engines, addresses = [], {}
        for entry in fleet["endpoints"]:
            addresses[entry["name"]] = host_and_port(entry["address"])
            started = int(entry.get("since_ms") or 0)
            engines.append(
                Engine(
                    entry["name"],
                    entry["type"],
                    entry["zone"],
                    int(entry.get("group", 0)),
                    STATE_NAMES[entry["status"]],
                    clock(started) if started else None,
                    float(entry.get("weight", 1.0)),
                )
            )
        full_list = fleet.get("snapshot") or not position  # the first event holds the full list
        how = ListKind.FULL if full_list else ListKind.CHANGES
        yield ChangeLogUpdate(seq, EngineList(how, tuple(engines), seq), addresses)


class AddressError(GrebeproxyError, ValueError):
    """An address that is not ``host:port`` with a port from 1 to 65535; a ValueError, as callers catch."""


def host_and_port(address: str) -> tuple[str, int]:
    """Splits ``host:port`` into the host, without brackets, and the port. Raises AddressError otherwise."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < PORT_LIMIT:
        raise AddressError(f"{address!r} is not host:port")
    return host.strip("[]"), int(port)
