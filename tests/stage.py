"""A router on real sockets whose loop runs only while a test lets it.

Between ``run`` and ``run`` the router stands still, as a process that was stopped. So a test forces what is
to cross: it writes and closes as many sockets as it likes, and the router finds all of it in one turn.
"""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from typing import Any

import hiredis
import msgpack
import uvloop
from exchange import with_changes

from grebeproxy.config import parse
from grebeproxy.net.changelog import HEAD, RECORD
from grebeproxy.net.runtime import Runtime

ENGINES = ("s-00000001", "s-00000002")


def listener(backlog: int = 128) -> socket.socket:
    heard = socket.create_server(("127.0.0.1", 0), backlog=backlog)
    heard.setblocking(False)
    return heard


def address(heard: socket.socket) -> str:
    host, port = heard.getsockname()
    return f"{host}:{port}"


class Stage:
    """The router, its change log and its two engines."""

    def __init__(self, **changes: Any) -> None:
        self.loop = uvloop.new_event_loop()
        self.log, self.engines = listener(), [listener(), listener()]
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            self.address = free.getsockname()
        document = with_changes(
            {"listen": "{}:{}".format(*self.address), "changelog": address(self.log), **changes}
        )
        entries = document["known"]["results"][0]["fleet"]["endpoints"]
        for entry, engine in zip(entries, self.engines, strict=True):
            entry["address"] = address(engine)
        self.runtime = Runtime(parse(document))
        self.serving = self.loop.create_task(self.runtime.serve())
        self.watch = self.accept(self.log)
        self.frame()
        self.sockets: list[socket.socket] = []
        self.until(lambda: self.runtime._router._listening)

    # --- the router's time

    def run(self, seconds: float = 0.05) -> None:
        """Let the router run for a while."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def until(self, reached: Callable[[], object], seconds: float = 5.0) -> None:
        """Let it run to the turn of its loop in which something has come about."""

        async def turns() -> None:
            until = time.monotonic() + seconds
            while not reached():
                assert time.monotonic() < until, "not reached"
                await asyncio.sleep(0)

        self.loop.run_until_complete(turns())

    def terminate(self) -> None:
        """SIGTERM has come: it is the first thing that the router hears."""
        self.loop.call_soon(self.runtime.terminate)

    def dialling(self) -> Callable[[], None]:
        """Let it run until it dials an engine; the dial goes out when what this gives is called."""
        held: list[tuple[Any, Any]] = []
        connect = self.runtime.dialer.dial
        self.runtime.dialer.dial = lambda *dial: held.append(dial)  # type: ignore[method-assign]

        def go() -> None:
            self.runtime.dialer.dial = connect  # type: ignore[method-assign]
            for dial in held:
                self.loop.call_soon(connect, *dial)

        self.until(lambda: held)
        return go

    def end(self) -> None:
        """Close all. The router may have ended before."""
        self.serving.cancel()
        self.loop.run_until_complete(asyncio.gather(self.serving, return_exceptions=True))
        for one in (self.log, self.watch, *self.engines, *self.sockets):
            one.close()
        self.loop.run_until_complete(self.loop.shutdown_asyncgens())
        self.loop.close()

    def nodes(self) -> list[Any]:
        """What the decision module thinks of each engine."""
        choice: Any = self.runtime._router._decision_module
        return list(choice.engines.values())

    def narrow(self) -> None:
        """From now on the machine takes little of what is written to clients; the rest the router keeps."""
        for client in self.runtime.clients.values():
            assert client.transport is not None
            client.transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)

    # --- its peers

    def accept(self, heard: socket.socket) -> socket.socket:
        """A connection of the router's, once it has come; the router runs until then."""
        taken: list[socket.socket] = []

        def come() -> bool:
            try:
                taken.append(heard.accept()[0])
            except BlockingIOError:
                return False
            return True

        self.until(come)
        taken[0].setblocking(False)
        return taken[0]

    def client(self, unread: int = 0) -> socket.socket:
        """A client's connection; ``unread`` is how many bytes the machine takes before the client reads."""
        made = socket.socket()
        if unread:
            made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, unread)
        made.connect(self.address)
        made.setblocking(False)
        self.sockets.append(made)
        return made

    def engine(self, number: int = 0) -> socket.socket:
        """The router's connection to an engine."""
        taken = self.accept(self.engines[number])
        self.sockets.append(taken)
        return taken

    def frame(self, seq: int = 1, *records: bytes) -> None:
        """The change log says something: nothing new, or changes."""
        payload = b"".join(records)
        kind = 2 if records else 0
        self.watch.sendall(HEAD.pack(HEAD.size - 4 + len(payload), seq, kind) + payload)

    def record(self, number: int, state: int) -> bytes:
        """A record of the change log on one of the engines, by its number from 0."""
        host, port = self.engines[number].getsockname()
        at = int.from_bytes(socket.inet_aton(host), "big")
        return RECORD.pack(number + 1, at, port, state, 0, 0, 0, 1000, 0)


def ask(number: int, cls: str = "lookup", **fields: str) -> bytes:
    request = {"txn": f"{number:016x}", "limit": "2000", "team": "city", **fields}
    packed: bytes = msgpack.packb([0, number, cls, [request, b"SELECT n FROM ops_3.t"]])
    return packed


def give_up(number: int) -> bytes:
    packed: bytes = msgpack.packb([2, "giveUp", [number]])
    return packed


def answer(number: int, body: bytes = b"1\ta\tb\n", word: str = "ok", fields: str = "count=1") -> bytes:
    words: tuple[Any, ...] = (f"{number:016x}", word, fields, body)
    packed: bytes = hiredis.pack_command(words)
    return packed


def waiting(peer: socket.socket) -> bytes:
    """What has come for a peer; ``b""`` also where nothing has."""
    data = b""
    while True:
        try:
            more = peer.recv(1 << 20)
        except BlockingIOError:
            return data
        if not more:
            return data
        data += more


def ended(peer: socket.socket) -> bool:
    """The router has ended its side, in order: a reset raises."""
    try:
        return peer.recv(1) == b""
    except BlockingIOError:
        return False


def answers_in(data: bytes) -> list[Any]:
    """The answers that a client has read."""
    unpacker = msgpack.Unpacker()
    unpacker.feed(data)
    return list(unpacker)
