"""The codec of datagrams between routers: a version, a keyed digest and a body in MessagePack.

    packet = version:1 digest:16 body        body = [instance, number, settings digest, payload]

The packet numbers of one process grow, and a receiver accepts each number once. The settings digest is a hash
of the settings that must be equal at all routers; a packet with another settings digest is rejected.
Version 1 has no settings digest. A body may have more fields than this version reads, because a later version
may add fields at its end.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b
from hmac import compare_digest
from typing import Any, NamedTuple

import msgpack

from grebeproxy.membership.model import MAX_NAME_BYTES, Fact, Kind, MembershipError, Message, State

VERSION = 2  # version of the packets that are sent
OLDEST_VERSION = 1  # lowest version that is accepted; any later one is
VERSION_WITHOUT_SETTINGS = 1
MAX_PACKET_BYTES = 1200  # low enough that networks do not fragment a packet
DIGEST_BYTES = 16  # length of the keyed digest
HEADER_BYTES = 1 + DIGEST_BYTES
MAX_NUMBER = 2**64 - 1
MAX_PORT = 65535
MAX_HOST_CHARACTERS = 64
MAX_FACTS = 16  # most facts accepted in one message
BODY_FIELDS = 4  # number of fields that this version reads of a body
SETTINGS_FIELD = 2  # index of the settings digest in the body
MESSAGE_FIELDS = 6  # number of fields that this version reads of a message
FACT_FIELDS = 7  # number of fields that this version reads of a fact
REPLAY_WINDOW = 1024  # a packet may be late by fewer packet numbers than this
MAX_SENDERS = 4096  # processes whose packet numbers are remembered, the most recently heard ones


class RejectReason(StrEnum):
    """Why a packet or payload was rejected. The values appear in the log."""

    WRONG_LENGTH = "wrong_length"
    UNSUPPORTED_VERSION = "unsupported_version"
    WRONG_KEY = "wrong_key"
    MALFORMED = "malformed"
    SETTINGS_MISMATCH = "settings_mismatch"  # the sender is configured differently
    REPLAYED = "replayed"  # the packet number was seen before, or is too old to tell


class WireError(MembershipError):
    """Base class of the codec's errors."""


class PacketTooLongError(WireError):
    """A packet to be sent would be longer than ``MAX_PACKET_BYTES``."""

    def __init__(self, length: int) -> None:
        super().__init__(f"a packet of {length} bytes is longer than {MAX_PACKET_BYTES}")


