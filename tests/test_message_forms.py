"""A client's message has the same result in all forms that MessagePack has for its values."""

from __future__ import annotations

import asyncio
import re
import timeit
from pathlib import Path
from typing import Any

import msgpack
import pytest
from exchange import FOLDER, play, to_bytes, to_text
from hypothesis import example, given
from hypothesis import strategies as st
from live_router import LOOKUP_DEADLINE, encode_request, live_router, run
from message_forms import ARRAY_HEADERS, Choose, headers, pack, shortest, widest
from test_codecs import check_every_split, client_decoder, decode

from grebeproxy.net import messages
from grebeproxy.net.input_queue import TIME_PER_TURN
from grebeproxy.net.msgpack_framing import MAX_MESSAGE_BYTES

FIELDS = {"txn": "9b1f03aa5c7e2d41", "limit": "1500", "team": "a", "cpu": "820.0", "other": "x" * 40}
ODD_VALUES = [1.5, 0.1, 1e300, float("-inf"), -5, -(2**40), 2**63, None, {"a": True}]
MESSAGES: dict[str, list[Any]] = {
    "request": [0, 7, "short", [FIELDS, b"SELECT n FROM sales_17.orders"]],
    "request with a great id": [0, 2**32 - 1, "long", [FIELDS, b""]],
    "request with values that are not read": [0, 7, "short", [{**FIELDS, "list": ODD_VALUES}, b"x"]],
    "invalid request": [0, 7, "short", [{}, b""]],
    "request of an unknown class": [0, 200, "none", []],
    "probe": [0, 8, "probe", [{}]],
    "cancellation": [2, "giveUp", [7]],
}
KINDS = pytest.mark.parametrize("kind", MESSAGES)
CHOOSE = st.randoms(use_true_random=False).map(lambda random: random.choice)


@KINDS
@pytest.mark.parametrize("size", [2, 4], ids=["array 16", "array 32"])
def test_a_message_may_have_a_wide_header_around_it(kind: str, size: int) -> None:
    # Guards against review/9: a request in the form array 16 ended its connection without an answer.
    packed = msgpack.packb(MESSAGES[kind])
    [header] = headers(len(MESSAGES[kind]), [item for item in ARRAY_HEADERS if item[1] == size])
    expected = decode(client_decoder(), [packed])
    assert expected[1] is None and len(expected[0]) == 1
    for following in (b"", packed):
        wide = header + packed[1:] + following
        result = decode(client_decoder(), [wide])
        assert result == (expected[0] * (2 if following else 1), None)
        check_every_split(client_decoder, wide)


@KINDS
@given(choose=CHOOSE)
def test_a_message_has_the_same_result_in_all_forms(kind: str, choose: Choose) -> None:
    expected = decode(client_decoder(), [msgpack.packb(MESSAGES[kind])])
    packed = pack(MESSAGES[kind], choose)
    assert decode(client_decoder(), [packed]) == expected
    check_every_split(client_decoder, packed)


@pytest.mark.parametrize(
    ("field", "spellings"),
    [
        ("limit", ["1500", "1500.0", "1.5e3", "15E+2", "1.5e+003", "0" * 13 + "1500", "1500." + "0" * 30]),
        (
            "cpu",
            ["820.5", "0820.50", "8.205e2", "820.5" + "0" * 30, "0" * 40 + "820.5e0", "8205e-0000000001"],
        ),
        ("mb", ["96", "096.000", "0.96e2", "0" * 1000 + "96"]),
    ],
)
def test_a_number_has_the_same_meaning_with_and_without_redundant_zeros(
    field: str, spellings: list[str]
) -> None:
    # Guards against the cause of review/9 in the fields of a request: all digits counted, also zeros that do
    # not change the number, and eight requests that were rejected for it ended their connection.
    def call(text: str) -> object:
        [message], _ = decode(
            client_decoder(), [msgpack.packb([0, 1, "short", [{**FIELDS, field: text}, b""]])]
        )
        return message

    assert isinstance(call(spellings[0]), messages.Call)
    assert [call(text) for text in spellings] == [call(spellings[0])] * len(spellings)


