"""Sockets and timers: hands what happens to the router and carries out the effects it asks for.

Nothing is decided here. Each connection is an asyncio protocol that decodes bytes to typed values.
"""

from __future__ import annotations

import asyncio
import errno
import gc
import logging
import math
import signal
import socket
import time
from collections.abc import Callable, Iterator
from dataclasses import replace
from itertools import count
from typing import Protocol, cast

import uvloop

from grebeproxy.config import Config, ConfigError
from grebeproxy.net import admission, changelog, door, events, hands, msgpack_rpc, resp, router
from grebeproxy.net.handsfile import LOOK, HandsFile
from grebeproxy.net.listener import Listener, bound, inherited
from grebeproxy.net.messages import BadFrameError, DoorCall, EngineAnswer, FromClient, News
from grebeproxy.policy import Choice
from grebeproxy.policy.interface import Settings

LOG = logging.getLogger("grebeproxy")
MOST_UNSENT = 2 * 1024 * 1024  # per client: over 32 answers of 48,000 bytes, all a client may have open
COMPLAINTS_APART = 1.0  # seconds between log lines on peers that cannot be understood
SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 30),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 10),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 3),
)
GC_THRESHOLDS = (20_000, 20, 50)  # few collections, each of them short: what start-up made is left out
SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL)
LINGER = 0.5  # seconds in which a peer that is closed on may read what it was sent, and end its side
MOST_LINGERING = 16  # connections that are closed on and not ended yet, beyond which the oldest is cut
MOST_DROPPED = 256 * 1024  # bytes read and dropped of one that was closed on, beyond which it is cut


class Splitter(Protocol):
    """A codec's decoder."""

    @property
    def partial(self) -> int:
        """Bytes of a message that has begun and is not whole yet."""

    def feed(self, data: bytes) -> Iterator[object]:
        """The messages that these bytes complete."""


class Retunable(Protocol):
    """A codec that goes by settings."""

    def retune(self, settings: Settings) -> None:
        """Go by these from the next message on."""


class Connection(asyncio.Protocol):
    """Decodes what comes in and reports it; what is reported is up to the kinds below."""

    def __init__(self, runtime: Runtime, decoder: Splitter) -> None:
        self.runtime, self.decoder = runtime, decoder
        self.transport: asyncio.Transport | None = None
        self.connecting: asyncio.Task[None] | None = None
        self.ended = False  # the router knows of the end, or asked for it
        self.parted = False  # the end of the stream is written
        self._dropped = 0  # bytes that came behind the end
        self.ours = False  # it could not be made for want of something on this machine

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, or end it where it was given up meanwhile."""
        self.transport = cast(asyncio.Transport, transport)
        if self.ended:
            self.transport.abort()
        else:
            self.opened()

    def data_received(self, data: bytes) -> None:
        """Report each message; bytes that cannot be read end the connection."""
        if self.ended:
            self._dropped += len(data)
            if self._dropped > MOST_DROPPED:
                self.cut()
            return
        told: list[events.Event] = []
        readable = True
        try:
            for message in self.decoder.feed(data):
                told.append(self.said(message))
        except BadFrameError as error:
            self.complain(str(error))
            readable = False
        if readable and self.decoder.partial:
            told += self.begun()
        self.runtime.feed(*told)
        if not readable:
            self.end("bytes that cannot be read")

    def eof_received(self) -> bool:
        """Report the end at once: the transport would first send what is written, and none may read it."""
        self.end("closed")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end."""
        self.runtime.lingered(self)
        self.end(str(exc or "closed"))

    def end(self, reason: str) -> None:
        """Report the end once and close."""
        if not self.ended:
            self.close()
            self.runtime.feed(self.closed(reason))

    def close(self) -> None:
        """Close without a report."""
        self.ended = True
        if self.connecting is not None:
            # Guards the descriptors: a connection to a silent machine would be tried for minutes.
            self.connecting.cancel()
        self.cut()

    def cut(self) -> None:
        """End at once, also what is written and not sent."""
        self.runtime.lingered(self)
        if self.transport is not None:
            self.transport.abort()

    def finish(self) -> None:
        """Send what is written and the end of the stream; what still comes is read and dropped for a moment.

        Guards what was written last: a close over bytes that are not read resets the connection, and the peer
        loses with it what it has not read yet.
        """
        self.ended = True
        if self.transport is not None and not self.transport.is_closing():
            self.part()
            self.runtime.linger(self)

    def part(self) -> None:
        """Send the end of the stream behind what is written, and read on: what crosses must not reset it."""
        if self.transport is not None and not self.parted:
            self.parted = True
            self.transport.write_eof()

    def opened(self) -> None:
        """The connection is up."""

    def said(self, message: object) -> events.Event:
        """The event of a message."""
        raise NotImplementedError

    def complain(self, text: str) -> None:
        """Tell of bytes that cannot be read."""
        self.runtime.log(text)

    def begun(self) -> list[events.Event]:
        """The event of a message that is not whole, where that matters."""
        return []

    def closed(self, reason: str) -> events.Event:
        """The event of the end."""
        raise NotImplementedError


