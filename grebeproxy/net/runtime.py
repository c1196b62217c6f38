"""One router on an event loop: reports what happens to the router and has its effects carried out.

Nothing is decided here.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace
from itertools import count
from typing import Protocol, cast

from grebeproxy.config import Config, ConfigError
from grebeproxy.net import admission, changelog, events, manual_overrides, router
from grebeproxy.net.connections import (
    AdminConnection,
    ChangeLogConnection,
    ClientConnection,
    ClientConnections,
    EngineConnection,
)
from grebeproxy.net.dialer import Dialer
from grebeproxy.net.effects import carry_out
from grebeproxy.net.override_file import OverrideFile
from grebeproxy.net.closing import ClosingConnections
from grebeproxy.net.listener import Listener, adopt, bind
from grebeproxy.net.log_limit import RateLimitedLog
from grebeproxy.net.override_sync import OverrideSync
from grebeproxy.net.timers import LoopTimers
from grebeproxy.policy import Choice
from grebeproxy.policy.interface import Settings

LOG = logging.getLogger("grebeproxy")


class Retunable(Protocol):
    """A codec that goes by settings."""

    def retune(self, settings: Settings) -> None:
        """Go by these from the next message on."""


class Runtime:
    """Runs one router on an event loop. ``timers`` are the loop's own, unless a test brings others."""

    def __init__(
        self, config: Config, decide: router.Decide = Choice, timers: LoopTimers | None = None
    ) -> None:
        self.config = config
        self.timers = timers or LoopTimers()
        shared = config.listen_fd is not None
        self.bounds = admission.bounds(
            config.sockets, config.memory_mb, shared=shared, admin=config.admin is not None
        )
        self.clients = ClientConnections()
        self.links: dict[int, EngineConnection] = {}
        self.admins: dict[int, AdminConnection] = {}
        self._change_log: ChangeLogConnection | None = None
        self._numbers = count(1)
        self.closing = ClosingConnections(self.timers)
        self.dialer = Dialer(self.report_shortage)
        self._limited_log = RateLimitedLog(self.log, self.timers.now)
        self._overrides = self._override_sync()
        self._listener: Listener | None = None
        self._admin_listener: Listener | None = None
        self._listen_error: OSError | None = None  # why the address could not be listened on
        self._done = asyncio.Event()
        self._events: list[events.Event] = []
        self._stepping = False
        options = router.RouterOptions(
            config.settings,
            config.limits,
            changelog=config.changelog,
            bounds=self.bounds,
            seed=config.seed,
            shared=shared,
            known=changelog.known_events(config.known, self.timers.from_unix_ms),
        )
        self._router = router.Router(options, self.timers.now(), decide)

    def _override_sync(self) -> OverrideSync | None:
        if not self.config.admin or not self.config.folder:
            return None
        return OverrideSync(
            OverrideFile(self.config.folder, self.config.name), self.timers, self.feed, self.log
        )

    # --- the log

    def log(self, text: str) -> None:
        """One line for whoever runs the router."""
        LOG.info(text)

    def log_limited(self, text: str) -> None:
        """One line on a peer that cannot be understood, unless there was one just now."""
        self._limited_log.write(text)

    def report_shortage(self, text: str) -> None:
        """This machine lacks something: closing connections give up what they hold at once."""
        self.log_limited(text)
        self.closing.cut_all()

    # --- life

    async def serve(self) -> None:
        """Serve until asked to stop and all is answered. Raises ``OSError`` where an address is taken."""
        # Bound at once, so that an address that cannot be had ends the start; listened on when it is time.
        self._listener = self._bind()
        if self.config.admin is not None:
            self._admin_listener = Listener(
                bind(self.config.admin), self.new_admin_connection, self.report_shortage
            )
            self._admin_listener.open()
        carry_out(self, self._router.start(self.timers.now()))
        if self._overrides is not None:
            self._overrides.poll()
        await self._done.wait()
        if self._admin_listener is not None:
            self._admin_listener.close()
        if self._listen_error is not None:
            raise self._listen_error
        self._finish_connections()
        await self.closing.wait_until_ended()

    def _finish_connections(self) -> None:
        """Close all behind what is written; from now on the router's own time-outs end none of them."""
        for connection in (*self.clients.values(), *self.admins.values()):
            connection.finish()
        self.clients.clear()
        self.admins.clear()

    def _bind(self) -> Listener:
        descriptor = self.config.listen_fd
        listening = bind(self.config.listen) if descriptor is None else adopt(descriptor)
        return Listener(
            listening, self.new_client_connection, self.report_shortage, shared=descriptor is not None
        )

    def start_listening(self) -> None:
        """Take connections from now on."""
        if self._listener is None:
            return
        try:
            self._listener.open()
        except OSError as error:
            # Guards against another program that bound the address as well and listened first.
            self._listen_error = error
            self.exit()
            return
        host, port = self.config.listen
        self.log(f"{self.config.name}: serving on {host}:{port}")

    def stop_listening(self) -> None:
        """Take no more connections."""
        if self._listener is not None:
            self._listener.close()  # what the machine has accepted already is ours
            self._listener = None

    def terminate(self) -> None:
        """Finish what was taken, then end."""
        self.feed(events.StopRequested())

    def exit(self) -> None:
        """End the program."""
        self._done.set()
        self.closing.begin_exit()

    # --- events

    def feed(self, *reported: events.Event) -> None:
        """Let the router take events, with all others that have come in this turn of the loop.

        Guards against acting on what comes first where something that came as well forbids it: a process that
        stood still finds a list, a client's end and another one's request all at once.
        """
        idle = not self._events and not self._stepping
        self._events.extend(reported)
        if idle and reported:
            self.timers.call_soon(self._step)

    def _step(self) -> None:
        """Let the router take what was fed, and then what its effects bring about."""
        self._stepping = True
        try:
            while self._events:
                batch, self._events = self._events, []
                carry_out(self, self._router.step(self.timers.now(), batch))
        finally:
            self._stepping = False

    def wake_at(self, at: float) -> None:
        """Feed ``Woken`` at that time; replaces an earlier one."""
        self.timers.wake_at(at, self._wake)

    def _wake(self) -> None:
        self.feed(events.Woken())

    # --- connections

    def new_client_connection(self) -> ClientConnection:
        """A client's connection that is about to come up."""
        return ClientConnection(self, next(self._numbers), self.config.settings, self.bounds, self.clients)

    def new_admin_connection(self) -> AdminConnection:
        """An operator's connection that is about to come up."""
        return AdminConnection(self, next(self._numbers), self.admins)

    def open_link(self, number: int, address: events.Address) -> None:
        """Connect to an engine."""
        self.links[number] = link = EngineConnection(self, number, self.links)
        self.dialer.dial(link, address)

    def open_change_log(self, effect: events.OpenChangeLog) -> None:
        """Connect to the change log, ending an earlier connection."""
        if self._change_log is not None:
            self._change_log.close()
        decoder = changelog.Decoder(self.config.settings, self.timers.from_unix_ms)
        self._change_log = ChangeLogConnection(self, decoder, effect.seq, effect.dial)
        self.dialer.dial(self._change_log, effect.address)

    def save_overrides(self, calls: manual_overrides.Calls) -> None:
        """Write the manual overrides for this router's other processes, where there may be some."""
        if self._overrides is not None:
            self._overrides.save(calls)

    # --- configuration

    def reload(self, read: Callable[[], Config]) -> None:
        """Take what may change while serving from a configuration that is read again.

        Guards against a file that cannot be used: the log says so, and what was in force stays so.
        """
        try:
            fresh = read()
            fresh.check_against(self.config)
        except ConfigError as error:
            self.log(f"configuration kept as it was: {error}")
            return
        before, self.config = self.config, self.config.updated_while_serving(fresh)
        ignored = replace(fresh, listen_fd=before.listen_fd, folder=before.folder) != self.config
        self.log(
            "configuration read again"
            + (
                "; all that differs but changelog and settings takes effect at the next start"
                if ignored
                else ""
            )
        )
        if before.settings != fresh.settings:
            self._retune_decoders(fresh.settings)
        self.feed(events.Reloaded(fresh.changelog, fresh.settings, fresh.limits))

    def _retune_decoders(self, settings: Settings) -> None:
        for connection in (*self.clients.values(), self._change_log):
            if connection is not None:
                cast(Retunable, connection.decoder).retune(settings)
