"""Both codecs against a second reading of the same bytes, cut at every byte, and against noise."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import hiredis
import msgpack
import pytest
from conftest import make_settings
from hypothesis import given
from hypothesis import strategies as st

from grebeproxy.net import messages
from grebeproxy.net import msgpack_rpc, resp
from grebeproxy.policy.interface import Tenant

SETTINGS = make_settings(tenants=(Tenant("a", 10.0),))
MOST_HELD = 64 * 1024 + 4096  # bytes that a decoder may keep of what is not whole

Decoder = Callable[[], Any]


def client() -> msgpack_rpc.Decoder:
    return msgpack_rpc.Decoder(SETTINGS)


def engine() -> resp.Decoder:
    return resp.Decoder()


def read(decoder: Any, parts: Iterable[bytes]) -> tuple[list[Any], str | None]:
    """What a decoder makes of the parts, and why it read no further."""
    decoded: list[Any] = []
    try:
        for part in parts:
            decoded += decoder.feed(part)
            assert decoder.partial <= MOST_HELD
    except messages.BadFrameError as error:
        return decoded, str(error)
    return decoded, None


TXN = st.integers(0, 2**64 - 1).map("{:016x}".format)
BODY = st.binary(max_size=300)
FIELDS = st.fixed_dictionaries(
    {"txn": TXN, "limit": st.integers(1, 9000).map(str), "team": st.just("a")},
    optional={
        "second": st.just("1"),
        "cpu": st.floats(0.001, 1e6).map("{:.3f}".format),
        "unique": st.text("0123456789abcdef", min_size=32, max_size=32),
        "item": TXN,
        "other": st.text(max_size=20),
    },
)
REQUESTS = st.tuples(st.integers(1, 2**32 - 1), st.sampled_from(["short", "long"]), FIELDS, BODY)
PAGES = st.integers(0, 30).map(lambda rows: b"".join(b"%d\tb\tc\n" % row for row in range(rows)))
ANSWERS = st.tuples(
    TXN,
    st.sampled_from(["ok", "refused", "error", "stale", "batch", "yes"]),
    st.sampled_from(["-", "count=2", "pos=3", "count=1,gauges=util:0.5", "x=y"]),
    PAGES,
)


def said_by_client(request: tuple[int, str, dict[str, str], bytes]) -> bytes:
    number, cls, fields, body = request
    packed: bytes = msgpack.packb([0, number, cls, [fields, body]])
    return packed


def said_by_engine(answer: tuple[str, str, str, bytes]) -> bytes:
    words: tuple[Any, ...] = answer
    packed: bytes = hiredis.pack_command(words)
    return packed


def every_cut(make: Decoder, data: bytes) -> None:
    """Read whole, in two parts at each byte, and byte by byte: the same each time."""
    whole = read(make(), [data])
    assert read(make(), (data[at : at + 1] for at in range(len(data)))) == whole
    for at in range(1, len(data)):
        assert read(make(), [data[:at], data[at:]]) == whole


@given(st.lists(REQUESTS, min_size=1, max_size=2))
def test_requests_are_read_as_they_were_meant_however_they_are_cut(
    requests: list[tuple[int, str, dict[str, str], bytes]],
) -> None:
    data = b"".join(map(said_by_client, requests))
    every_cut(client, data)
    calls, trouble = read(client(), [data])
    assert trouble is None
    for call, (number, cls, fields, body) in zip(calls, requests, strict=True):
        assert isinstance(call, messages.Call)
        assert (call.message_id, call.query_class, call.txn, call.body) == (number, cls, fields["txn"], body)
        assert call.timeout == int(fields["limit"]) / 1000 and call.is_client_retry is ("second" in fields)
        assert (call.token, call.key) == (fields.get("unique"), fields.get("item"))


@given(st.lists(ANSWERS, min_size=1, max_size=2))
def test_answers_are_read_as_they_were_meant_however_they_are_cut(
    answers: list[tuple[str, str, str, bytes]],
) -> None:
    data = b"".join(map(said_by_engine, answers))
    every_cut(engine, data)
    read_, trouble = read(engine(), [data])
    assert trouble is None
    for got, (txn, word, fields, body) in zip(read_, answers, strict=True):
        assert (got.txn, got.kind, got.body) == (txn, resp.ANSWER_KINDS[word.encode()], body)
        assert got.pages == (2 if "count=2" in fields else 1) and got.page == (3 if "pos=3" in fields else 0)


MAKERS = pytest.mark.parametrize(
    ("make", "good"),
    [
        (client, said_by_client((1, "short", {"txn": "a" * 16, "limit": "10", "team": "a"}, b"x"))),
        (engine, said_by_engine(("a" * 16, "ok", "count=2", b"1\t2\t3\n"))),
    ],
    ids=["client", "engine"],
)


@MAKERS
def test_a_message_that_ends_at_any_byte_is_no_message(make: Decoder, good: bytes) -> None:
    for at in range(len(good)):
        assert read(make(), [good[:at]]) == ([], None)


@MAKERS
@given(at=st.integers(0, 200), byte=st.integers(0, 255), behind=st.binary(max_size=50))
def test_one_byte_that_is_wrong_is_read_the_same_however_it_is_cut(
    make: Decoder, good: bytes, at: int, byte: int, behind: bytes
) -> None:
    spoilt = bytearray(good + good)
    spoilt[at % len(spoilt)] = byte
    every_cut(make, bytes(spoilt) + behind)


@MAKERS
@given(noise=st.binary(max_size=400))
def test_noise_is_refused_or_waited_for(make: Decoder, good: bytes, noise: bytes) -> None:
    every_cut(make, noise)
    every_cut(make, good + noise)
    assert len(read(make(), [good + noise])[0]) >= 1


@MAKERS
def test_what_never_ends_is_refused_before_it_is_held(make: Decoder, good: bytes) -> None:
    endless = b"\x94\x00\x01\xa5short\x92\x80\xc6\xff\xff\xff\xff"
    for head in (good[:20], endless, b"*4\r\n$16\r\n", b"$", b"*"):
        decoder = make()
        _, trouble = read(decoder, [head, *[b"x" * 4096] * 64])
        assert trouble is not None