class Client(Connection):
    """A client's connection."""

    def __init__(self, runtime: Runtime) -> None:
        super().__init__(runtime, msgpack_rpc.Decoder(runtime.config.settings))
        self.number = runtime.next_number()

    def opened(self) -> None:
        """Count it in."""
        self.runtime.clients[self.number] = self
        self.runtime.feed(events.ClientOpened(self.number))
        if self.ended or self.transport is None:
            return
        # Guards the descriptors: a client's machine that vanishes says no goodbye.
        for level, option, value in SOCKET_OPTIONS:
            self.transport.get_extra_info("socket").setsockopt(level, option, value)

    def said(self, message: object) -> events.Event:
        """A client's message."""
        return events.ClientSaid(self.number, cast(FromClient, message))

    def complain(self, text: str) -> None:
        """Some clients send nothing else."""
        self.runtime.complain(text)

    def begun(self) -> list[events.Event]:
        """A part of a message; all that clients have begun is bounded together."""
        if self.runtime.begun() > self.runtime.bounds.begun:
            self.end("too much is begun and not whole")
        return [events.ClientBegun(self.number)]

    def closed(self, reason: str) -> events.Event:
        """Count it out."""
        self.runtime.clients.pop(self.number, None)
        return events.ClientClosed(self.number)

    def write(self, data: bytes) -> None:
        """Send an answer; a client that reads none of its answers loses its connection.

        It is read from all the same: that it leaves, or gives up what it asked for, must be seen at once.
        """
        transport = self.transport
        if transport is None or self.ended or self.parted:
            return
        transport.write(data)
        unsent, bounds = transport.get_write_buffer_size(), self.runtime.bounds
        if unsent > min(MOST_UNSENT, bounds.unsent) or (unsent and self.runtime.unsent() > bounds.unsent):
            self.end("the client does not read its answers")
            self.cut()

    def close(self) -> None:
        """Close without a report, behind what is written."""
        self.finish()

    def hang_up(self) -> None:
        """Close without a report; one that was told of the end before has had its time."""
        late = self.parted
        self.finish()
        if late:
            self.cut()


class Link(Connection):
    """A connection to an engine."""

    def __init__(self, runtime: Runtime, number: int) -> None:
        super().__init__(runtime, resp.Decoder())
        self.number = number

    def opened(self) -> None:
        """Report it; with no high-water mark, a pause means that the last write was not sent whole."""
        assert self.transport is not None
        self.transport.set_write_buffer_limits(high=0)
        self.runtime.feed(events.LinkOpened(self.number))

    def said(self, message: object) -> events.Event:
        """An engine's answer."""
        return events.LinkSaid(self.number, cast(EngineAnswer, message))

    def begun(self) -> list[events.Event]:
        """A part of an answer."""
        return [events.LinkBegun(self.number)]

    def closed(self, reason: str) -> events.Event:
        """The connection is gone."""
        self.runtime.links.pop(self.number, None)
        return events.LinkClosed(self.number, self.ours)

    def pause_writing(self) -> None:
        """The last write is not sent whole."""
        self.runtime.feed(events.LinkPaused(self.number))

    def resume_writing(self) -> None:
        """All is sent."""
        if not self.ended:
            self.runtime.feed(events.LinkResumed(self.number))