class PacketRejectedError(WireError):
    """A received packet or payload is not accepted. The error's text is the value of ``reason``."""

    def __init__(self, reason: RejectReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


class PacketBody(NamedTuple):
    """The body of a packet, in the order of its fields on the wire."""

    instance: int  # instance of the sending process
    number: int
    settings_digest: int
    payload: Any  # plain values, which the codec of the payload's kind reads


class PacketCodec:
    """Seals the packets that one process sends, and opens the packets that it receives.

    All routers of a fleet share ``key`` and have the same ``settings_digest``.
    """

    def __init__(self, key: bytes, instance: int, settings_digest: int) -> None:
        self._key = key
        self._instance = instance
        self._settings_digest = settings_digest
        self._number = 0
        self._windows: OrderedDict[int, ReplayWindow] = OrderedDict()

    def seal(self, payload: object) -> bytes:
        """Return a packet with this payload. Raises ``PacketTooLongError`` if it is too long."""
        self._number += 1
        body: bytes = msgpack.packb([self._instance, self._number, self._settings_digest, payload])
        packet = bytes([VERSION]) + self._digest(VERSION, body) + body
        if len(packet) > MAX_PACKET_BYTES:
            raise PacketTooLongError(len(packet))
        return packet

    def open(self, packet: bytes) -> Any:
        """Return the payload of a packet that was sealed with the key and arrives for the first time.

        Raises ``PacketRejectedError`` for any other packet.
        """
        body = self._read_body(packet)
        if not _is_natural(body.instance) or not _is_natural(body.number):
            raise PacketRejectedError(RejectReason.MALFORMED)
        if body.settings_digest != self._settings_digest:
            raise PacketRejectedError(RejectReason.SETTINGS_MISMATCH)
        if not self._window(body.instance).accept(body.number):
            raise PacketRejectedError(RejectReason.REPLAYED)
        return body.payload

    def _read_body(self, packet: bytes) -> PacketBody:
        if len(packet) > MAX_PACKET_BYTES or len(packet) <= HEADER_BYTES:
            raise PacketRejectedError(RejectReason.WRONG_LENGTH)
        version = packet[0]
        if version < OLDEST_VERSION:
            raise PacketRejectedError(RejectReason.UNSUPPORTED_VERSION)
        body = packet[HEADER_BYTES:]
        if not compare_digest(packet[1:HEADER_BYTES], self._digest(version, body)):
            raise PacketRejectedError(RejectReason.WRONG_KEY)
        try:
            fields: list[Any] = msgpack.unpackb(body)
            if version == VERSION_WITHOUT_SETTINGS:
                fields.insert(SETTINGS_FIELD, self._settings_digest)
            return PacketBody(*fields[:BODY_FIELDS])
        except (AttributeError, ValueError, TypeError, msgpack.UnpackException):
            raise PacketRejectedError(RejectReason.MALFORMED) from None

    def _digest(self, version: int, body: bytes) -> bytes:
        return blake2b(bytes([version]) + body, key=self._key, digest_size=DIGEST_BYTES).digest()

    def _window(self, instance: int) -> ReplayWindow:
        window = self._windows.setdefault(instance, ReplayWindow())
        self._windows.move_to_end(instance)
        if len(self._windows) > MAX_SENDERS:
            self._windows.popitem(last=False)
        return window


@dataclass(slots=True)
class ReplayWindow:
    """The packet numbers of one sender that have arrived, for replay protection."""

    highest: int = 0
    seen: int = 0  # bit set of the last ``REPLAY_WINDOW`` numbers; the lowest bit stands for ``highest``

    def accept(self, number: int) -> bool:
        """Record a number. Return False if it has arrived before or is too old to tell."""
        if number > self.highest:
            shift = min(REPLAY_WINDOW, number - self.highest)
            self.seen = (self.seen << shift | 1) & ((1 << REPLAY_WINDOW) - 1)
            self.highest = number
            return True
        age = self.highest - number
        if age >= REPLAY_WINDOW:
            return False
        bit = 1 << age
        if self.seen & bit:
            return False
        self.seen |= bit
        return True


# --- messages


def pack_message(message: Message) -> list[object]:
    """Return a message as plain values for MessagePack, in the order of the fields on the wire."""
    return [
        int(message.kind),
        _pack_fact(message.sender),
        message.number,
        message.target,
        message.digest,
        [_pack_fact(fact) for fact in message.facts],
    ]


def unpack_message(payload: object) -> Message:
    """Return the message in a payload. Raises ``PacketRejectedError`` if the payload is malformed."""
    try:
        kind, sender, number, target, digest, facts = payload[:MESSAGE_FIELDS]  # type: ignore[index]
        _require(isinstance(facts, list) and len(facts) <= MAX_FACTS)
        return Message(
            Kind(kind),
            _unpack_fact(sender),
            _checked_natural(number),
            _checked_name_or_empty(target),
            _checked_natural(digest),
            tuple(_unpack_fact(fact) for fact in facts),
        )
    except (ValueError, TypeError, KeyError, AttributeError):
        raise PacketRejectedError(RejectReason.MALFORMED) from None


def _pack_fact(fact: Fact) -> list[object]:
    return [fact.name, *fact.address, fact.instance, fact.incarnation, int(fact.state), fact.suspected_by]


def _unpack_fact(fields: Any) -> Fact:
    name, host, port, instance, incarnation, state, suspected_by = fields[:FACT_FIELDS]
    _require(isinstance(host, str) and 1 <= len(host) <= MAX_HOST_CHARACTERS)
    _require(_is_natural(port) and 1 <= port <= MAX_PORT)
    return Fact(
        _checked_name(name),
        (host, port),
        _checked_natural(instance),
        _checked_natural(incarnation),
        State(state),
        _checked_name_or_empty(suspected_by),
    )


def _checked_name(value: object) -> str:
    _require(value != "")
    return _checked_name_or_empty(value)


def _checked_name_or_empty(value: object) -> str:
    if not isinstance(value, str) or len(value.encode()) > MAX_NAME_BYTES:
        raise PacketRejectedError(RejectReason.MALFORMED)
    return value


def _checked_natural(value: object) -> int:
    if not isinstance(value, int) or not _is_natural(value):
        raise PacketRejectedError(RejectReason.MALFORMED)
    return value


def _is_natural(value: object) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value <= MAX_NUMBER


def _require(valid: bool) -> None:
    if not valid:
        raise PacketRejectedError(RejectReason.MALFORMED)
