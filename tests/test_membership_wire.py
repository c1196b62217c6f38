"""Datagrams between routers: read back as written, and nothing taken that was spoilt, foreign or came
before.
"""

from __future__ import annotations

from random import Random

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from grebeproxy.membership.model import Fact, Kind, Message, State
from grebeproxy.membership.wire import (
    DIGEST,
    MAX_BYTES,
    MAX_FACTS,
    MAX_NUMBER,
    WINDOW,
    Sealed,
    Window,
    WireError,
    packed,
    unpacked,
)

NAMES = st.text(st.characters(codec="utf-8"), min_size=1, max_size=8)
NUMBERS = st.integers(0, MAX_NUMBER)
FACTS = st.builds(
    Fact,
    NAMES,
    st.tuples(st.from_regex(r"[0-9a-f.:]{1,15}", fullmatch=True), st.integers(1, 65535)),
    NUMBERS,
    NUMBERS,
    st.sampled_from(State),
    st.one_of(st.just(""), NAMES),
)
MESSAGES = st.builds(
    Message,
    st.sampled_from(Kind),
    FACTS,
    NUMBERS,
    st.one_of(st.just(""), NAMES),
    NUMBERS,
    st.lists(FACTS, max_size=8).map(tuple),
)
KEY = b"a key of the fleet"


def pair(mark: int = 7) -> tuple[Sealed, Sealed]:
    return Sealed(KEY, 1, 7), Sealed(KEY, 2, mark)


@given(MESSAGES)
def test_a_message_is_read_as_it_was_written_and_fits_a_packet(message: Message) -> None:
    one, other = pair()
    packet = one.seal(packed(message))
    assert len(packet) <= MAX_BYTES
    assert unpacked(other.open(packet)) == message
    # A second reading, by hand: what is on the wire is what the page says.
    instance, number, mark, payload = msgpack.unpackb(packet[1 + DIGEST :])
    assert (packet[0], instance, number, mark) == (2, 1, 1, 7)
    assert payload[0] == int(message.kind) and len(payload[5]) == len(message.facts)
    assert all(
        told[0] == fact.name and told[1:3] == list(fact.address)
        for told, fact in zip(payload[5], message.facts, strict=True)
    )


@given(MESSAGES, st.data())
def test_a_spoilt_packet_is_not_taken(message: Message, data: st.DataObject) -> None:
    one, other = pair()
    packet = one.seal(packed(message))
    at = data.draw(st.integers(0, len(packet) - 1))
    flipped = bytes([packet[at] ^ data.draw(st.integers(1, 255))])
    for spoilt in (packet[:at], packet[:at] + flipped + packet[at + 1 :], packet + b"x"):
        with pytest.raises(WireError):
            other.open(spoilt)


@given(st.binary(max_size=MAX_BYTES + 1))
def test_noise_is_not_taken(noise: bytes) -> None:
    with pytest.raises(WireError):
        pair()[1].open(noise)


SCRAPS = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(-5, 2**64 - 1),
        st.text(max_size=40),
        st.binary(max_size=4),
        st.floats(),
    ),
    lambda inner: st.lists(inner, max_size=8),
)


@given(SCRAPS)
def test_what_has_the_right_key_and_makes_no_sense_is_told_so(payload: object) -> None:
    one, other = pair()
    try:
        opened = other.open(one.seal(payload))
    except WireError:
        return
    with pytest.raises(WireError):
        unpacked(opened)


@given(MESSAGES, st.data())
def test_a_field_that_cannot_be_is_told_of_whichever_it_is(message: Message, data: st.DataObject) -> None:
    told = packed(message)
    at = data.draw(st.integers(0, 5))
    told[at] = data.draw(st.sampled_from([None, -1, 2.5, "x" * 33, {}, b"", [[]] * (MAX_FACTS + 1)]))
    with pytest.raises(WireError):
        unpacked(told)


def test_another_key_mark_or_version_is_not_taken_and_a_later_one_is() -> None:
    one, other = pair()
    packet = one.seal([1])
    for wrong in (Sealed(b"another key", 2, 7), Sealed(KEY, 2, 8)):
        with pytest.raises(WireError):
            wrong.open(packet)
    assert other.open(packet) == [1]

    def by_hand(version: int, body: list[object]) -> bytes:
        written: bytes = msgpack.packb(body)
        return bytes([version]) + one._digest(version, written) + written

    assert other.open(by_hand(1, [5, 1, ["no mark"]])) == ["no mark"]
    assert other.open(by_hand(9, [5, 2, 7, ["p"], "what a later version adds"])) == ["p"]
    unusable: list[tuple[int, list[object]]] = [
        (0, [5, 3, 7, []]),
        (2, [5]),
        (2, [-5, 3, 7, []]),
        (2, ["5", 3, 7, []]),
    ]
    for version, body in unusable:
        with pytest.raises(WireError):
            other.open(by_hand(version, body))


def test_what_came_before_is_not_taken_again_in_any_order() -> None:
    one, other = pair()
    packets = [one.seal([n]) for n in range(200)]
    order = packets * 2
    Random(1).shuffle(order)
    taken = []
    for packet in order:
        try:
            taken.append(other.open(packet)[0])
        except WireError:
            continue
    assert sorted(taken) == list(range(200))


@given(st.lists(st.integers(1, 3 * WINDOW), max_size=60))
def test_the_window_takes_what_a_set_of_all_that_came_would(numbers: list[int]) -> None:
    window = Window()
    came: set[int] = set()
    for number in numbers:
        wanted = number not in came and number > max(came, default=0) - WINDOW
        assert window.accept(number) is wanted
        came.add(number)


def test_senders_that_are_counted_are_bounded() -> None:
    other = Sealed(KEY, 2, 7)
    for instance in range(5000):
        other.open(Sealed(KEY, instance, 7).seal([]))
    assert len(other._windows) == 4096
