"""Membership, duty leases and the replica store, combined into one state machine.

Like its components, the node does no I/O: ``step(now, events)`` returns effects. The node passes each payload
to the component that handles its kind, and each new view of the members to the leases and the store. The
runtime seals and opens datagrams, runs the timer and does the duties.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random
from typing import Any

from grebeproxy import membership, replica
from grebeproxy.membership import lease
from grebeproxy.membership.lease import Leases, Token
from grebeproxy.membership.model import View
from grebeproxy.peers.duty_leases import DEFAULT_WAKE_DELAY, DutyLeases
from grebeproxy.peers.interface import (
    Datagram,
    DutyRejected,
    Effect,
    Event,
    LogEvent,
    PayloadReceived,
    ShutdownRequested,
    StartDuty,
    StopDuty,
    Tick,
    Wake,
    log_event,
)
from grebeproxy.peers.operator_file import PeersConfig
from grebeproxy.peers.payloads import (
    DELTA,
    DIGEST,
    MEMBER,
    VOTE,
    PayloadError,
    Received,
    pack_member,
    pack_replica,
    unpack,
)
from grebeproxy.replica import Limits, Store

__all__ = [
    "DELTA",
    "DIGEST",
    "MEMBER",
    "VOTE",
    "Datagram",
    "DutyRejected",
    "Effect",
    "Event",
    "LogEvent",
    "Node",
    "PayloadError",
    "PayloadReceived",
    "ShutdownRequested",
    "StartDuty",
    "StopDuty",
    "Tick",
    "Wake",
]

MAX_LOGGED_MEMBERS = 16


class Node:
    """One router's state machine for membership, duty leases and replicated records."""

    def __init__(
        self, config: PeersConfig, instance: int, rng: Random, now: float, limits: Limits | None = None
    ) -> None:
        self.config = config
        self.instance = instance
        self.name = config.member.name
        self.members = membership.Membership(config.member, instance, rng, now)
        self._duty_leases = DutyLeases(config, instance, self.members, rng, now)
        self.store = Store(self.name, limits or Limits(), rng, now)
        self.ended = False  # This router has left or was displaced.
        self.malformed_payloads = 0  # number of malformed payloads received
        self._effects: list[Effect] = []
        self._membership_wake_at = now
        self._store_wake_at = now
        # The time of the pending ``Wake``, or ``None`` once its ``Tick`` has come.
        self._pending_wake_at: float | None = None

    @property
    def view(self) -> View:
        """This router's view of the members."""
        return self.members.view

    @property
    def leases(self) -> Leases:
        """The lease state machine."""
        return self._duty_leases.leases

    def token(self, duty: str, now: float) -> Token | None:
        """The fencing token under which a duty may be done at this moment; ``None`` if it may not."""
        return None if self.ended else self.leases.token(duty, now)

    def start(self, now: float) -> list[Effect]:
        """Request the leases of all duties, and return the first effects."""
        self._effects += self._duty_leases.claim_all(now)
        return self._effects + self.step(now, [])

    def step(self, now: float, events: Iterable[Event]) -> list[Effect]:
        """Handle events in their order, and return the effects to carry out."""
        self._effects = []
        for event in events:
            if self.ended:
                break
            match event:
                case PayloadReceived(payload):
                    self._on_payload(now, payload)
                case Tick():
                    self._pending_wake_at = None
                case ShutdownRequested():
                    self._effects += self._duty_leases.release_all(now)
                    self._step_membership(now, membership.LeaveRequested())
                    self.ended = True
                case DutyRejected(duty, token):
                    self._step_leases(now, lease.TokenRejected(duty, token))
        if not self.ended:
            self._wake_due_components(now)
            self._request_wake()
        return self._effects

    # --- Time

    def _wake_due_components(self, now: float) -> None:
        # All due components are determined first: the step of one component may change another one's time.
        membership_is_due = now >= self._membership_wake_at
        leases_are_due = now >= self._duty_leases.wake_at
        store_is_due = now >= self._store_wake_at
        if membership_is_due:
            self._membership_wake_at = now + DEFAULT_WAKE_DELAY
            self._step_membership(now, membership.Woken())
        if leases_are_due:
            self._effects += self._duty_leases.wake(now)
        if store_is_due:
            self._step_store(now, replica.Woken())
            self._store_wake_at = self.store.next_wake_at

    def _request_wake(self) -> None:
        """Request a ``Wake`` if none is pending, or if the pending one is after the earliest time."""
        at = min(self._membership_wake_at, self._duty_leases.wake_at, self._store_wake_at)
        if self._pending_wake_at is None or at < self._pending_wake_at:
            self._pending_wake_at = at
            self._effects.append(Wake(at))

    # --- Payloads

    def _on_payload(self, now: float, payload: Any) -> None:
        try:
            message = unpack(payload)
        except PayloadError:
            self.malformed_payloads += 1
            return
        self._on_message(now, message)

    def _on_message(self, now: float, message: Received) -> None:
        match message:
            case membership.MessageReceived():
                self._step_membership(now, message)
            case lease.VoteReceived():
                if self._is_current_member(message.sender, message.instance):
                    self._step_leases(now, message)
            case replica.MessageReceived():
                if message.sender in self.view.members:
                    self._step_store(now, message)

    def _is_current_member(self, name: object, instance: object) -> bool:
        """Whether a process is the current member of its name; votes of any other process do not count."""
        fact = self.members.facts.get(name) if isinstance(name, str) else None
        return fact is not None and fact.instance == instance and name in self.view.members

    # --- Components

    def _step_membership(self, now: float, *events: membership.Event) -> None:
        conflicts_before = self.members.name_conflicts
        for effect in self.members.step(now, events):
            match effect:
                case membership.Send(to, message):
                    self._effects.append(Datagram(to, pack_member(message)))
                case membership.Wake(at):
                    self._membership_wake_at = at
                case membership.Notice(kind, name):
                    self._effects.append(log_event(f"peers.member.{kind}", name=name))
                case membership.ViewChanged(view):
                    self._on_view(now, view)
                case membership.Displaced():
                    self._effects += self._duty_leases.release_all(now)
                    self.ended = True
        if self.members.name_conflicts > conflicts_before:
            self._step_leases(now, lease.ViewUpdated(self.view, duplicate=True))

    def _on_view(self, now: float, view: View) -> None:
        self._effects.append(
            log_event(
                "peers.view.changed",
                epoch=view.epoch,
                condition=view.condition.value,
                members=" ".join(view.members[:MAX_LOGGED_MEMBERS]),
                count=len(view.members),
            )
        )
        self._step_leases(now, lease.ViewUpdated(view))
        others = tuple(name for name in view.members if name != self.name)
        self._step_store(now, replica.ReachableMembers(others))

    def _step_leases(self, now: float, event: lease.Event) -> None:
        self._effects += self._duty_leases.step(now, event)

    def _step_store(self, now: float, event: replica.Event) -> None:
        for effect in self.store.step(now, [event]):
            # ``OriginChanged`` needs no action here: users of published values read them when they need them.
            if isinstance(effect, replica.Send) and (fact := self.members.facts.get(effect.to)) is not None:
                self._effects.append(Datagram(fact.address, pack_replica(self.name, effect.message)))
