"""The packet codec: packets decode as encoded; corrupt, foreign and replayed packets are rejected."""

from __future__ import annotations

from random import Random

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st
from message_forms import Choose, pack

from grebeproxy.membership.model import Fact, Kind, Message, State
from grebeproxy.membership.wire import (
    DIGEST_BYTES,
    MAX_PACKET_BYTES,
    MAX_FACTS,
    MAX_NUMBER,
    REPLAY_WINDOW,
    PacketCodec,
    ReplayWindow,
    WireError,
    pack_message,
    unpack_message,
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


def codec_pair(settings_digest: int = 7) -> tuple[PacketCodec, PacketCodec]:
    return PacketCodec(KEY, 1, 7), PacketCodec(KEY, 2, settings_digest)


@given(MESSAGES)
def test_a_message_decodes_as_it_was_encoded_and_fits_a_packet(message: Message) -> None:
    sender, receiver = codec_pair()
    packet = sender.seal(pack_message(message))
    assert len(packet) <= MAX_PACKET_BYTES
    assert unpack_message(receiver.open(packet)) == message
    # The packet is also decoded without the codec, to check that it has the documented layout.
    instance, number, settings_digest, payload = msgpack.unpackb(packet[1 + DIGEST_BYTES :])
    assert (packet[0], instance, number, settings_digest) == (2, 1, 1, 7)
    assert payload[0] == int(message.kind) and len(payload[5]) == len(message.facts)
    assert all(
        fields[0] == fact.name and fields[1:3] == list(fact.address)
        for fields, fact in zip(payload[5], message.facts, strict=True)
    )


@given(MESSAGES, st.data())
def test_a_corrupt_packet_is_rejected(message: Message, data: st.DataObject) -> None:
    sender, receiver = codec_pair()
    packet = sender.seal(pack_message(message))
    position = data.draw(st.integers(0, len(packet) - 1))
    flipped = bytes([packet[position] ^ data.draw(st.integers(1, 255))])
    for corrupt in (packet[:position], packet[:position] + flipped + packet[position + 1 :], packet + b"x"):
        with pytest.raises(WireError):
            receiver.open(corrupt)


@given(st.binary(max_size=MAX_PACKET_BYTES + 1))
def test_random_bytes_are_rejected(data: bytes) -> None:
    with pytest.raises(WireError):
        codec_pair()[1].open(data)


PLAIN_VALUES = st.recursive(
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


@given(PLAIN_VALUES)
def test_a_malformed_payload_is_rejected(payload: object) -> None:
    sender, receiver = codec_pair()
    try:
        opened = receiver.open(sender.seal(payload))
    except WireError:
        return
    with pytest.raises(WireError):
        unpack_message(opened)


@given(MESSAGES, st.data())
def test_an_invalid_field_is_rejected_whichever_it_is(message: Message, data: st.DataObject) -> None:
    fields = pack_message(message)
    position = data.draw(st.integers(0, 5))
    fields[position] = data.draw(st.sampled_from([None, -1, 2.5, "x" * 33, {}, b"", [[]] * (MAX_FACTS + 1)]))
    with pytest.raises(WireError):
        unpack_message(fields)


def test_another_key_settings_digest_or_old_version_is_rejected_and_a_later_version_accepted() -> None:
    sender, receiver = codec_pair()
    packet = sender.seal([1])
    for mismatched in (PacketCodec(b"another key", 2, 7), PacketCodec(KEY, 2, 8)):
        with pytest.raises(WireError):
            mismatched.open(packet)
    assert receiver.open(packet) == [1]

    def build_packet(version: int, body: list[object]) -> bytes:
        written: bytes = msgpack.packb(body)
        return bytes([version]) + sender._digest(version, written) + written

    assert receiver.open(build_packet(1, [5, 1, ["no mark"]])) == ["no mark"]
    assert receiver.open(build_packet(9, [5, 2, 7, ["p"], "what a later version adds"])) == ["p"]
    unusable: list[tuple[int, list[object]]] = [
        (0, [5, 3, 7, []]),
        (2, [5]),
        (2, [-5, 3, 7, []]),
        (2, ["5", 3, 7, []]),
    ]
    for version, body in unusable:
        with pytest.raises(WireError):
            receiver.open(build_packet(version, body))


@given(MESSAGES, st.randoms(use_true_random=False).map(lambda random: random.choice))
def test_a_packet_has_the_same_result_in_all_forms_of_its_values(message: Message, choose: Choose) -> None:
    sender, receiver = codec_pair()
    body = pack([5, 1, 7, pack_message(message)], choose)
    packet = bytes([2]) + sender._digest(2, body) + body
    if len(packet) <= MAX_PACKET_BYTES:
        assert unpack_message(receiver.open(packet)) == message
    else:
        with pytest.raises(WireError, match="wrong_length"):
            receiver.open(packet)


def test_a_replayed_packet_is_rejected_in_any_order() -> None:
    sender, receiver = codec_pair()
    packets = [sender.seal([n]) for n in range(200)]
    order = packets * 2
    Random(1).shuffle(order)
    accepted = []
    for packet in order:
        try:
            accepted.append(receiver.open(packet)[0])
        except WireError:
            continue
    assert sorted(accepted) == list(range(200))


@given(st.lists(st.integers(1, 3 * REPLAY_WINDOW), max_size=60))
def test_the_replay_window_accepts_what_a_set_of_all_numbers_would_accept(numbers: list[int]) -> None:
    window = ReplayWindow()
    arrived: set[int] = set()
    for number in numbers:
        expected = number not in arrived and number > max(arrived, default=0) - REPLAY_WINDOW
        assert window.accept(number) is expected
        arrived.add(number)


def test_the_number_of_remembered_senders_is_bounded() -> None:
    receiver = PacketCodec(KEY, 2, 7)
    for instance in range(5000):
        receiver.open(PacketCodec(KEY, instance, 7).seal([]))
    assert len(receiver._windows) == 4096
