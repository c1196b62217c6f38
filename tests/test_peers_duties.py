"""Tests of duty reports over real connections, the tasks that send them, and the event log's rate limit."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest

from grebeproxy.membership.lease import Token
from grebeproxy.peers.duty_client import DutyAnswerError, report
from grebeproxy.peers.duty_tasks import DutyTasks
from grebeproxy.peers.event_log import MAX_EVENTS_PER_SECOND, EventLog
from grebeproxy.peers.operator_file import Duty

TOKEN = Token(7, "n1")


class Receiver:
    """A receiver of duty reports that answers each report with the same line and records the requests."""

    def __init__(self, answer: bytes) -> None:
        self.answer = answer
        self.requests: list[bytes] = []
        self.open_connections = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_connections += 1
        self.requests.append(await reader.readline())
        writer.write(self.answer)
        await reader.read()  # The client closes the connection.
        writer.close()
        self.open_connections -= 1


def run_with_receiver(answer: bytes, test: Callable[[Duty, Receiver], Awaitable[None]]) -> None:
    async def run() -> None:
        receiver = Receiver(answer)
        server = await asyncio.start_server(receiver.serve, "127.0.0.1", 0)
        async with server:
            address = server.sockets[0].getsockname()
            async with asyncio.timeout(10.0):
                await test(Duty("nightly", address, 0.01), receiver)

    asyncio.run(run())


@pytest.mark.parametrize(
    ("answer", "higher"), [(b"ACK\n", None), (b"ACK done\n", None), (b"NAK 9 n2\n", Token(9, "n2"))]
)
def test_an_answer_is_an_acknowledgement_or_the_higher_token(answer: bytes, higher: Token | None) -> None:
    async def test(duty: Duty, receiver: Receiver) -> None:
        assert await report(duty, TOKEN) == higher
        assert receiver.requests == [b"do nightly 7 n1\n"]
        while receiver.open_connections:
            await asyncio.sleep(0.01)

    run_with_receiver(answer, test)


@pytest.mark.parametrize("zeros", [1, 16, 5000])
def test_a_ballot_may_have_leading_zeros(zeros: int) -> None:
    # Guards against the cause of review/9 in a duty's report: zeros that do not change a ballot counted in
    # the limit on its digits, and the report counted as failed instead of rejected.
    async def test(duty: Duty, receiver: Receiver) -> None:
        assert await report(duty, TOKEN) == Token(9, "n2")

    run_with_receiver(b"NAK " + b"0" * zeros + b"9 n2\n", test)


@pytest.mark.parametrize(
    "answer",
    [
        *(b"NAK\n", b"NAK x n2\n", b"NAK " + b"9" * 17 + b" n2\n", b"\xff\n", b"\n"),
        *(b"NAK 0" + b"9" * 17 + b" n2\n", b"NAK -9 n2\n", b"NAK +9 n2\n", b"NAK 9_0 n2\n"),
    ],
)
def test_any_other_answer_is_an_error(answer: bytes) -> None:
    async def test(duty: Duty, receiver: Receiver) -> None:
        with pytest.raises(DutyAnswerError):
            await report(duty, TOKEN)

    run_with_receiver(answer, test)


def test_a_duty_is_reported_until_its_token_is_gone_or_it_is_closed(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def test(duty: Duty, receiver: Receiver) -> None:
        tokens: dict[str, Token] = {"nightly": TOKEN}
        rejections: list[tuple[str, Token]] = []
        log = EventLog(asyncio.get_running_loop().time)
        tasks = DutyTasks(
            (duty,), tokens.get, lambda name, token: rejections.append((name, token)), log.write
        )
        tasks.start("nightly")
        while len(rejections) < 3:
            await asyncio.sleep(0.01)
        assert set(rejections) == {("nightly", Token(9, "n2"))}
        tasks.start("nightly")  # The new task replaces the first one.
        del tokens["nightly"]
        await asyncio.sleep(0.05)
        done = len(receiver.requests)
        tokens["nightly"] = TOKEN
        await asyncio.sleep(0.05)
        assert len(receiver.requests) == done
        tasks.start("nightly")
        await tasks.close()
        assert asyncio.all_tasks() - {asyncio.current_task()} <= _server_tasks()
        await tasks.close()

    run_with_receiver(b"NAK 9 n2\n", test)
    first = json.loads(capsys.readouterr().out.splitlines()[0])
    expected = {"event": "peers.duty.rejected", "duty": "nightly", "ballot": 7, "highest_ballot": 9}
    assert first == expected


def _server_tasks() -> set[asyncio.Task[object]]:
    return {task for task in asyncio.all_tasks() if "Receiver.serve" in repr(task.get_coro())}


def test_a_report_that_fails_is_logged(capsys: pytest.CaptureFixture[str]) -> None:
    async def test(duty: Duty, receiver: Receiver) -> None:
        tasks = DutyTasks((duty,), lambda name: TOKEN, lambda name, token: None, EventLog(lambda: 0.0).write)
        tasks.start("nightly")
        while len(receiver.requests) < 2:
            await asyncio.sleep(0.01)
        await tasks.close()

    run_with_receiver(b"what\n", test)
    first = json.loads(capsys.readouterr().out.splitlines()[0])
    reason = "invalid answer: b'what\\n'"
    assert first == {"event": "peers.duty.failed", "duty": "nightly", "reason": reason}


def test_events_beyond_the_rate_are_suppressed_and_counted(capsys: pytest.CaptureFixture[str]) -> None:
    now = 5.0
    log = EventLog(lambda: now)
    for number in range(MAX_EVENTS_PER_SECOND + 7):
        log.write("peers.member.failed", name=f"n{number}")
    now = 6.0
    log.write("peers.member.joined", name="n1")
    log.write("peers.member.left", name="n1")
    events = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert len(events) == MAX_EVENTS_PER_SECOND + 2
    assert events[-2:] == [
        {"event": "peers.member.joined", "name": "n1", "suppressed": 7},
        {"event": "peers.member.left", "name": "n1"},
    ]


def test_an_event_that_repeats_does_not_suppress_another(capsys: pytest.CaptureFixture[str]) -> None:
    log = EventLog(lambda: 5.0)
    for number in range(MAX_EVENTS_PER_SECOND + 7):
        log.write("peers.lease.acquired", ballot=number)
    log.write("peers.view.changed", members="n0 n1")
    events = [json.loads(line) for line in capsys.readouterr().out.splitlines()]
    assert len(events) == MAX_EVENTS_PER_SECOND + 1
    assert events[-1] == {"event": "peers.view.changed", "members": "n0 n1", "suppressed": 7}