@pytest.mark.parametrize(
    "text",
    [
        *(
            "",
            "1_0",
            " 1",
            "1 ",
            "+1",
            "-1",
            "-0",
            ".5",
            "5.",
            "5.e1",
            "0x1",
            "nan",
            "inf",
            "1e",
            "1e9.0",
            "\u0661",
        ),
        *("1" * 13, "0" * 100 + "1" * 13, "0." + "1" * 21, "0." + "1" * 21 + "0" * 9, "0." + "0" * 20 + "1"),
        *("1e100", "1e0100", "1e99", "0" * 20_000 + "." + "0" * 20_000 + "e" + "0" * 20_000 + "x"),
    ],
)
def test_text_that_is_no_number_or_too_great_is_rejected(text: str) -> None:
    for field in ("limit", "cpu", "mb"):
        packed = msgpack.packb([0, 1, "short", [{**FIELDS, field: text}, b""]])
        assert decode(client_decoder(), [packed]) == ([messages.InvalidRequest(1, field)], None)


def test_a_number_with_very_many_zeros_does_not_occupy_the_event_loop() -> None:
    zeros = "0" * 20_000
    packed = msgpack.packb([0, 1, "short", [{**FIELDS, "limit": f"{zeros}.{zeros}e{zeros}x"}, b""]])
    times = timeit.repeat(lambda: list(client_decoder().feed(packed)), number=1, repeat=5)
    assert min(times) < TIME_PER_TURN


@given(number=st.floats(), choose=CHOOSE)
@example(number=1e300, choose=widest)
def test_any_float_is_decoded_although_no_field_is_one(number: float, choose: Choose) -> None:
    # Guards against an error outside the protocol's: a float beyond the range of float 32 could not be sized.
    fields: dict[str, Any] = {**FIELDS, "other": number}
    packed = pack([0, 1, "short", [fields, b""]], choose)
    [call], error = decode(client_decoder(), [packed])
    assert error is None and isinstance(call, messages.Call)
    check_every_split(client_decoder, packed)


def message_of(size: int) -> list[Any]:
    """A request that has this size in its shortest form."""
    fields, short_body = {**FIELDS, "list": ODD_VALUES}, b"x" * 256
    overhead = len(pack([0, 200, "short", [fields, short_body]], shortest)) - len(short_body)
    message = [0, 200, "short", [fields, b"x" * (size - overhead)]]
    assert len(pack(message, shortest)) == size
    return message


@given(choose=st.sampled_from([shortest, widest]) | CHOOSE)
def test_the_largest_message_is_the_same_in_all_forms(choose: Choose) -> None:
    # Guards against the cause of review/9 in a limit: the bytes of wide headers counted as contents, so that
    # a request close to the limit ended its connection in some forms only.
    data = pack(message_of(MAX_MESSAGE_BYTES), choose)
    [call], error = decode(client_decoder(), [data])
    assert error is None and isinstance(call, messages.Call)
    parts = [data[at : at + 4099] for at in range(0, len(data), 4099)]
    assert decode(client_decoder(), parts) == ([call], None)


@pytest.mark.parametrize("choose", [shortest, widest])
def test_the_largest_message_may_arrive_in_single_bytes(choose: Choose) -> None:
    data = pack(message_of(MAX_MESSAGE_BYTES), choose)
    [call], error = decode(client_decoder(), (data[at : at + 1] for at in range(len(data))))
    assert error is None and isinstance(call, messages.Call)


@given(choose=st.sampled_from([shortest, widest]) | CHOOSE)
def test_a_larger_message_is_rejected_in_all_forms_before_its_body_is_buffered(choose: Choose) -> None:
    message = message_of(MAX_MESSAGE_BYTES + 1)
    data = pack(message, choose)
    body_begins_at = len(data) - len(message[3][1])
    decoder = client_decoder()
    assert decode(decoder, [data[: body_begins_at - 5]]) == ([], None)
    assert decode(decoder, [data[body_begins_at - 5 : body_begins_at]]) == ([], "message is too long")


NOT_A_MESSAGE, TOO_LONG = "not a request or a notification", "message is too long"


