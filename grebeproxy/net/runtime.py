"""One router on an event loop: passes events to it and carries out the effects that it returns.

Decisions are made by the state machine (``grebeproxy.net.router``) alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Iterator
from dataclasses import replace
from itertools import count

from grebeproxy.config import Config, ConfigError
from grebeproxy.net import admission, changelog, events, manual_overrides, router
from grebeproxy.net.closing import ClosingConnections
from grebeproxy.net.connections import (
    AdminConnection,
    ChangeLogConnection,
    ClientConnection,
    ClientConnections,
    EngineConnection,
)
from grebeproxy.net.dialer import Dialer
from grebeproxy.net.effects import carry_out
from grebeproxy.net.listener import Listener, adopt, bind
from grebeproxy.net.log_limit import RateLimitedLog
from grebeproxy.net.log_line import log_line
from grebeproxy.net.override_file import OverrideFile
from grebeproxy.net.override_sync import OverrideSync
from grebeproxy.net.pauses import HEARTBEAT_INTERVAL, MAX_LATENESS, PauseDetector
from grebeproxy.net.timers import LoopTimers
from grebeproxy.policy import Choice
from grebeproxy.policy.interface import Settings

LOG = logging.getLogger("grebeproxy")

POLLS_AFTER_PAUSE = 3  # what was not read yet, the end behind it, and the report of a reset


class Runtime:
    """Runs one router on an event loop. Tests pass their own ``timers``."""

    def __init__(
        self, config: Config, decide: router.DecisionModuleFactory = Choice, timers: LoopTimers | None = None
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
        self.dialer = Dialer(self.report_dial_shortage)
        self._limited_log = RateLimitedLog(self.log, self.timers.now)
        self._overrides = self._override_sync()
        self._listener: Listener | None = None
        self._listen_error: OSError | None = None  # raised by ``serve``
        self._done = asyncio.Event()
        self._events: list[events.Event] = []  # for the next step
        self._read_at = self.timers.now()  # when the first of these events was read
        self._pauses = PauseDetector(self._read_at)
        self._stepping = False  # the router or its effects are running
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
        """Write one log line."""
        LOG.info(text)

    def log_limited(self, text: str) -> None:
        """Write one log line that peers can cause, unless there was one less than a second ago."""
        self._limited_log.write(text)

    def report_dial_shortage(self, error: OSError) -> None:
        """A connection could not be made for want of a resource of this machine."""
        self._report_shortage("dial", error)

    def report_accept_shortage(self, error: OSError) -> None:
        """No connection can be accepted for want of a resource of this machine."""
        self._report_shortage("accept", error)

    def _report_shortage(self, operation: str, error: OSError) -> None:
        """Log it, and free what closing connections hold at once."""
        self.log_limited(log_line("router.resource.exhausted", operation=operation, error=error))
        self.closing.abort_all()

    # --- start and end

    async def serve(self) -> None:
        """Serve until asked to stop and all is answered. Raises ``OSError`` for an address in use."""
        # Bound first, so that an address in use ends the start; the state machine decides when to listen.
        self._listener = self._bind()
        async with self.dialer:
            with self._admin_endpoint(), self._heartbeats():
                carry_out(self, self._router.start(self.timers.now()))
                if self._overrides is not None:
                    self._overrides.poll()
                await self._done.wait()
            if self._listen_error is not None:
                raise self._listen_error
            self._close_connections()
            await self.closing.wait_until_closed()

    def _admin_endpoint(self) -> contextlib.AbstractContextManager[object]:
        """Listens for operators until it is left, where the configuration gives an address for them."""
        if self.config.admin is None:
            return contextlib.nullcontext()
        listener = Listener(bind(self.config.admin), self.new_admin_connection, self.report_accept_shortage)
        listener.open()
        return contextlib.closing(listener)

    def _close_connections(self) -> None:
        """Close those of clients and operators gracefully; the timeouts no longer apply to them."""
        for connection in (*self.clients.values(), *self.admins.values()):
            connection.close_gracefully()
        self.clients.clear()
        self.admins.clear()

    def _bind(self) -> Listener:
        descriptor = self.config.listen_fd
        listening = bind(self.config.listen) if descriptor is None else adopt(descriptor)
        return Listener(
            listening, self.new_client_connection, self.report_accept_shortage, shared=descriptor is not None
        )

    def start_listening(self) -> None:
        """Accept clients from now on."""
        if self._listener is None:
            return
        try:
            self._listener.open()
        except OSError as error:
            # Another program bound the address as well and listened first.
            self._listen_error = error
            self.exit()
            return
        host, port = self.config.listen
        self.log(log_line("router.listener.opened", name=self.config.name, address=f"{host}:{port}"))

    def stop_listening(self) -> None:
        """Accept no more clients."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def terminate(self) -> None:
        """Answer all open requests, then exit.

        A signal that came while the process was stopped is handled once it goes on: it may have come at any
        time since the process ran last.
        """
        self.feed(events.StopRequested(self._pauses.ran_before(self.timers.now())))

    def exit(self) -> None:
        """End ``serve`` once all that was written is sent."""
        self._done.set()
        self.closing.begin_exit()

    # --- events

    def now(self) -> float:
        """The router's clock, in seconds."""
        return self.timers.now()

    def feed(self, *reported: events.Event) -> None:
        """Pass events to the router, in one step with all others of this iteration of the loop.

        A step for each could act on the first event where a later one forbids it: a process that was stopped
        and goes on finds an engine list, a client's close and another client's request all at once.
        """
        idle = not self._events and not self._stepping
        self._events.extend(reported)
        if idle and reported:
            self._read_at = self.timers.now()
            paused = self._pauses.ran(self._read_at)
            self.timers.call_soon(self._poll_and_step if paused else self._step_unless_outdated)

    def _step_unless_outdated(self) -> None:
        """Step, unless the process stood still since the sockets were read."""
        if self.timers.now() - self._read_at > MAX_LATENESS:
            self._poll_and_step()
        else:
            self._step()

    def _poll_and_step(self, polls: int = POLLS_AFTER_PAUSE) -> None:
        """Let the loop read its sockets some times more, then step.

        After a pause the step would act on a part of what came during it: send a request whose client has
        left meanwhile, or time out a peer whose bytes wait unread. The end of a connection is read only after
        the data before it, and a reset is reported one turn later still.
        """
        if polls:  # the loop polls its sockets before it makes this call
            self.timers.call_soon(lambda: self._poll_and_step(polls - 1))
        else:
            self._step()

    def _step(self) -> None:
        """Give the state machine the events that were fed, and those that its effects cause in turn."""
        self._stepping = True
        try:
            while self._events:
                batch, self._events = self._events, []
                carry_out(self, self._router.step(self.timers.now(), batch))
        finally:
            self._stepping = False

    @contextlib.contextmanager
    def _heartbeats(self) -> Iterator[None]:
        """Show regularly that the loop runs, until it is left."""
        self._heartbeat()
        try:
            yield
        finally:
            self._heartbeat_timer.cancel()

    def _heartbeat(self) -> None:
        self._pauses.heartbeat(self.timers.now())
        self._heartbeat_timer = self.timers.call_later(HEARTBEAT_INTERVAL, self._heartbeat)

    def wake_at(self, due: float) -> None:
        """Feed ``Woken`` at that time; replaces an earlier call."""
        self.timers.wake_at(due, self._wake)

    def _wake(self) -> None:
        self.feed(events.Woken())

    # --- connections

    def new_client_connection(self) -> ClientConnection:
        """The protocol of a client's connection that was accepted."""
        return ClientConnection(self, next(self._numbers), self.config.settings, self.bounds, self.clients)

    def new_admin_connection(self) -> AdminConnection:
        """The protocol of an operator's connection that was accepted."""
        return AdminConnection(self, next(self._numbers), self.admins)

    def open_link(self, number: int, address: events.Address) -> None:
        """Connect to an engine."""
        link = EngineConnection(self, number, self.links)
        self.links[number] = link
        self.dialer.dial(link, address)

    def open_change_log(self, effect: events.OpenChangeLog) -> None:
        """Connect to the change log, closing an earlier connection."""
        if self._change_log is not None:
            self._change_log.close()
        decoder = changelog.Decoder(self.config.settings, self.timers.from_unix_ms)
        self._change_log = ChangeLogConnection(self, decoder, effect.seq, effect.dial)
        self.dialer.dial(self._change_log, effect.address)

    def save_overrides(self, calls: manual_overrides.Calls) -> None:
        """Write the manual overrides for this router's other processes, where they share a folder."""
        if self._overrides is not None:
            self._overrides.save(calls)

    # --- configuration

    def reload(self, read: Callable[[], Config]) -> None:
        """Read the configuration again and apply what may change while serving.

        Where it cannot be used, the log says why and the configuration stays as it was.
        """
        try:
            fresh = read()
            fresh.check_against(self.config)
        except ConfigError as error:
            self.log(log_line("router.configuration.rejected", error=error))
            return
        before = self.config
        self.config = before.updated_while_serving(fresh)
        if replace(fresh, listen_fd=before.listen_fd, folder=before.folder) == self.config:
            self.log(log_line("router.configuration.reloaded"))
        else:  # keys differ that take effect at the next start only
            self.log(log_line("router.configuration.reloaded", restart_needed="true"))
        if before.settings != fresh.settings:
            self._retune(fresh.settings)
        self.feed(events.Reloaded(fresh.changelog, fresh.settings, fresh.limits))

    def _retune(self, settings: Settings) -> None:
        """Have connections decode by these settings."""
        for client in self.clients.values():
            client.apply_settings(settings)
        if self._change_log is not None:
            self._change_log.apply_settings(settings)
