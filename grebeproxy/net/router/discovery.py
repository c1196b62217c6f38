"""Discovery: follows the change log and applies its events to the engines."""

from __future__ import annotations

from grebeproxy.net.events import (
    Address,
    ChangeLogClosed,
    ChangeLogEvent,
    ChangeLogOpened,
    ChangeLogReceived,
    LogLine,
)
from grebeproxy.net.follower import ChangeLogGapError, Follower
from grebeproxy.net.log_line import log_line
from grebeproxy.net.messages import ChangeLogUpdate
from grebeproxy.net.router.clients import Clients
from grebeproxy.net.router.core import TIMER_TOLERANCE
from grebeproxy.net.router.options import RouterOptions
from grebeproxy.net.router.records import EngineLocation
from grebeproxy.policy import interface as api

NEVER = float("-inf")  # the start time of an engine whose entry has none: it started before the others


class Discovery(Clients):
    """Follows the change log and applies its events to the engines."""

    def __init__(self, options: RouterOptions, now: float) -> None:
        super().__init__(options, now)
        self._change_log = Follower(options.changelog, now)

    def _on_change_log_event(self, event: ChangeLogEvent) -> None:
        """Process an event of the change log. The opening or closing of an earlier connection is ignored."""
        match event:
            case ChangeLogOpened(dial) if dial == self._change_log.dials:
                self._change_log.opened(self.now)
            case ChangeLogReceived(update):
                self._on_change_log_update(update)
            case ChangeLogClosed(reason, dial) if dial == self._change_log.dials:
                self._schedule_change_log_dial(reason)

    # --- the connection

    def _dial_change_log(self, dials: int) -> None:
        """Connect, unless the number of dials has changed from ``dials`` since this dial was scheduled."""
        if dials != self._change_log.dials:
            return
        self._effects.append(self._change_log.dial(self.now))
        self._timers.add(self._change_log_due(), self._check_change_log, self._change_log.dials)

    def _change_log_due(self) -> float:
        return self._change_log.silence_deadline(self.settings.rules.drain_grace)

    def _check_change_log(self, dials: int) -> None:
        """Dial again if the connection has been silent, or has not opened, for too long."""
        if not self._change_log.open or dials != self._change_log.dials:
            return
        due = self._change_log_due()
        if self.now < due - TIMER_TOLERANCE:
            self._timers.add(due, self._check_change_log, dials)
            return
        self._log_change_log_lost("silent" if self._change_log.connected else "no connection")
        self._change_log.timed_out()
        self._dial_change_log(self._change_log.dials)

    def _schedule_change_log_dial(self, reason: str) -> None:
        """Log the loss of the connection, and dial again after a backoff."""
        if self._change_log.open:
            self._log_change_log_lost(reason)
            delay = self._change_log.give_up()
            self._timers.add(self.now + delay, self._dial_change_log, self._change_log.dials)

    def _log_change_log_lost(self, reason: str) -> None:
        line = log_line("router.change_log.lost", seq=self._change_log.seq, reason=reason)
        self._effects.append(LogLine(line))

    def _migrate_change_log(self, address: Address) -> None:
        if self._change_log.migrate(address):
            host, port = address
            line = log_line("router.change_log.migrated", address=f"{host}:{port}", seq=self._change_log.seq)
            self._effects.append(LogLine(line))
            self._dial_change_log(self._change_log.dials)

    # --- the events of the change log

    def _on_change_log_update(self, update: ChangeLogUpdate) -> None:
        if not self._change_log.open:
            return
        self._start_listening()
        try:
            if self._change_log.receive(update, self.now):
                self._apply(update)
        except ChangeLogGapError as error:
            self._schedule_change_log_dial(str(error))

    def _apply(self, update: ChangeLogUpdate) -> None:
        change, addresses = update.change, update.addresses or {}
        if change is None:
            return
        if change.list_kind is api.ListKind.FULL:
            for engine in sorted(self._locations.keys() - addresses.keys()):
                self._retire_links(engine)
                self._locations[engine].gone = True
                self._forget_if_gone(engine)
        for entry in change.engines:
            self._apply_engine(entry, addresses[entry.id])
        self._module_events.append(change)

    def _apply_engine(self, entry: api.Engine, address: Address) -> None:
        """Apply the entry of one engine: its address, its state and its start time."""
        if self._is_superseded(entry, address):
            owner = self._engine_by_address[address]
            line = log_line(
                "router.engine.superseded", engine=entry.id, by=owner, address=f"{address[0]}:{address[1]}"
            )
            self._effects.append(LogLine(line, limited=True))
            self._retire_links(entry.id, drop=True)
            self._forget_location(entry.id)
            return
        if entry.state is not api.EngineState.GONE:
            self._release_address(address, entry.id)
        old = self._locations.get(entry.id)
        gone = entry.state is api.EngineState.GONE
        draining = entry.state is api.EngineState.DRAINING
        self._set_location(entry.id, EngineLocation(address, entry.started, gone, draining))
        if entry.state is not api.EngineState.UP:
            self._retire_links(entry.id)
            self._forget_if_gone(entry.id)
        elif old is not None and (old.address != address or old.started_at != entry.started):
            migrated = old.address != address
            for link in list(self._links_by_engine.get(entry.id, ())):
                # The connection leads to an old address, or to a process that has ended since.
                if migrated or link.opened_at < (entry.started or 0.0):
                    self._drop_link(link)

    def _is_superseded(self, entry: api.Engine, address: Address) -> bool:
        """Whether another engine that started later has the address, so that the entry is outdated.

        Without this, attempts on the engine that has ended would reach the one that replaced it, and the
        latter would lose its address as soon as the former is listed once more.
        """
        owner = self._engine_by_address.get(address, entry.id)
        location = self._locations.get(owner)
        if owner == entry.id or location is None or location.gone or entry.state is api.EngineState.GONE:
            return False
        owner_started, started = location.started_at or NEVER, entry.started or NEVER
        if owner_started == started:
            return entry.state is api.EngineState.DRAINING and not location.draining
        return owner_started > started

    def _release_address(self, address: Address, engine: str) -> None:
        """Drop the connections of the engine that had the address before.

        Without this, the engine that has the address now might answer on those connections.
        """
        previous = self._engine_by_address.get(address, engine)
        if previous != engine:
            self._retire_links(previous, drop=True)
            self._forget_location(previous)
