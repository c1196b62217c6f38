"""Both codecs decode the same messages however the bytes are split, and reject or await random bytes."""

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
MAX_BUFFERED = 64 * 1024 + 4096  # limit on the bytes of incomplete messages that a decoder buffers

DecoderFactory = Callable[[], Any]


def client_decoder() -> msgpack_rpc.Decoder:
    return msgpack_rpc.Decoder(SETTINGS)


def engine_decoder() -> resp.Decoder:
    return resp.Decoder()


def decode(decoder: Any, parts: Iterable[bytes]) -> tuple[list[Any], str | None]:
    """The messages that a decoder finds in the parts, and the error at which it stopped."""
    decoded: list[Any] = []
    try:
        for part in parts:
            decoded += decoder.feed(part)
            assert decoder.partial <= MAX_BUFFERED
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


def encode_request(request: tuple[int, str, dict[str, str], bytes]) -> bytes:
    number, cls, fields, body = request
    packed: bytes = msgpack.packb([0, number, cls, [fields, body]])
    return packed


def encode_answer(answer: tuple[str, str, str, bytes]) -> bytes:
    words: tuple[Any, ...] = answer
    packed: bytes = hiredis.pack_command(words)
    return packed


def check_every_split(make_decoder: DecoderFactory, data: bytes) -> None:
    """Check that the result is the same for the whole input, any two parts of it, and single bytes."""
    whole = decode(make_decoder(), [data])
    assert decode(make_decoder(), (data[at : at + 1] for at in range(len(data)))) == whole
    for at in range(1, len(data)):
        assert decode(make_decoder(), [data[:at], data[at:]]) == whole


@given(st.lists(REQUESTS, min_size=1, max_size=2))
def test_requests_are_decoded_correctly_however_they_are_split(
    requests: list[tuple[int, str, dict[str, str], bytes]],
) -> None:
    data = b"".join(map(encode_request, requests))
    check_every_split(client_decoder, data)
    calls, error = decode(client_decoder(), [data])
    assert error is None
    for call, (number, cls, fields, body) in zip(calls, requests, strict=True):
        assert isinstance(call, messages.Call)
        assert (call.message_id, call.query_class, call.txn, call.body) == (number, cls, fields["txn"], body)
        assert call.timeout == int(fields["limit"]) / 1000 and call.is_client_retry is ("second" in fields)
        assert (call.token, call.key) == (fields.get("unique"), fields.get("item"))


@given(st.lists(ANSWERS, min_size=1, max_size=2))
def test_answers_are_decoded_correctly_however_they_are_split(
    answers: list[tuple[str, str, str, bytes]],
) -> None:
    data = b"".join(map(encode_answer, answers))
    check_every_split(engine_decoder, data)
    decoded, error = decode(engine_decoder(), [data])
    assert error is None
    for got, (txn, word, fields, body) in zip(decoded, answers, strict=True):
        assert (got.txn, got.kind, got.body) == (txn, resp.ANSWER_KINDS[word.encode()], body)
        assert got.pages == (2 if "count=2" in fields else 1) and got.page == (3 if "pos=3" in fields else 0)


@pytest.mark.parametrize("header", [b"*4", b"*04", b"*0000000000004"])
@pytest.mark.parametrize("zeros", [b"", b"0", b"000"])
def test_the_lengths_of_an_answer_may_have_leading_zeros(header: bytes, zeros: bytes) -> None:
    # Guards against the cause of review/9 in the engines' protocol: an array's length was compared as text.
    parts = (b"a" * 16, b"ok", b"count=2", b"1\t2\t3\n")
    bulk_strings = b"".join(b"$%s%d\r\n%s\r\n" % (zeros, len(part), part) for part in parts)
    data = header + b"\r\n" + bulk_strings
    expected = messages.EngineAnswer("a" * 16, messages.AnswerKind.OK, parts[3], pages=2)
    assert decode(engine_decoder(), [data]) == ([expected], None)
    check_every_split(engine_decoder, data)


@pytest.mark.parametrize(
    ("header", "reason"),
    [
        (b"*3\r\n", "not an array of four bulk strings"),
        (b"*40\r\n", "not an array of four bulk strings"),
        (b"*-4\r\n", "not an array of four bulk strings"),
        (b"*+4\r\n", "not an array of four bulk strings"),
        (b"*\r\n", "not an array of four bulk strings"),
        (b"$4\r\n", "not an array of four bulk strings"),
        (b"**4\r\n", "not an array of four bulk strings"),
        (b"*00000000000004\r", "expected a length, found a line that is too long"),
        (b"*4\r\n$\r\n", "not a bulk string"),
        (b"*4\r\n$-1\r\n", "not a bulk string"),
        (b"*4\r\n*2\r\n", "not a bulk string"),
        (b"*4\r\n$0065\r\n", "an answer that is too long"),
    ],
)
def test_a_malformed_or_excessive_answer_is_rejected_at_the_end_of_the_line_that_shows_it(
    header: bytes, reason: str
) -> None:
    decoder = engine_decoder()
    assert decode(decoder, [header[:-1]]) == ([], None)
    assert decode(decoder, [header[-1:]]) == ([], reason)
    assert decode(engine_decoder(), [header + b"x" * 100]) == ([], reason)


DECODERS = pytest.mark.parametrize(
    ("make_decoder", "message"),
    [
        (client_decoder, encode_request((1, "short", {"txn": "a" * 16, "limit": "10", "team": "a"}, b"x"))),
        (engine_decoder, encode_answer(("a" * 16, "ok", "count=2", b"1\t2\t3\n"))),
    ],
    ids=["client", "engine"],
)


@DECODERS
def test_a_truncated_message_is_neither_decoded_nor_rejected(
    make_decoder: DecoderFactory, message: bytes
) -> None:
    for at in range(len(message)):
        assert decode(make_decoder(), [message[:at]]) == ([], None)


@DECODERS
@given(at=st.integers(0, 200), byte=st.integers(0, 255), suffix=st.binary(max_size=50))
def test_a_corrupt_byte_has_the_same_result_however_the_input_is_split(
    make_decoder: DecoderFactory, message: bytes, at: int, byte: int, suffix: bytes
) -> None:
    corrupt = bytearray(message + message)
    corrupt[at % len(corrupt)] = byte
    check_every_split(make_decoder, bytes(corrupt) + suffix)


@DECODERS
@given(noise=st.binary(max_size=400))
def test_random_bytes_are_rejected_or_await_more_input(
    make_decoder: DecoderFactory, message: bytes, noise: bytes
) -> None:
    check_every_split(make_decoder, noise)
    check_every_split(make_decoder, message + noise)
    assert len(decode(make_decoder(), [message + noise])[0]) >= 1


@DECODERS
def test_an_endless_message_is_rejected_before_it_is_buffered(
    make_decoder: DecoderFactory, message: bytes
) -> None:
    endless = b"\x94\x00\x01\xa5short\x92\x80\xc6\xff\xff\xff\xff"
    for head in (message[:20], endless, b"*4\r\n$16\r\n", b"$", b"*"):
        decoder = make_decoder()
        _, error = decode(decoder, [head, *[b"x" * 4096] * 64])
        assert error is not None
