"""Runs toy engines and a toy change log at the addresses of a configuration, for trying out the router.

    python examples/toy_engines.py examples/config.json

Each statement is answered with the same six rows on two pages after ``ANSWER_DELAY`` seconds.
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
ANSWER_DELAY = 0.05  # seconds from a statement to its answer
HEARTBEAT_INTERVAL = 1.0  # seconds between frames of the change log
HEARTBEAT_LENGTH = struct.pack(">I", 9)  # length of a frame that holds only a sequence number and a kind


class ToyEngine(asyncio.Protocol):
    """One connection from a router."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set up the connection with no running statement."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.reader = hiredis.Reader()
        self.running: dict[bytes, asyncio.TimerHandle] = {}

    def data_received(self, data: bytes) -> None:
        """Carry out each command: run or cancel a statement, send a page, or answer a health check."""
        self.reader.feed(data)
        while (command := self.reader.gets()) is not False:
            match command:
                case [b"REQ", txn, fields, body]:
                    print(f"engine: {txn.decode()} {fields.decode()} {body.decode()}", flush=True)
                    loop = asyncio.get_running_loop()
                    self.running[txn] = loop.call_later(ANSWER_DELAY, self.finish_statement, txn)
                case [b"STOP", txn] if txn in self.running:
                    self.running.pop(txn).cancel()
                case [b"FETCH", txn, page]:
                    self.send_answer(txn, b"batch", b"pos=" + page, PAGES[int(page)])
                case [b"HELO", tag]:
                    self.send_answer(tag, b"yes", b"-", b"")

    def finish_statement(self, txn: bytes) -> None:
        """Answer a statement with its first page and the number of pages."""
        del self.running[txn]
        gauges = b"gauges=cpu_share:0.1;pending:0;x0:0.05"
        self.send_answer(txn, b"ok", b"count=%d,%s" % (len(PAGES), gauges), PAGES[0])

    def send_answer(self, *arguments: bytes) -> None:
        """Write one answer."""
        self.transport.write(hiredis.pack_command(arguments))

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the statements that still run on this connection."""
        for timer in self.running.values():
            timer.cancel()


async def toy_change_log(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve a change log that sends heartbeats and no changes."""
    try:
        seq = await reader.readexactly(8)
        while not reader.at_eof():
            writer.write(HEARTBEAT_LENGTH + seq + b"\0")
            await writer.drain()
            await asyncio.sleep(HEARTBEAT_INTERVAL)
    except (OSError, asyncio.IncompleteReadError):
        pass
    writer.close()


async def main(path: str) -> None:
    """Listen at the addresses of the engines and of the change log in the configuration."""
    configuration = orjson.loads(Path(path).read_bytes())
    host, port = configuration["changelog"].split(":")
    await asyncio.start_server(toy_change_log, host, int(port))
    for result in configuration["known"]["results"]:
        for entry in result["fleet"]["endpoints"]:
            host, port = entry["address"].split(":")
            await asyncio.get_running_loop().create_server(ToyEngine, host, int(port))
    print("toy engines: ready", flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
