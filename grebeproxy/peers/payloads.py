"""Packs and unpacks payloads, which are the bodies of datagrams, as the lists that MessagePack encodes.

    [MEMBER, message]                                              a message of ``grebeproxy.membership``
    [VOTE, sender, instance, [kind, lease, ballot, request number]]
    [DIGEST, sender, [[origin, generation, nonce, top], ...], complete, requests_newer]
    [DELTA, sender, origin, generation, nonce, base, top, age, [[key, number, value], ...]]

A list may have more fields than are read here, because a later version may append fields.
"""

from __future__ import annotations

from typing import Any, Union

from grebeproxy import membership, replica
from grebeproxy.errors import GrebeproxyError
from grebeproxy.membership import Message, wire
from grebeproxy.membership.lease import Vote, VoteKind, VoteReceived
from grebeproxy.replica.records import Delta, Digest, Incarnation, KeyChange, Version

# The numbers of the payload kinds on the wire.
MEMBER = 1
VOTE = 2
DIGEST = 3
DELTA = 4

MAX_ENTRIES = 64  # entries of one digest or delta
MAX_TEXT_BYTES = 64  # bytes of a name or a key

Payload = list[object]


class PayloadError(GrebeproxyError, ValueError):
    """A payload is malformed, although its packet was sealed with the right key."""


# Events for the components of the node. ``sender`` and ``instance`` are not checked, and may be of any type.
Received = Union[membership.MessageReceived, VoteReceived, replica.MessageReceived]


def pack_member(message: Message) -> Payload:
    """The payload of a membership message."""
    return [MEMBER, wire.pack_message(message)]


def pack_vote(sender: str, instance: int, vote: Vote) -> Payload:
    """The payload of a vote message of a lease."""
    return [VOTE, sender, instance, [int(vote.kind), vote.lease, vote.ballot, vote.request_number]]


def pack_replica(sender: str, message: Digest | Delta) -> Payload:
    """The payload of a message of the replica store."""
    if isinstance(message, Digest):
        versions = [[origin, *version] for origin, version in message.versions]
        return [DIGEST, sender, versions, message.complete, message.requests_newer]
    changes = [list(change) for change in message.entries]
    incarnation = message.incarnation
    return [DELTA, sender, message.origin, *incarnation, message.base, message.top, message.age, changes]


def unpack(payload: Any) -> Received:
    """The message in a payload. Raises ``PayloadError`` for one that is malformed.

    The sender that a message names is not checked here; the node compares it with the members that it knows.
    """
    try:
        kind, fields = payload[0], payload[1:]
        if kind == MEMBER:
            return membership.MessageReceived(wire.unpack_message(fields[0]))
        if kind == VOTE:
            return VoteReceived(fields[0], fields[1], _unpack_vote(fields[2]))
        if kind == DIGEST:
            return replica.MessageReceived(fields[0], _unpack_digest(fields[1:]))
        if kind == DELTA:
            return replica.MessageReceived(fields[0], _unpack_delta(fields[1:]))
    except (wire.WireError, IndexError, KeyError, TypeError, ValueError) as error:
        raise PayloadError(f"malformed: {error}") from None
    raise PayloadError("unknown payload kind")


def _unpack_vote(fields: Any) -> Vote:
    kind, lease, ballot, request_number = fields[:4]
    return Vote(VoteKind(kind), _text(lease), _natural(ballot), _natural(request_number))


def _unpack_digest(fields: Any) -> Digest:
    versions, complete, requests_newer = fields[:3]
    if len(versions) > MAX_ENTRIES:
        raise PayloadError("too many origins")
    return Digest(
        tuple(
            (_text(origin), Version(_natural(generation), _natural(nonce), _natural(top)))
            for origin, generation, nonce, top in versions
        ),
        complete is True,
        requests_newer is True,
    )


def _unpack_delta(fields: Any) -> Delta:
    origin, generation, nonce, base, top, age, changes = fields[:7]
    if len(changes) > MAX_ENTRIES:
        raise PayloadError("too many changes")
    if not isinstance(age, int | float) or not age >= 0.0:  # The negated comparison rejects NaN too.
        raise PayloadError("the age is not a number of 0 or more")
    return Delta(
        _text(origin),
        Incarnation(_natural(generation), _natural(nonce)),
        _natural(base),
        _natural(top),
        float(age),
        tuple(KeyChange(_text(key), _natural(number), _value(value)) for key, number, value in changes),
    )


def _text(value: Any) -> str:
    if not isinstance(value, str) or len(value.encode()) > MAX_TEXT_BYTES:
        raise PayloadError("a name or key is not text or is too long")
    return value


def _natural(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise PayloadError("a field is not a whole number of 0 or more")
    return int(value)


def _value(value: Any) -> bytes | None:
    if value is not None and not isinstance(value, bytes):
        raise PayloadError("a value is neither bytes nor null")
    return value