class Door(Connection):
    """An operator's connection."""

    def __init__(self, runtime: Runtime) -> None:
        super().__init__(runtime, door.Decoder())
        self.number = runtime.next_number()

    def opened(self) -> None:
        """Count it in."""
        self.runtime.doors[self.number] = self
        self.runtime.feed(events.DoorOpened(self.number))

    def said(self, message: object) -> events.Event:
        """A call."""
        return events.DoorSaid(self.number, cast(DoorCall, message))

    def complain(self, text: str) -> None:
        """Some callers send nothing else."""
        self.runtime.complain(text)

    def closed(self, reason: str) -> events.Event:
        """Count it out."""
        self.runtime.doors.pop(self.number, None)
        return events.DoorClosed(self.number)

    def answer(self, done: bool, text: str) -> None:
        """The answer, and the end behind it."""
        if self.transport is not None and not self.ended:
            self.transport.write(door.encode(done, text))
            self.finish()


class Log(Connection):
    """The connection to the change log."""

    def __init__(self, runtime: Runtime, seq: int, dial: int) -> None:
        super().__init__(runtime, changelog.Decoder(runtime.config.settings, runtime.clock))
        self._seq, self._dial = seq, dial

    def opened(self) -> None:
        """Ask for what came after the last event."""
        assert self.transport is not None
        self.transport.write(changelog.hello(self._seq))
        self.runtime.feed(events.LogOpened(self._dial))

    def said(self, message: object) -> events.Event:
        """An event of the log."""
        return events.LogSaid(cast(News, message))

    def closed(self, reason: str) -> events.Event:
        """The connection is gone."""
        return events.LogClosed(reason, self._dial)


