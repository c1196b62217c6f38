"""Clients write a request in pieces while another of their requests is open on the same connection."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    Asked,
    CannotRunError,
    ChangeLog,
    Client,
    Engine,
    Entry,
    Record,
    Router,
    Run,
    base_document,
    main,
    result_of,
    trouble,
)

ENGINES = 6
SLOW_CLIENTS, OTHER_CLIENTS = 6, 4
REPORT_WORK = 4.0  # seconds that an engine needs for a report
REPORT_LIMIT, LOOKUP_LIMIT = 15.0, 2.5  # seconds that clients wait
PIECES, WRITING_TIME = 8, 2.8  # a lookup is written in so many pieces, within this time in seconds
LATE = 0.5  # seconds after its time from which an answer is lost
ROUNDS = 3


async def work(run: Run) -> list[bytes]:
    await asyncio.sleep(REPORT_WORK if run.cls == "report" else 0.1)
    return result_of(run.txn)


async def wait_for_answer(asked: Asked) -> None:
    """Wait until the request is answered, or until its connection or its time has ended."""
    try:
        await asyncio.wait_for(asked.done.wait(), asked.limit + LATE)
    except TimeoutError:
        return


async def slow_client(record: Record, port: int, number: int, all_asked: list[Asked]) -> None:
    """Send a report whole, then a lookup on the same connection, in pieces if there is trouble."""
    for turn in range(ROUNDS):
        client = await Client(record, f"client {number}.{turn}").connect(port)
        report = await client.ask("report", REPORT_LIMIT, cpu="12000.0")
        all_asked.append(report)
        await asyncio.sleep(0.3)
        lookup, packed = client.request("lookup", LOOKUP_LIMIT)
        pieces = [packed]
        if trouble():
            size = -(-len(packed) // PIECES)
            pieces = [packed[start : start + size] for start in range(0, len(packed), size)]
        await client.write(lookup, *pieces, pause=WRITING_TIME / (PIECES - 1))
        if lookup.written:
            all_asked.append(lookup)
            await wait_for_answer(lookup)
        await wait_for_answer(report)
        client.close()
        await asyncio.sleep(0.2)


async def other_client(record: Record, port: int, number: int, all_asked: list[Asked]) -> None:
    """Send lookups one after the other."""
    client = await Client(record, f"other client {number}").connect(port)
    for _ in range(40):
        all_asked.append(await client.ask("lookup", LOOKUP_LIMIT))
        await wait_for_answer(all_asked[-1])
        await asyncio.sleep(0.2)
    client.close()


async def scenario(record: Record, folder: Path) -> bool:
    engines = [Engine(record, f"s-{number:08x}", work) for number in range(1, ENGINES + 1)]
    for engine in engines:
        await engine.start()
    log = ChangeLog(record, [Entry(engine.name, engine.port) for engine in engines])
    await log.start()
    router = Router(record, folder, base_document(log.known(["room-1"], "typ-a"), log.port))
    await router.ready()
    asked: list[Asked] = []
    await asyncio.gather(
        *(slow_client(record, router.port, number, asked) for number in range(SLOW_CLIENTS)),
        *(other_client(record, router.port, number, asked) for number in range(OTHER_CLIENTS)),
    )
    outcomes: dict[str, int] = {}
    for request in asked:
        key = f"{request.cls} {request.outcome}"
        outcomes[key] = outcomes.get(key, 0) + 1
    record(f"answers: {outcomes}")
    if "lookup served" not in outcomes:
        raise CannotRunError("nothing was served")
    lost = [request for request in asked if request.answer is None]
    for request in lost:
        after = "its time" if request.lost is None else f"{request.lost - request.written:.3f} s"
        record(
            f"lost: {request.cls} {request.txn}, sent whole, no answer; its connection ended after {after}"
        )
    record(f"log of the router:\n{router.log.read_text()}")
    return not lost


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, scenario)
