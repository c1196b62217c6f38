"""The change log: dialled, read, and applied to the engines."""

from __future__ import annotations

from grebeproxy.net import follower
from grebeproxy.net.events import Address, LogLine
from grebeproxy.net.messages import ChangeLogUpdate
from grebeproxy.net.router.clients import Clients
from grebeproxy.net.router.records import Place
from grebeproxy.policy import interface as api


class Discovery(Clients):
    """The change log: dialled, read, and applied to the engines."""

    def _dial_log(self, dials: int) -> None:
        # Guards against two connections: one that was dialled meanwhile, at another address, goes first.
        if dials != self._log.dials:
            return
        self._effects.append(follower.dial(self._log, self.now))
        self._at(self._log_due(), self._check_log, self._log.dials)

    def _log_due(self) -> float:
        return follower.due(self._log, self.settings.rules.drain_grace)

    def _check_log(self, dials: int) -> None:
        if not self._log.open or dials != self._log.dials:
            return
        if self.now < (due := self._log_due()) - 1e-6:
            self._at(due, self._check_log, dials)
            return
        reason = "silent" if self._log.up else "no connection"
        self._effects.append(LogLine(f"change log: {reason}; trying again after event {self._log.seq}"))
        follower.hung(self._log)
        self._dial_log(dials)

    def _lose_log(self, reason: str) -> None:
        if self._log.open:
            self._effects.append(LogLine(f"change log: {reason}; trying again after event {self._log.seq}"))
            self._at(self.now + follower.lose(self._log), self._dial_log, self._log.dials)

    def _read_log(self, update: ChangeLogUpdate) -> None:
        if not self._log.open:
            return
        self._start_listening()
        try:
            if follower.read(self._log, update, self.now):
                self._apply(update)
        except follower.ChangeLogGapError as error:
            self._lose_log(str(error))

    def _migrate_change_log(self, address: Address) -> None:
        if follower.migrate(self._log, address):
            host, port = address
            self._effects.append(LogLine(f"change log: at {host}:{port} after event {self._log.seq}"))
            self._dial_log(self._log.dials)

    def _apply(self, update: ChangeLogUpdate) -> None:
        change, addresses = update.change, update.addresses or {}
        if change is None:
            return
        if change.how is api.ListKind.FULL:
            for engine in sorted(self._places.keys() - addresses.keys()):
                self._retire(engine)
                self._places[engine].gone = True
                self._clear(engine)
        for entry in change.engines:
            self._apply_engine(entry, addresses[entry.id])
        self._pending.append(change)

    def _apply_engine(self, entry: api.Engine, address: Address) -> None:
        """Take one engine of an event of the change log: where it is, whether it is up, since when."""
        if entry.state is not api.EngineState.GONE:
            # Guards against an engine that gets the address of one that has gone: a connection made for
            # the old one must not carry anything for it.
            other = self._engine_at.get(address, entry.id)
            if other != entry.id:
                self._retire(other, drop=True)
                self._forget_place(other)
        old = self._places.get(entry.id)
        self._set_place(entry.id, Place(address, entry.started, entry.state is api.EngineState.GONE))
        if entry.state is not api.EngineState.UP:
            self._retire(entry.id)
            self._clear(entry.id)
        elif old is not None and (old.address != address or old.started != entry.started):
            migrated = old.address != address
            for link in list(self._engine_links.get(entry.id, ())):
                if migrated or link.opened < (entry.started or 0.0):  # its process has ended since
                    self._drop(link)