@pytest.mark.parametrize(
    ("head", "reason"),
    [
        (b"\x92", NOT_A_MESSAGE),  # an array of two
        (b"\x95", NOT_A_MESSAGE),
        (b"\xdc\x00\x02", NOT_A_MESSAGE),
        (b"\xdc\x00\x05", NOT_A_MESSAGE),
        (b"\xdc\x01", NOT_A_MESSAGE),  # at least 256 values, whatever comes next
        (b"\xdd\x00\x00\x00\x00", NOT_A_MESSAGE),
        (b"\xdd\x00\x00\x01", NOT_A_MESSAGE),
        (b"\xdd\xff", NOT_A_MESSAGE),
        (b"\x83", NOT_A_MESSAGE),  # a map
        (b"\xde", NOT_A_MESSAGE),
        (b"\xc1", NOT_A_MESSAGE),
        (b"\xd4", NOT_A_MESSAGE),  # an extension
        (b"\xda", NOT_A_MESSAGE),  # a string
        (b"\xdc\x00\x04\x00\x01\xdb\x00\x02", TOO_LONG),  # a string of at least 128 KiB
        (b"\xdc\x00\x04\x00\x01\xdb\x00\x00\xff\xff", TOO_LONG),
        (b"\xdd\x00\x00\x00\x04\x00\x01\xc6\x7f", TOO_LONG),
        (b"\x94\x00\x01\xa0\xdc\x01", TOO_LONG),  # an array of at least 256 values
        (b"\x94\x00\x01\xa0\xdd\x00\x01", TOO_LONG),
        (b"\x94\x00\x01\xa0\xde\x00\x1f", TOO_LONG),  # 62 values, beside the 4 of the message
        (b"\x94\x00\x01\xa0\xdf\x01", TOO_LONG),
        (b"\xdc\x00\x04\x00\xc7", "type 0xc7 is not allowed in a message"),
    ],
)
def test_a_malformed_or_excessive_message_is_rejected_at_the_first_byte_that_shows_it(
    head: bytes, reason: str
) -> None:
    decoder = client_decoder()
    assert decode(decoder, (head[at : at + 1] for at in range(len(head) - 1))) == ([], None)
    assert decode(decoder, [head[-1:]]) == ([], reason)
    assert decode(client_decoder(), [head + b"x" * 100]) == ([], reason)


# --- the whole router

CLIENT_INPUT = re.compile(r"(\d+ c\d+ > )(.*)")


def in_widest_forms(line: str) -> str:
    """A line of a recording with the widest forms of the complete messages that a client sends in it."""
    found = CLIENT_INPUT.fullmatch(line)
    if not found:
        return line
    data, unpacker = to_bytes(found[2]), msgpack.Unpacker()
    unpacker.feed(data)
    try:
        sent = list(unpacker)
    except ValueError:
        return line
    is_complete = b"".join(map(msgpack.packb, sent)) == data and all(isinstance(item, list) for item in sent)
    return found[1] + to_text(b"".join(pack(message, widest) for message in sent)) if is_complete else line


@pytest.mark.parametrize("path", sorted(FOLDER.glob("*.txt")), ids=lambda path: path.stem)
@pytest.mark.parametrize("cut", [0, 1])
def test_the_router_does_the_same_whatever_the_forms_of_messages(path: Path, cut: int) -> None:
    lines = path.read_text().splitlines()
    wide = [in_widest_forms(line) for line in lines]
    assert wide != lines or not any(CLIENT_INPUT.fullmatch(line) for line in lines)
    assert play("\n".join(wide), cut).splitlines() == wide


def test_a_live_router_serves_a_client_that_writes_the_widest_forms_in_single_bytes() -> None:
    async def scenario() -> None:
        async with live_router() as router:
            reader, writer = await asyncio.open_connection(*router.address)
            sent = [
                msgpack.unpackb(encode_request(1, 1)),
                [0, 2, "probe", [{}]],
                msgpack.unpackb(encode_request(3, 3)),
                [2, "giveUp", [3]],
                msgpack.unpackb(encode_request(4, 4)),
                [0, 5, "probe", [{}]],
            ]
            for message in sent:
                for byte in pack(message, widest):
                    writer.write(bytes([byte]))
                    await asyncio.sleep(0)
            answers: dict[int, tuple[Any, Any]] = {}
            unpacker = msgpack.Unpacker()
            async with asyncio.timeout(LOOKUP_DEADLINE):
                while not answers.keys() >= {1, 2, 4, 5}:
                    unpacker.feed(await reader.readexactly(1))
                    answers |= {number: (error, result) for _, number, error, result in unpacker}
            assert [answers[number][0] for number in (1, 2, 4, 5)] == [None] * 4
            assert answers[2] == answers[5] == (None, [True, {}])
            writer.close()

    run(scenario())
