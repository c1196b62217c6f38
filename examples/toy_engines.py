"""Toy engines and a toy change log at the addresses of a configuration, to try the router with.

    python examples/toy_engines.py examples/config.json

Every statement is answered with six made-up rows on two pages after a twentieth of a second.
"""

from __future__ import annotations

import asyncio
import struct
import sys
from pathlib import Path

import hiredis
import orjson

ROWS = [f"{row}\trow {row}\tmade up\n".encode() for row in range(6)]
PAGES = [b"".join(ROWS[:3]), b"".join(ROWS[3:])]
THINKS = 0.05


class ToyEngine(asyncio.Protocol):
    """One connection from a router."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start with nothing open."""
        assert isinstance(transport, asyncio.Transport)
        self.transport, self.reader = transport, hiredis.Reader()
        self.running: dict[bytes, asyncio.TimerHandle] = {}

    def data_received(self, data: bytes) -> None:
        """Take commands."""
        self.reader.feed(data)
        while (words := self.reader.gets()) is not False:
            match words:
                case [b"REQ", txn, fields, body]:
                    print(f"engine: {txn.decode()} {fields.decode()} {body.decode()}", flush=True)
                    loop = asyncio.get_running_loop()
                    self.running[txn] = loop.call_later(THINKS, self.served, txn)
                case [b"STOP", txn] if txn in self.running:
                    self.running.pop(txn).cancel()
                case [b"FETCH", txn, page]:
                    self.answer(txn, b"batch", b"pos=" + page, PAGES[int(page)])
                case [b"HELO", tag]:
                    self.answer(tag, b"yes", b"-", b"")

    def served(self, txn: bytes) -> None:
        """The first page, and how many there are."""
        del self.running[txn]
        gauges = b"gauges=cpu_share:0.1;pending:0;x0:0.05"
        self.answer(txn, b"ok", b"count=%d,%s" % (len(PAGES), gauges), PAGES[0])

    def answer(self, *words: bytes) -> None:
        """Write one answer."""
        self.transport.write(hiredis.pack_command(words))

    def connection_lost(self, exc: Exception | None) -> None:
        """Give up what is open on it."""
        for timer in self.running.values():
            timer.cancel()


async def toy_log(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A change log in which nothing new happens."""
    try:
        seq = await reader.readexactly(8)
        while not reader.at_eof():
            writer.write(struct.pack(">I", 9) + seq + b"\0")
            await writer.drain()
            await asyncio.sleep(1)
    except (OSError, asyncio.IncompleteReadError):
        pass
    writer.close()


async def main(path: str) -> None:
    """Listen wherever the configuration says that engines and the change log are."""
    told = orjson.loads(Path(path).read_bytes())
    host, port = told["changelog"].split(":")
    await asyncio.start_server(toy_log, host, int(port))
    for result in told["known"]["results"]:
        for entry in result["fleet"]["endpoints"]:
            host, port = entry["address"].split(":")
            await asyncio.get_running_loop().create_server(ToyEngine, host, int(port))
    print("toy engines: ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