class Runtime:
    """Runs one router on an event loop."""

    def __init__(self, config: Config, decide: router.Decide = Choice) -> None:
        self.config = config
        self.clients: dict[int, Client] = {}
        self.links: dict[int, Link] = {}
        self.doors: dict[int, Door] = {}
        self._log_link: Log | None = None
        self._listener: Listener | None = None
        self._door: Listener | None = None
        self._hands = HandsFile(config.folder, config.name) if config.admin and config.folder else None
        self._unheard: OSError | None = None  # why the address could not be listened on
        self._complained = float("-inf")
        self._unsaid = 0
        shared = config.listen_fd is not None
        self.bounds = admission.bounds(
            config.sockets, config.memory_mb, shared=shared, door=config.admin is not None
        )
        self._wake: asyncio.TimerHandle | None = None
        self._events: list[events.Event] = []
        self._stepping = False
        self._lingering: dict[Connection, asyncio.TimerHandle] = {}  # the oldest first
        self._numbers = count(1)
        self._done = asyncio.Event()
        # Read once. Guards against an engine's start that is told again looking a little later than before,
        # and so like another start: the module would take the engine for cold anew.
        self._unix_offset = time.time() - time.monotonic()
        self._router = router.Router(
            config.settings,
            config.limits,
            changelog=config.changelog,
            bounds=self.bounds,
            seed=config.seed,
            now=self.now(),
            decide=decide,
            shared=shared,
            known=changelog.known_events(config.known, self.clock),
        )

    def next_number(self) -> int:
        """A number for a client's connection."""
        return next(self._numbers)

    def now(self) -> float:
        """The clock that all but ``clock`` goes by."""
        return time.monotonic()

    def clock(self, unix_ms: int) -> float:
        """A Unix millisecond on the clock of ``now``."""
        return unix_ms / 1000 - self._unix_offset

    def log(self, text: str) -> None:
        """One line for whoever runs the router."""
        LOG.info(text)

    def complain(self, text: str) -> None:
        """Tell of a peer that cannot be understood. Guards CPU and log against those that go on so."""
        if self.now() < self._complained + COMPLAINTS_APART:
            self._unsaid += 1
            return
        self.log(f"{text} (and {self._unsaid} more before)" if self._unsaid else text)
        self._complained, self._unsaid = self.now(), 0

    def short(self, text: str) -> None:
        """This machine lacks something: those that are closed on give up what they hold at once."""
        self.complain(text)
        for connection in list(self._lingering):
            connection.cut()

    def begun(self) -> int:
        """Bytes of messages that clients have begun."""
        return sum(c.decoder.partial for c in self.clients.values())

    def unsent(self) -> int:
        """Bytes that clients have not read yet."""
        return sum(c.transport.get_write_buffer_size() for c in self.clients.values() if c.transport)

    async def serve(self) -> None:
        """Serve until asked to stop and all is answered."""
        # Bound at once, so that an address that cannot be had ends the start; heard from when it is time.
        fd = self.config.listen_fd
        self._listener = Listener(
            bound(self.config.listen) if fd is None else inherited(fd),
            lambda: Client(self),
            self.short,
            shared=fd is not None,
        )
        if self.config.admin is not None:
            self._door = Listener(bound(self.config.admin), lambda: Door(self), self.short)
            self._door.open()
        self._carry_out(self._router.start(self.now()))
        self._look_at_hands()
        await self._done.wait()
        if self._door is not None:
            self._door.close()
        if self._unheard is not None:
            raise self._unheard
        for connection in (*self.clients.values(), *self.doors.values()):
            connection.finish()
        while self._lingering:  # each is cut when its time is over
            await asyncio.sleep(0.005)

    def start_listening(self) -> None:
        """Take connections from now on."""
        if self._listener is not None:
            try:
                self._listener.open()
            except OSError as error:
                # Guards against another program that bound the address as well and listened first.
                self._unheard = error
                self.exit()
                return
            host, port = self.config.listen
            self.log(f"{self.config.name}: serving on {host}:{port}")

    def feed(self, *told: events.Event) -> None:
        """Let the router take events, with all others that have come in this turn of the loop.

        Guards against acting on what comes first where something that came as well forbids it: a process that
        stood still finds a list, a client's end and another one's request all at once.
        """
        idle = not self._events and not self._stepping
        self._events.extend(told)
        if idle and told:
            self._soon(self._step)

    def _soon(self, call: Callable[[], None]) -> None:
        asyncio.get_running_loop().call_soon(call)

    def _step(self) -> None:
        """Let the router take what was fed, and then what its effects bring about."""
        self._stepping = True
        try:
            while self._events:
                batch, self._events = self._events, []
                self._carry_out(self._router.step(self.now(), batch))
        finally:
            self._stepping = False

    def linger(self, connection: Connection) -> None:
        """A connection was closed on: it is cut where its peer does not end it soon."""
        if not self._done.is_set() and len(self._lingering) >= MOST_LINGERING:
            next(iter(self._lingering)).cut()
        if connection not in self._lingering:
            self._lingering[connection] = self._later(LINGER, connection.cut)

    def lingered(self, connection: Connection) -> None:
        """It has ended."""
        if (timer := self._lingering.pop(connection, None)) is not None:
            timer.cancel()

    def _later(self, delay: float, call: Callable[[], None]) -> asyncio.TimerHandle:
        return asyncio.get_running_loop().call_later(delay, call)

    def _carry_out(self, effects: list[events.Effect]) -> None:
        for effect in effects:
            match effect:
                case events.Answer(number, message):
                    if (client := self.clients.get(number)) is not None:
                        client.write(msgpack_rpc.encode(message))
                case events.Write(number, commands):
                    if (link := self.links.get(number)) is not None and link.transport is not None:
                        link.transport.write(b"".join(map(resp.encode, commands)))
                case events.Wake(at):
                    self._wake_at(at)
                case events.OpenLink(number, address):
                    self.links[number] = made = Link(self, number)
                    self._connect(made, address)
                case events.CloseLink(number):
                    if (gone := self.links.pop(number, None)) is not None:
                        gone.close()
                case events.CloseClient(number):
                    if (leaving := self.clients.pop(number, None)) is not None:
                        leaving.hang_up()
                case events.PartClient(number):
                    if (parting := self.clients.get(number)) is not None:
                        parting.part()
                case events.AnswerDoor(number, done, text):
                    if (caller := self.doors.pop(number, None)) is not None:
                        caller.answer(done, text)
                case events.CloseDoor(number):
                    if (caller := self.doors.pop(number, None)) is not None:
                        caller.close()
                case events.SaveHands(calls):
                    self._save_hands(calls)
                case events.OpenLog(address, seq, dial):
                    if self._log_link is not None:
                        self._log_link.close()
                    self._log_link = Log(self, seq, dial)
                    self._connect(self._log_link, address)
                case events.Note(text):
                    self.log(text)
                case events.StartListening():
                    self.start_listening()
                case events.StopListening():
                    self.stop_listening()
                case events.Exit():
                    self.exit()

    def _look_at_hands(self) -> None:
        """Read what another process of this router has put down, if it did, now and ever again."""
        if self._hands is None:
            return
        try:
            calls = self._hands.read()
            if calls is not None:
                self.feed(events.HandsRead(calls))
        except (OSError, hands.HandsError) as error:
            self.log(f"{self._hands.path.name}: not used: {error}")
        asyncio.get_running_loop().call_later(LOOK, self._look_at_hands)

    def _save_hands(self, calls: hands.Calls) -> None:
        if self._hands is not None:
            try:
                self._hands.write(calls)
            except OSError as error:  # in force all the same, but not told to another process
                self.log(f"{self._hands.path.name}: not written: {error}")

    def terminate(self) -> None:
        """Finish what was taken, then end."""
        self.feed(events.StopAsked())

    def reload(self, read: Callable[[], Config]) -> None:
        """Take what may change while serving from a configuration that is read again.

        Guards against a file that cannot be used: it is told of, and what was in force stays so.
        """
        try:
            fresh = read()
            fresh.check_against(self.config)
        except ConfigError as error:
            self.log(f"configuration kept as it was: {error}")
            return
        before, self.config = (
            self.config,
            replace(
                self.config,
                changelog=fresh.changelog,
                settings=fresh.settings,
                limits=fresh.limits,
                known=fresh.known,
                keys=fresh.keys,
            ),
        )
        self.log(
            "configuration read again"
            + (
                "; all that differs but changelog and settings takes effect at the next start"
                if replace(fresh, listen_fd=before.listen_fd, folder=before.folder) != self.config
                else ""
            )
        )
        if before.settings != fresh.settings:
            for connection in (*self.clients.values(), self._log_link):
                if connection is not None:
                    cast(Retunable, connection.decoder).retune(fresh.settings)
        self.feed(events.Reloaded(fresh.changelog, fresh.settings, fresh.limits))

    def stop_listening(self) -> None:
        """Take no more connections."""
        if self._listener is not None:
            self._listener.close()  # what the machine has accepted already is ours
            self._listener = None

    def exit(self) -> None:
        """End the program."""
        self._done.set()

    def _due(self) -> None:
        """The time to wake has come: first what has come meanwhile is read.

        Guards against timers that act on what was so before: the loop runs them ahead of its look at the
        sockets, and what is called soon by what is called soon runs behind that look.
        """
        self._soon(lambda: self._soon(self._woken))

    def _woken(self) -> None:
        self.feed(events.Woken())

    def _wake_at(self, at: float) -> None:
        if self._wake is not None:
            self._wake.cancel()
        # The loop's timers count in milliseconds: rounded up, or it would come back early and spin.
        delay = max(0.0, math.ceil((at - self.now()) * 1000) / 1000)
        self._wake = asyncio.get_running_loop().call_later(delay, self._due)

    def _connect(self, connection: Connection, address: tuple[str, int]) -> None:
        connection.connecting = asyncio.get_running_loop().create_task(self._make(connection, address))

    async def _make(self, connection: Connection, address: tuple[str, int]) -> None:
        """Connect; ``Connection.close`` cancels it."""
        loop = asyncio.get_running_loop()
        try:
            await loop.create_connection(lambda: connection, *address)
        except OSError as error:  # refused, unreachable, or no descriptor is left
            # Guards engines against being taken for down because this machine is short of something.
            connection.ours = error.errno in SHORTAGES
            if connection.ours:
                self.short(str(error))
            connection.end(str(error))


class Beside(Protocol):
    """What a program runs beside its router, on the same loop."""

    async def start(self) -> None:
        """Begin. Raises ``OSError`` where an address cannot be had."""

    async def stop(self) -> None:
        """End, once the router has."""


def run(config: Config, read: Callable[[], Config], beside: Callable[[], Beside] | None = None) -> None:
    """Serve as a program of its own: on uvloop, until SIGTERM or SIGINT; SIGHUP reads the configuration."""

    async def serve() -> None:
        other = beside() if beside is not None else None
        if other is not None:
            await other.start()
        runtime = Runtime(config)
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, runtime.terminate)
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, runtime.reload, read)
        # Guards against collections that stall the loop: keys are ordered by when requests are read.
        gc.collect()
        gc.freeze()
        gc.set_threshold(*GC_THRESHOLDS)
        await runtime.serve()
        if other is not None:
            await other.stop()

    uvloop.run(serve())
