"""Decoding of the change log's events, from binary frames and from JSON in the configuration."""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

from grebeproxy.errors import GrebeproxyError
from grebeproxy.net.engine_id import engine_id_from_number, engine_id_from_text
from grebeproxy.net.events import Address
from grebeproxy.net.messages import BadFrameError, ChangeLogUpdate
from grebeproxy.policy.interface import Engine, EngineList, EngineState, ListKind, Settings

if TYPE_CHECKING:  # imports for types only would slow down each start
    from grebeproxy.net.known_fields import EngineEntry, KnownEvents

HEAD = struct.Struct(">IQB")  # length of the rest of the frame, sequence number, kind of frame
RECORD = struct.Struct(">IIHBBBHIQ")  # one engine; ``Decoder._decode_update`` names the fields
LENGTH_BYTES = 4  # size of the length field, which a frame's length does not include
AFTER_LENGTH = HEAD.size - LENGTH_BYTES
MAX_RECORDS = 16384  # records in one frame, one for each engine
MAX_BYTES = AFTER_LENGTH + MAX_RECORDS * RECORD.size  # largest frame, without its length field
WEIGHT_SCALE = 1000  # the encoding of a weight of 1
HEARTBEAT, FULL, CHANGES = 0, 1, 2  # kinds of frame; changes apply to the list before
PORT_LIMIT = 65536  # ports are above 0 and below this
STATES = (EngineState.UP, EngineState.DRAINING, EngineState.GONE)
STATE_NAMES = {"Ready": EngineState.UP, "Terminating": EngineState.DRAINING, "Gone": EngineState.GONE}

Clock = Callable[[int], float]  # converts a Unix time in milliseconds to the decision module's clock


def hello(seq: int) -> bytes:
    """Encode a router's subscription: the sequence number of the last event that it has received."""
    return struct.pack(">Q", seq)


class Decoder:
    """Decodes a byte stream into events, however the stream is split."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._clock = clock
        self._buffer = bytearray()
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Use the zones and kinds of these settings from the next event on."""
        self._zones = settings.zones
        self._kinds = settings.kinds

    @property
    def partial(self) -> int:
        """The number of buffered bytes of a frame that is not complete yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[ChangeLogUpdate]:
        """Yield the events that these bytes complete. Raises ``BadFrameError``."""
        self._buffer += data
        while len(self._buffer) >= HEAD.size:
            length, seq, kind = HEAD.unpack_from(self._buffer)
            complete_records = not (length - AFTER_LENGTH) % RECORD.size
            if not AFTER_LENGTH <= length <= MAX_BYTES or not complete_records or kind > CHANGES:
                raise BadFrameError(f"a frame of kind {kind} and length {length}")
            end = LENGTH_BYTES + length
            if len(self._buffer) < end:
                return
            records = bytes(self._buffer[HEAD.size : end])
            del self._buffer[:end]
            yield ChangeLogUpdate(seq) if kind == HEARTBEAT else self._decode_update(seq, kind, records)

    def _decode_update(self, seq: int, kind: int, records: bytes) -> ChangeLogUpdate:
        engines: list[Engine] = []
        addresses: dict[str, Address] = {}
        for number, host, port, state, zone, kind_index, cell, weight, started in RECORD.iter_unpack(records):
            if state >= len(STATES) or zone >= len(self._zones) or kind_index >= len(self._kinds):
                raise BadFrameError("a record with an unknown state, zone or kind")
            engine = engine_id_from_number(number)
            addresses[engine] = (socket.inet_ntoa(host.to_bytes(4, "big")), port)
            engines.append(
                Engine(
                    id=engine,
                    kind=self._kinds[kind_index].name,
                    zone=self._zones[zone],
                    cell=cell,
                    state=STATES[state],
                    started=self._clock(started) if started else None,
                    weight=weight / WEIGHT_SCALE,
                )
            )
        list_kind = ListKind.FULL if kind == FULL else ListKind.CHANGES
        return ChangeLogUpdate(seq, EngineList(list_kind, tuple(engines), seq), addresses)


def known_events(known: KnownEvents, clock: Clock) -> Iterator[ChangeLogUpdate]:
    """Yield the events in the configuration, in order. Raises ValueError or KeyError naming the field."""
    for position, result in enumerate(known["results"]):
        known_list = result["fleet"]
        seq = int(result["seq"])
        engines: list[Engine] = []
        addresses: dict[str, Address] = {}
        for entry in known_list["endpoints"]:
            addresses[engine_id_from_text(entry["name"])] = host_and_port(entry["address"])
            engines.append(_known_engine(entry, clock))
        full_list = known_list["snapshot"] or not position  # the first event holds the full list
        list_kind = ListKind.FULL if full_list else ListKind.CHANGES
        yield ChangeLogUpdate(seq, EngineList(list_kind, tuple(engines), seq), addresses)


def _known_engine(entry: EngineEntry, clock: Clock) -> Engine:
    started_ms = int(entry["since_ms"])
    return Engine(
        id=engine_id_from_text(entry["name"]),
        kind=entry["type"],
        zone=entry["zone"],
        cell=int(entry["group"]),
        state=STATE_NAMES[entry["status"]],
        started=clock(started_ms) if started_ms else None,
        weight=float(entry["weight"]),
    )


class AddressError(GrebeproxyError, ValueError):
    """An address that is not ``host:port`` with a port from 1 to 65535; callers catch it as a ValueError."""


def host_and_port(address: str) -> Address:
    """Split ``host:port`` into the host without brackets and the port. Raises ``AddressError``."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < PORT_LIMIT:
        raise AddressError(f"{address!r} is not host:port")
    return host.strip("[]"), int(port)
