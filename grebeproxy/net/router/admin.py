"""The admin endpoint: operators' connections and the calls on them."""

from __future__ import annotations

from typing import NamedTuple

from grebeproxy.net import admission
from grebeproxy.net.events import (
    AdminCallReceived,
    AdminClosed,
    AdminEvent,
    AdminOpened,
    AnswerAdmin,
    CloseAdmin,
)
from grebeproxy.net.messages import Active, AdminCall, MaintenanceOff, MaintenanceOn, Standby, Status
from grebeproxy.net.router.options import RouterOptions
from grebeproxy.net.router.shutdown import GracefulShutdown


class AdminReply(NamedTuple):
    """The reply to an operator's call: whether the call was carried out, and a text for the operator."""

    done: bool
    text: str


class Admin(GracefulShutdown):
    """The admin endpoint: operators' connections and the calls on them."""

    def __init__(self, options: RouterOptions, now: float) -> None:
        super().__init__(options, now)
        self._admins: dict[int, float] = {}  # time of opening by connection number, the oldest first

    def _on_admin_event(self, event: AdminEvent) -> None:
        match event:
            case AdminOpened(conn):
                self._open_admin(conn)
            case AdminCallReceived(conn, call):
                if self._admins.pop(conn, None) is not None:
                    reply = self._on_admin_call(call)
                    self._effects.append(AnswerAdmin(conn, reply.done, reply.text))
            case AdminClosed(conn):
                self._admins.pop(conn, None)

    def _open_admin(self, conn: int) -> None:
        if len(self._admins) >= admission.MAX_ADMIN_CONNECTIONS:
            self._close_admin(next(iter(self._admins)))
        self._admins[conn] = self.now
        self._timers.add(self.now + admission.ADMIN_CALL_TIMEOUT, self._close_admin, conn)

    def _close_admin(self, conn: int) -> None:
        if self._admins.pop(conn, None) is not None:
            self._effects.append(CloseAdmin(conn))

    def _on_admin_call(self, call: AdminCall) -> AdminReply:
        match call:
            case Status():
                accepting = self._listening and not self._stopping
                serving = accepting and not self._draining()
                return AdminReply(accepting, "serving" if serving else "not serving")
            case MaintenanceOn(engine) | MaintenanceOff(engine):
                return self._on_maintenance_call(engine, isinstance(call, MaintenanceOn))
            case Standby():
                self._enter_standby()
                return AdminReply(True, "clients are sent away")
            case Active():
                if self._stopping:
                    return AdminReply(False, "stopping")
                self._leave_standby()
                return AdminReply(True, "clients may come")
        return AdminReply(False, "not a call")

    def _on_maintenance_call(self, engine: str, disabled: bool) -> AdminReply:
        if not self._knows_engine(engine):
            return AdminReply(False, "no such engine")
        done = self._override(engine, disabled)
        return AdminReply(done, "done" if done else "too many engines are out")
