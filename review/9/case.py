"""Requests in all the forms that MessagePack has for them get their answers."""

from __future__ import annotations

import asyncio
import struct
from pathlib import Path
from typing import Any

import msgpack
from standins2 import WITH_TROUBLE, Case, Run, play

RECORD = Path(__file__).with_name("record.txt")  # what was sent, answered and run
LOOKUP = b"SELECT n FROM ops_3.t"
REPORT = b"SELECT sum(n) FROM ops_4.t"
PIECE = 7  # bytes that are written at once
LOOKUPS = 12


def run_time(run: Run) -> float:
    return 1.0 if run.statement == REPORT else 0.05


def in_array_16(message: list[Any]) -> bytes:
    """The message as an array whose length has 16 bits, the form ``array 16`` of MessagePack."""
    return b"\xdc" + struct.pack(">H", len(message)) + b"".join(msgpack.packb(part) for part in message)


async def scenario(case: Case) -> list[str]:
    await case.add_engines(4, run_time)
    router = case.add_router(case.configuration("n1"))
    await router.start()
    broken = []
    for number in range(3):
        client = await case.add_client(f"client {number}", router)
        report = client.ask("report", 20_000, REPORT, cpu="1000.0")
        await asyncio.sleep(0.3)
        lookups = []
        for _ in range(LOOKUPS):
            if client.ended:
                break
            asked, message = client.prepare("lookup", 2_500, LOOKUP)
            lookups.append(asked)
            data = in_array_16(message) if WITH_TROUBLE else msgpack.packb(message)
            for start in range(0, len(data), PIECE):
                client.write(data[start : start + PIECE])
                await asyncio.sleep(0)
        answers = [await asked.answer for asked in (report, *lookups)]
        lost = answers.count("lost")
        case.record.note(f"client {number}: {answers}")
        if lost:
            counts = f"{lost} of {len(answers)} requests have no answer"
            broken.append(f"client {number}: {counts}; the report that was open is answered {answers[0]}")
        client.close()
    return broken


if __name__ == "__main__":
    play(RECORD, scenario)
