"""The client side of a duty's report: one request line and one answer line over a connection of its own.

    request = "do" NAME BALLOT HOLDER
    answer  = "ACK" ...  |  "NAK" BALLOT HOLDER

A ``NAK`` carries the highest fencing token (ballot and holder) that the receiver has seen.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from grebeproxy.errors import GrebeproxyError
from grebeproxy.membership.lease import Token
from grebeproxy.membership.model import Address
from grebeproxy.peers.operator_file import Duty

REPORT_TIMEOUT = 2.0  # seconds for one report, from connecting to the answer
MAX_BALLOT_DIGITS = 16  # without leading zeros
MAX_LOGGED_ANSWER_BYTES = 40  # bytes of an invalid answer that an error quotes


class DutyAnswerError(GrebeproxyError, OSError):
    """The receiver of a report answered with a line that is neither ``ACK`` nor ``NAK``.

    The class also derives from ``OSError``, so that an invalid answer counts as a failed report, as a lost
    connection does.
    """


async def report(duty: Duty, token: Token) -> Token | None:
    """Send one report of a duty, and return ``None`` if the receiver acknowledged it.

    Returns the higher fencing token if the receiver rejected the report. Raises ``OSError`` if the connection
    fails, and ``DutyAnswerError`` for any other answer. The caller sets the timeout.
    """
    ballot, holder = token
    async with _connection(duty.report) as (reader, writer):
        writer.write(f"do {duty.name} {ballot} {holder}\n".encode())
        line = await reader.readline()
    return _parse_answer(line)


@asynccontextmanager
async def _connection(address: Address) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    reader, writer = await asyncio.open_connection(*address)
    try:
        yield reader, writer
    finally:
        writer.close()
        with suppress(OSError):  # An error while closing doesn't invalidate the answer.
            await writer.wait_closed()


def _parse_answer(line: bytes) -> Token | None:
    match line.decode("utf-8", "replace").split():
        case ["ACK", *_]:
            return None
        case ["NAK", ballot, holder] if ballot.isdecimal():
            digits = ballot.lstrip("0") or "0"
            if len(digits) <= MAX_BALLOT_DIGITS:
                return Token(int(digits), holder)
    raise DutyAnswerError(f"invalid answer: {line[:MAX_LOGGED_ANSWER_BYTES]!r}")
