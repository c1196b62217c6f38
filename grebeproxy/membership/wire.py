"""Datagrams: a version, a keyed digest, and the rest in MessagePack; nothing that came before is taken again.

    packet = version:1 digest:16 body        body = [instance, number, mark, payload]

``mark`` stands for what all routers have to be configured alike; a packet with another one is not taken.
Version 1 had no mark. A body may be longer than what is read here: a later version may add to its end.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from hashlib import blake2b
from hmac import compare_digest
from typing import Any

import msgpack

from grebeproxy.membership.model import Fact, Kind, MembershipError, Message, State

VERSION, OLDEST = 2, 1
MAX_BYTES = 1200  # of a packet, so that it crosses any network whole
DIGEST = 16
MAX_NUMBER = 2**64 - 1
MAX_NAME, MAX_HOST, MAX_FACTS = 32, 64, 16
WINDOW = 1024  # packets by which one may be late
MAX_SENDERS = 4096  # processes whose packets are counted; the latest heard stay


class WireError(MembershipError):
    """A packet that is not taken; the text gives the reason."""


class Sealed:
    """Seals and opens packets for one process. ``key`` is shared by all routers of a fleet."""

    def __init__(self, key: bytes, instance: int, mark: int) -> None:
        self._key, self._instance, self._mark, self._number = key, instance, mark, 0
        self._windows: OrderedDict[int, Window] = OrderedDict()

    def seal(self, payload: object) -> bytes:
        """One packet. Raises ``WireError`` where it would not fit."""
        self._number += 1
        body: bytes = msgpack.packb([self._instance, self._number, self._mark, payload])
        packet = bytes([VERSION]) + self._digest(VERSION, body) + body
        if len(packet) > MAX_BYTES:
            raise WireError(f"a packet of {len(packet)} bytes")
        return packet

    def open(self, packet: bytes) -> Any:
        """The payload of a packet that nobody else has made, and that comes for the first time."""
        if len(packet) > MAX_BYTES or len(packet) <= 1 + DIGEST:
            raise WireError("of a length that cannot be")
        version, body = packet[0], packet[1 + DIGEST :]
        if version < OLDEST:
            raise WireError(f"of version {version}")
        if not compare_digest(packet[1 : 1 + DIGEST], self._digest(version, body)):
            raise WireError("made with another key")
        try:
            fields: list[Any] = msgpack.unpackb(body)
            if version == 1:  # had no mark
                fields.insert(2, self._mark)
            instance, number, mark, payload = fields[:4]
        except (AttributeError, ValueError, TypeError, msgpack.UnpackException):
            raise WireError("not understood") from None
        if not _natural(instance) or not _natural(number):
            raise WireError("not understood")
        if mark != self._mark:
            raise WireError("from a router that is configured otherwise")
        if not self._window(instance).take(number):
            raise WireError("come before")
        return payload

    def _digest(self, version: int, body: bytes) -> bytes:
        return blake2b(bytes([version]) + body, key=self._key, digest_size=DIGEST).digest()

    def _window(self, instance: int) -> Window:
        window = self._windows.setdefault(instance, Window())
        self._windows.move_to_end(instance)
        if len(self._windows) > MAX_SENDERS:
            self._windows.popitem(last=False)
        return window


@dataclass(slots=True)
class Window:
    """Which numbers of one sender have come."""

    highest: int = 0
    seen: int = 0  # a bit for each of the latest numbers, the lowest for the highest one

    def take(self, number: int) -> bool:
        """Tell whether a number comes for the first time and is not too late."""
        if number > self.highest:
            self.seen = (self.seen << min(WINDOW, number - self.highest) | 1) & ((1 << WINDOW) - 1)
            self.highest = number
            return True
        bit = 1 << (self.highest - number)
        if self.highest - number >= WINDOW or self.seen & bit:
            return False
        self.seen |= bit
        return True


def packed(message: Message) -> list[object]:
    """A message as what MessagePack can write."""
    return [
        int(message.kind),
        _packed_fact(message.sender),
        message.number,
        message.target,
        message.digest,
        [_packed_fact(fact) for fact in message.facts],
    ]


def unpacked(payload: object) -> Message:
    """The message in a payload. Raises ``WireError`` for one that cannot be."""
    try:
        kind, sender, number, target, digest, facts = payload[:6]  # type: ignore[index]
        if not isinstance(facts, list) or len(facts) > MAX_FACTS:
            raise WireError("not understood")
        if not _natural(number) or not _natural(digest):
            raise WireError("not understood")
        return Message(
            Kind(kind),
            _fact(sender),
            number,
            _name(target, empty=True),
            digest,
            tuple(_fact(fact) for fact in facts),
        )
    except (ValueError, TypeError, KeyError, AttributeError):
        raise WireError("not understood") from None


def _packed_fact(fact: Fact) -> list[object]:
    return [fact.name, *fact.address, fact.instance, fact.incarnation, int(fact.state), fact.suspected_by]


def _fact(fields: Any) -> Fact:
    name, host, port, instance, incarnation, state, by = fields[:7]
    if not isinstance(host, str) or not 1 <= len(host) <= MAX_HOST or not _natural(port, 65535) or not port:
        raise WireError("not understood")
    if not _natural(instance) or not _natural(incarnation):
        raise WireError("not understood")
    return Fact(_name(name), (host, port), instance, incarnation, State(state), _name(by, empty=True))


def _name(fields: Any, *, empty: bool = False) -> str:
    if not isinstance(fields, str) or len(fields.encode()) > MAX_NAME or not (fields or empty):
        raise WireError("not understood")
    return fields


def _natural(fields: Any, most: int = MAX_NUMBER) -> bool:
    return isinstance(fields, int) and not isinstance(fields, bool) and 0 <= fields <= most
