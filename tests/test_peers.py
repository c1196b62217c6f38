"""Tests of the operator file, and of the node's handling of payloads, votes and wake-ups."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from grebeproxy.membership.lease import Vote, VoteKind
from grebeproxy.membership.model import Fact, Kind, Message, State
from grebeproxy.membership.wire import MAX_PACKET_BYTES, PacketCodec, pack_message
from grebeproxy.peers import OperatorFileError, load, parse
from grebeproxy.peers.node import PayloadReceived, Datagram, Node, Tick, Wake
from grebeproxy.replica import Limits
from grebeproxy.replica.deltas import MAX_DELTA_BYTES
from grebeproxy.replica.exchange import MAX_ORIGINS_PER_DIGEST

COMPLETE_FILE = """
peers {
  listen = "127.0.0.1:7946"
  fleet  = 3
  seeds  = ["127.0.0.1:7947", "127.0.0.1:7948"]
  key    = "sixteen bytes or more"
}
duty "nightly" {
  report   = "127.0.0.1:9000"
  every_ms = 250
}
"""
EXAMPLE_FILE = Path(__file__).parent.parent / "deploy" / "peers.hcl"


def test_a_file_is_read_with_its_defaults() -> None:
    config = parse(COMPLETE_FILE, "n1")
    assert config.listen == config.member.address == ("127.0.0.1", 7946) and config.member.fleet == 3
    assert (config.member.period, config.member.timeout, config.lease) == (0.5, 0.15, 3.0)
    assert [(duty.name, duty.interval) for duty in config.duties] == [("nightly", 0.25)]


def test_the_example_file_is_valid() -> None:
    assert load(str(EXAMPLE_FILE), "n1").member.fleet == 3


@pytest.mark.parametrize(
    ("old", "new", "key"),
    [
        ('"127.0.0.1:7946"', '"here"', "peers.listen:"),
        ("fleet  = 3", "", "peers.fleet:"),
        ("fleet  = 3", "fleet = 2.5", "peers.fleet:"),
        ("fleet  = 3", 'fleet = "3"', "peers.fleet:"),
        ("fleet  = 3", "fleet = 0", "peers.fleet:"),
        ('["127.0.0.1:7947"', '["nowhere:1"', "peers.seeds:"),
        ("seeds  = [", "seeds = 3 # [", "peers.seeds:"),
        ('key    = "sixteen bytes or more"', "", "peers.key:"),
        ("sixteen bytes or more", "short", "peers.key:"),
        ("fleet  = 3", "fleet = 3\nflet = 3", "peers.flet:"),
        ("fleet  = 3", "fleet = 3\nperiod_ms = 0", "peers.period_ms:"),
        ("fleet  = 3", "fleet = 3\ntimeout_ms = 900", "peers.timeout:"),
        ("fleet  = 3", "fleet = 3\nlease_ms = true", "peers.lease_ms:"),
        ("every_ms = 250", "every = 1", "duty.nightly.every:"),
        ('"nightly"', '"two words"', "duty:"),
        ("duty", "dutty", "dutty:"),
        ("peers {", "peers { {", "file:"),
        ("peers {", "piers {", "piers:"),
        ('duty "nightly" {', "duty {", "duty:"),
    ],
)
def test_an_error_names_the_faulty_key_in_one_line(old: str, new: str, key: str) -> None:
    assert old in COMPLETE_FILE
    with pytest.raises(OperatorFileError) as caught:
        parse(COMPLETE_FILE.replace(old, new, 1), "n1")
    assert str(caught.value).startswith(key) and "\n" not in str(caught.value)


@pytest.mark.parametrize(
    ("text", "key"),
    [("peers = 3", "peers:"), (COMPLETE_FILE[: COMPLETE_FILE.index("duty")] + "duty = 3", "duty:")],
)
def test_a_value_in_place_of_a_block_is_an_error_that_names_its_key(text: str, key: str) -> None:
    with pytest.raises(OperatorFileError, match=f"^{key}"):
        parse(text, "n1")


@settings(max_examples=20)
@given(st.text(max_size=60))
def test_any_other_text_is_rejected_with_a_typed_error(text: str) -> None:
    with pytest.raises(OperatorFileError):
        parse(text, "n1")


def test_an_unreadable_file_and_an_invalid_name_are_errors(tmp_path: Path) -> None:
    with pytest.raises(OperatorFileError):
        load(str(tmp_path / "none"), "n1")
    with pytest.raises(OperatorFileError, match=r"peers\.name"):
        parse(COMPLETE_FILE, "n" * 33)


def test_the_settings_digest_covers_what_must_be_the_same_at_all_routers() -> None:
    digests = {
        parse(COMPLETE_FILE.replace(old, new), name).settings_digest
        for old, new, name in (
            ("", "", "n1"),
            ("fleet  = 3", "fleet = 5", "n1"),
            ("nightly", "daily", "n1"),
            ("fleet  = 3", "fleet = 3\nlease_ms = 9", "n1"),
        )
    }
    assert len(digests) == 4
    assert (
        parse(COMPLETE_FILE, "n1").settings_digest
        == parse(COMPLETE_FILE.replace(":7946", ":1"), "n2").settings_digest
    )


CONFIG = parse(COMPLETE_FILE, "n1")


def started_node() -> Node:
    started = Node(CONFIG, 5, Random(5), 0.0)
    started.start(0.0)
    return started


LEAF_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-3, 5),
    st.sampled_from(["n2", "x", ""]),
    st.binary(max_size=3),
    st.floats(),
)
NESTED_VALUES = st.recursive(LEAF_VALUES, lambda inner: st.lists(inner, max_size=8))
PAYLOADS = st.one_of(
    NESTED_VALUES,
    st.builds(
        lambda kind, rest: [kind, *rest],
        st.sampled_from([1, 2, 3, 4]),
        st.lists(NESTED_VALUES, min_size=2, max_size=9),
    ),
)


@settings(max_examples=40)
@given(st.lists(PAYLOADS, max_size=12))
def test_malformed_payloads_are_counted_and_change_nothing(payloads: list[Any]) -> None:
    router = started_node()
    for number, payload in enumerate(payloads):
        router.step(0.01 * number, [PayloadReceived(payload)])
    assert router.view.members == ("n1",)
    assert router.malformed_payloads <= len(payloads)


def test_the_longest_payload_of_each_kind_fits_a_packet() -> None:
    name = "n" * 32
    fact = Fact(name, ("255.255.255.255", 65535), 2**56, 2**40, State.SUSPECT, name)
    versions = [["o" * 32, 2**40, 2**48, 2**53] for _ in range(MAX_ORIGINS_PER_DIGEST)]
    value = bytes(Limits().value)
    for payload in (
        [1, pack_message(Message(Kind.GOSSIP, fact, 2**40, name, 2**64 - 1, (fact,) * 8))],
        [2, name, 2**56, [1, "d" * 64, 2**53, 2**51]],
        [3, name, versions, True, True],
        [4, name, name, 2**40, 2**48, 2**53, 2**53, 14.9, [["k" * 64, 2**53, value]]],
        [4, name, name, 2**40, 2**48, 2**53, 2**53, 14.9, [["k", 2**53, b""]] * (MAX_DELTA_BYTES // 17)],
    ):
        assert len(PacketCodec(b"k" * 16, 2**56, 2**32 - 1).seal(payload)) <= MAX_PACKET_BYTES


def test_a_vote_counts_only_from_the_current_process_of_a_member() -> None:
    router = started_node()
    other = Fact("n2", ("127.0.0.1", 7947), 9, 0, State.ALIVE)
    router.step(1.0, [PayloadReceived([1, pack_message(Message(Kind.GOSSIP, other))])])
    request = Vote(VoteKind.REQUEST, "nightly", 3, 1)
    fields = [int(request.kind), request.lease, request.ballot, request.request_number]

    def answers(instance: int) -> list[tuple[str, int]]:
        effects = router.step(10.0, [PayloadReceived([2, "n2", instance, fields])])
        votes = [e for e in effects if isinstance(e, Datagram) and e.payload[0] == 2]
        return [vote.to for vote in votes if vote.payload[3][0] in (2, 3)]

    assert (answers(8), answers(9)) == ([], [other.address])


def test_a_late_tick_is_followed_by_another_wake() -> None:
    router, now = started_node(), 0.0
    for _ in range(200):
        wakes = [effect.at for effect in router.step(now, [Tick()]) if isinstance(effect, Wake)]
        assert wakes and wakes[-1] >= now - 1e-9
        now = wakes[-1] + 0.05
    assert router.view.members == ("n1",)
