"""The client side of a duty: one line over a connection of its own, and one line in answer.

    request = "do" NAME BALLOT HOLDER
    answer  = "ACK" ...  |  "NAK" BALLOT HOLDER

A ``NAK`` carries the highest fencing token that the receiver has seen.
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
MAX_BALLOT_DIGITS = 16
MAX_LOGGED_ANSWER = 40  # bytes of an answer that is not understood


class DutyAnswerError(GrebeproxyError, OSError):
    """The receiver of a report answered with a line that is neither ``ACK`` nor ``NAK``.

    Derives from ``OSError`` as well, so that it counts as a failed report like a lost connection.
    """


async def report(duty: Duty, token: Token) -> Token | None:
    """Do a duty once; ``None`` where it was acknowledged.

    Gives the higher ``(ballot, holder)`` token where it was rejected. Raises ``OSError`` where the connection
    fails and ``DutyAnswerError`` for any other answer. Has no time-out of its own.
    """
    ballot, holder = token
    async with _connection(duty.report) as (reader, writer):
        writer.write(f"do {duty.name} {ballot} {holder}\n".encode())
        line = await reader.readline()
    return _rejecting_token(line)


@asynccontextmanager
async def _connection(address: Address) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    reader, writer = await asyncio.open_connection(*address)
    try:
        yield reader, writer
    finally:
        writer.close()
        with suppress(OSError):  # the answer counts, not how the connection ended after it
            await writer.wait_closed()


def _rejecting_token(line: bytes) -> Token | None:
    match line.decode("utf-8", "replace").split():
        case ["ACK", *_]:
            return None
        case ["NAK", ballot, holder] if ballot.isdecimal() and len(ballot) <= MAX_BALLOT_DIGITS:
            return Token(int(ballot), holder)
    raise DutyAnswerError(f"not an answer: {line[:MAX_LOGGED_ANSWER]!r}")
