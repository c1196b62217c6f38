"""Runs one router on an event loop: feeds it events and executes the effects that it returns.

Only the router's state machine (``grebeproxy.net.router``) makes decisions.
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
from grebeproxy.net.input_queue import InputQueue
from grebeproxy.net.listener import Listener, adopt, bind
from grebeproxy.net.log_limit import RateLimitedLog
from grebeproxy.net.log_line import log_line
from grebeproxy.net.override_file import OverrideFile
from grebeproxy.net.override_sync import OverrideSync
from grebeproxy.net.pauses import HEARTBEAT_INTERVAL, MAX_LATENESS, PauseDetector
from grebeproxy.net.timers import LoopTimers
from grebeproxy.net.usage import UsageReport
from grebeproxy.policy import Choice
from grebeproxy.policy.interface import Settings

LOG = logging.getLogger("grebeproxy")

POLLS_AFTER_PAUSE = 3  # one each for unread data, the end of the stream after it, and the report of a reset

MAX_TURNS_BEFORE_STEP = 8  # turns of the loop in which a step waits for input that is not decoded yet


class Runtime:
    """Runs one router on an event loop. Tests pass their own ``timers``."""

    def __init__(
        self,
        config: Config,
        make_decision_module: router.DecisionModuleFactory = Choice,
        timers: LoopTimers | None = None,
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
        self._connection_numbers = count(1)
        self.closing = ClosingConnections(self.timers, self.bounds.unsent)
        self.input = InputQueue(self.timers)
        self.dialer = Dialer(self.report_dial_shortage)
        self._limited_log = RateLimitedLog(self.log, self.timers.now)
        self._overrides = self._override_sync()
        self._listener: Listener | None = None
        self._listen_error: OSError | None = None  # ``serve`` raises it
        self._done = asyncio.Event()
        self._events: list[events.Event] = []  # events for the next step
        self._read_at = self.timers.now()  # when the first of ``_events`` was read
        self._pauses = PauseDetector(self._read_at)
        self._stepping = False  # whether the state machine or its effects are running
        options = router.RouterOptions(
            config.settings,
            config.limits,
            changelog=config.changelog,
            bounds=self.bounds,
            seed=config.seed,
            shared=shared,
            known=changelog.known_events(config.known, self.timers.from_unix_ms),
        )
        self._router = router.Router(options, self.timers.now(), make_decision_module)
        counts = {
            "clients": lambda: len(self.clients),
            "requests": self._router.open_requests,
            "queued_connections": lambda: len(self.input),
            "buffered_bytes": lambda: self.clients.buffered_bytes,
        }
        self._usage = UsageReport(self.log_limited, config.memory_mb, counts, self.timers.now())

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
        """Write one log line that peers can cause, unless the last one was less than a second ago."""
        self._limited_log.write(text)

    def report_dial_shortage(self, error: OSError) -> None:
        """Report that a connection could not be opened because this machine lacks a resource."""
        self._report_shortage("dial", error)

    def report_accept_shortage(self, error: OSError) -> None:
        """Report that no connection can be accepted because this machine lacks a resource."""
        self._report_shortage("accept", error)

    def _report_shortage(self, operation: str, error: OSError) -> None:
        """Log the shortage, and abort closing connections to free their descriptors."""
        self.log_limited(log_line("router.resource.exhausted", operation=operation, error=error))
        self.closing.abort_all()

    # --- start and end

    async def serve(self) -> None:
        """Serve until a stop is requested and all is answered. Raises ``OSError`` for an address in use."""
        # The socket is bound first, so that an address in use fails the start. The state machine decides when
        # to listen.
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
        """A context that listens for operators if the configuration has an admin address."""
        if self.config.admin is None:
            return contextlib.nullcontext()
        listener = Listener(bind(self.config.admin), self.new_admin_connection, self.report_accept_shortage)
        listener.open()
        return contextlib.closing(listener)

    def _close_connections(self) -> None:
        """Close the connections of clients and operators gracefully; their timeouts no longer apply."""
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
        """Stop accepting clients."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def terminate(self) -> None:
        """Answer all open requests, then exit.

        A signal that arrives while the process is stopped is handled when the process resumes. It may have
        arrived at any time since the process last ran, so that time counts as the time of the request.
        """
        self.feed(events.StopRequested(self._pauses.ran_before(self.timers.now())))

    def exit(self) -> None:
        """End ``serve`` after all written bytes are sent."""
        self._done.set()
        self.closing.begin_exit()

    # --- events

    def now(self) -> float:
        """The router's clock, in seconds."""
        return self.timers.now()

    def feed(self, *reported: events.Event) -> None:
        """Pass events to the router, in one step with all other events of this iteration of the loop.

        With a step for each event, the router could act on one event although a later one forbids it: a
        process that resumes after a stop finds an engine list, a client's close and another client's request
        at once.
        """
        idle = not self._events and not self._stepping
        self._events.extend(reported)
        if idle and reported:
            self._read_at = self.timers.now()
            paused = self._pauses.ran(self._read_at)
            self.timers.call_soon(self._poll_and_step if paused else self._step_unless_outdated)

    def _step_unless_outdated(self) -> None:
        """Step; if the process paused since the sockets were read, poll the sockets first."""
        if self.timers.now() - self._read_at > MAX_LATENESS:
            self._poll_and_step()
        else:
            self._step()

    def _poll_and_step(self, polls: int = POLLS_AFTER_PAUSE) -> None:
        """Let the loop poll its sockets ``polls`` more times, then step.

        Right after a pause, a step would act on only a part of the input that arrived during the pause: it
        could send a request whose client has disconnected, or time out a peer whose bytes are still unread.
        The end of a connection is read only after the data before it, and a reset is reported one iteration
        later.
        """
        if polls > 0 or (self.input.has_waiting and polls > -MAX_TURNS_BEFORE_STEP):
            # The loop polls its sockets before it makes this call.
            self.timers.call_soon(lambda: self._poll_and_step(polls - 1))
        else:
            # The process may have been stopped once more between the polls.
            self.clients.end_departed()
            self._step()

    def _step(self) -> None:
        """Pass the fed events to the state machine, and the events that its effects cause in turn."""
        self._stepping = True
        try:
            self.input.end_departed()
            while self._events:
                batch, self._events = self._events, []
                carry_out(self, self._router.step(self.timers.now(), batch))
        finally:
            self._stepping = False

    @contextlib.contextmanager
    def _heartbeats(self) -> Iterator[None]:
        """A context in which heartbeats report regularly that the loop runs."""
        self._heartbeat()
        try:
            yield
        finally:
            self._heartbeat_timer.cancel()

    def _heartbeat(self) -> None:
        now = self.timers.now()
        self._pauses.heartbeat(now)
        self._usage.heartbeat(now)
        self._heartbeat_timer = self.timers.call_later(HEARTBEAT_INTERVAL, self._heartbeat)

    def wake_at(self, due: float) -> None:
        """Feed a ``Woken`` event at the time ``due``; replaces an earlier wake-up."""
        self.timers.wake_at(due, self._wake)

    def _wake(self, turns: int = MAX_TURNS_BEFORE_STEP) -> None:
        """Wake the router once the input that was waiting on sockets is decoded."""
        if turns and self.input.has_waiting:
            self.timers.call_soon(lambda: self._wake(turns - 1))
        else:
            self.feed(events.Woken())

    # --- connections

    def new_client_connection(self) -> ClientConnection:
        """Create the protocol of an accepted client connection."""
        return ClientConnection(
            self, next(self._connection_numbers), self.config.settings, self.bounds, self.clients
        )

    def new_admin_connection(self) -> AdminConnection:
        """Create the protocol of an accepted operator connection."""
        return AdminConnection(self, next(self._connection_numbers), self.admins)

    def open_link(self, number: int, address: events.Address) -> None:
        """Connect to an engine."""
        link = EngineConnection(self, number, self.links)
        self.links[number] = link
        self.dialer.dial(link, address)

    def open_change_log(self, effect: events.OpenChangeLog) -> None:
        """Connect to the change log and close an earlier connection."""
        if self._change_log is not None:
            self._change_log.close()
        decoder = changelog.Decoder(self.config.settings, self.timers.from_unix_ms)
        self._change_log = ChangeLogConnection(self, decoder, effect.seq, effect.dial)
        self.dialer.dial(self._change_log, effect.address)

    def save_overrides(self, calls: manual_overrides.Calls) -> None:
        """Save the manual overrides for the other processes of this router, if they share a folder."""
        if self._overrides is not None:
            self._overrides.save(calls)

    # --- configuration

    def reload(self, read_config: Callable[[], Config]) -> None:
        """Reload the configuration and apply the parts that may change while serving.

        If the new configuration is invalid, the reason is logged and the old configuration stays in force.
        """
        try:
            new_config = read_config()
            new_config.check_against(self.config)
        except ConfigError as error:
            self.log(log_line("router.configuration.rejected", error=error))
            return
        old_config = self.config
        self.config = old_config.updated_while_serving(new_config)
        if replace(new_config, listen_fd=old_config.listen_fd, folder=old_config.folder) == self.config:
            self.log(log_line("router.configuration.reloaded"))
        else:  # Some changed keys take effect only at the next start.
            self.log(log_line("router.configuration.reloaded", restart_needed="true"))
        if old_config.settings != new_config.settings:
            self._apply_settings(new_config.settings)
        self.feed(events.Reloaded(new_config.changelog, new_config.settings, new_config.limits))

    def _apply_settings(self, settings: Settings) -> None:
        """Make open connections decode by these settings."""
        for client in self.clients.values():
            client.apply_settings(settings)
        if self._change_log is not None:
            self._change_log.apply_settings(settings)
