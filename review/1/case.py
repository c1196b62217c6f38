"""A new configuration that lacks one key of a keyed class, while one engine fails requests."""

from __future__ import annotations

import asyncio
import copy
import os
import random
import signal
import sys
from pathlib import Path
from typing import Any

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

ZONES = ["lodz-1", "lodz-2"]
CELL_OF = {1: 0, 2: 0, 3: 0, 4: 1, 5: 1, 6: 1}  # by engine; cells of three
FAILING = 1  # one of six engines, a share of 17%
ERROR_RATE = 0.55
FAILS_FROM, FAILS_FOR = 3.0, 24.0  # seconds
WINDOW = 2.0  # seconds in which the engines of a cell drop a repeat
RECOUNTS_PER_SECOND, FINDS_PER_SECOND = 12, 9
LAST_REQUEST_AT = 28.0  # seconds
NEVER_RAN = ("refused", "stale")


def category(name: str, aim: float, deadline: float, effect: str, **more: object) -> dict[str, object]:
    values = {"name": name, "aim": aim, "deadline": deadline, "effect": effect, "aimStretch": 2.0}
    return {**values, "group": "all", "window": 1500.0, "importance": 1.0, "lateShare": 0.0, **more}


def settings(document: dict[str, Any]) -> None:
    """Make the settings those of the variant `keyed` of the site: its classes, zones and limits."""
    values = document["settings"]
    values["categories"] = [
        category("find", 500.0, 2200.0, "retryable"),
        category("stamp", 1200.0, 5000.0, "dedup", importance=4.0, lateShare=0.3),
        category(
            "ingest",
            3500.0,
            15000.0,
            "dedup",
            group="zone",
            window=2500.0,
            inTurn=True,
            importance=10.0,
            lateShare=0.6,
        ),
        category(
            "recount",
            2500.0,
            10000.0,
            "dedup",
            group="cell",
            window=1000.0 * WINDOW,
            importance=6.0,
            lateShare=0.4,
        ),
    ]
    values["familyInfo"] |= {
        "dop": [1, 1, 2, 2],
        "holdsTables": [False, False, True, False],
        "yieldsToLoads": [True, False, False, False],
    }
    values["zones"], values["zone"] = ZONES, ZONES[0]
    values["limits"]["mostTries"] = 5
    values["obligations"]["keyQuiet"] = 120.0
    values["orgs"] = [
        {"name": "powiat", "allowancePerS": 40.0, "share": 0.5},
        {"name": "gmina", "allowancePerS": 40.0, "share": 0.5},
    ]


class Cells:
    """The engines' work. The engines of a cell drop what repeats a key within the window."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.random = random.Random(1)
        self.applied: dict[int, dict[str, float]] = {0: {}, 1: {}}  # by cell: when a key's work was done

    def behaviour(self, number: int) -> Any:
        async def run(run: Run) -> list[bytes] | str:
            now = self.record.now()
            fails = number == FAILING and FAILS_FROM <= now < FAILS_FROM + FAILS_FOR
            fails = fails and self.random.random() < ERROR_RATE
            await asyncio.sleep(0.03 if fails else 0.1 if run.cls == "find" else 0.5)
            if run.token is not None:
                done = self.applied[CELL_OF[number]]
                if self.record.now() - done.get(run.token, -WINDOW) >= WINDOW:
                    done[run.token] = self.record.now()
                    self.record(f"engine {run.engine.name}: applied {run.token} in cell {CELL_OF[number]}")
            return "error" if fails else result_of(run.txn)

        return run


def broken(record: Record, engines: dict[int, Engine]) -> int:
    """How many requests were sent to another cell after an attempt that may have run."""
    cell = {engine: CELL_OF[number] for number, engine in engines.items()}
    by_txn: dict[str, list[Run]] = {}
    for engine in engines.values():
        for run in engine.runs:
            if run.cls == "recount":
                by_txn.setdefault(run.txn, []).append(run)
    count = retried = 0
    for txn, runs in by_txn.items():
        runs.sort(key=lambda run: run.began)
        retried += len(runs) > 1
        for position, run in enumerate(runs):
            earlier = [other for other in runs[:position] if other.end not in NEVER_RAN]
            if any(cell[other.engine] != cell[run.engine] for other in earlier):
                attempts = ", ".join(f"cell {cell[r.engine]} {r.engine.name} {r.end}" for r in runs)
                record(f"sent to another cell after it may have run: {txn}: {attempts}")
                count += 1
                break
    record(f"recounts at engines: {len(by_txn)}, sent more than once: {retried}, to another cell: {count}")
    if not retried:
        raise CannotRunError("no recount was sent more than once")
    return count


async def scenario(record: Record, folder: Path) -> bool:
    cells = Cells(record)
    engines = {number: Engine(record, f"s-{number:08x}", cells.behaviour(number)) for number in CELL_OF}
    for engine in engines.values():
        await engine.start()
    log = ChangeLog(
        record,
        [Entry(e.name, e.port, zone=CELL_OF[number], cell=CELL_OF[number]) for number, e in engines.items()],
    )
    await log.start()
    document = base_document(log.known(ZONES, "typ-a"), log.port)
    settings(document)
    router = Router(record, folder, document)
    await router.ready()
    ready_at = record.now()
    asked: list[Asked] = []
    clients = [await Client(record, f"client {number}").connect(router.port) for number in range(6)]

    async def ask(client: Client, cls: str, limit: float, per_second: float, **fields: str) -> None:
        while record.now() < LAST_REQUEST_AT:
            key = {"unique": os.urandom(16).hex()} if cls == "recount" else {}
            asked.append(await client.ask(cls, limit, team="powiat", **fields, **key))
            await asyncio.sleep(1.0 / per_second)

    tasks = [
        asyncio.create_task(ask(client, "recount", 10.0, RECOUNTS_PER_SECOND / 3, cpu="1000.0"))
        for client in clients[:3]
    ]
    tasks += [
        asyncio.create_task(ask(client, "find", 2.2, FINDS_PER_SECOND / 3, cpu="100.0"))
        for client in clients[3:]
    ]
    await asyncio.sleep(max(0.0, ready_at + 1.2 - record.now()))
    if trouble():
        new = copy.deepcopy(document)
        recount = next(c for c in new["settings"]["categories"] if c["name"] == "recount")
        del recount["group"]
        router.write_config(new)
        record("the new file lacks the key group of the class recount")
        router.signal(signal.SIGHUP)
    await asyncio.gather(*tasks)
    for request in asked:
        await asyncio.wait_for(request.done.wait(), 12.0)
    outcomes: dict[str, int] = {}
    for request in asked:
        key = f"{request.cls} {request.outcome}"
        outcomes[key] = outcomes.get(key, 0) + 1
    record(f"answers: {outcomes}")
    twice = cells.applied[0].keys() & cells.applied[1].keys()
    record(f"keys whose work was done in both cells: {len(twice)}")
    record(f"log of the router:\n{router.log.read_text()}")
    return not broken(record, engines)


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, scenario)
