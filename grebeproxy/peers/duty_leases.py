"""The leases of the configured duties: sends votes as payloads, and starts and stops duties."""

from __future__ import annotations

from random import Random

from grebeproxy import membership
from grebeproxy.membership import lease
from grebeproxy.membership.lease import LeaseConfig, Leases
from grebeproxy.peers.interface import Datagram, Effect, StartDuty, StopDuty, log_event
from grebeproxy.peers.operator_file import PeersConfig
from grebeproxy.peers.payloads import pack_vote

DEFAULT_WAKE_DELAY = 3600.0  # seconds until a component is woken that has not requested a time


class DutyLeases:
    """The lease state machine of one router: its votes, and its claims to the leases of all duties."""

    def __init__(
        self, config: PeersConfig, instance: int, members: membership.Membership, rng: Random, now: float
    ) -> None:
        member = config.member
        lease_config = LeaseConfig(member.name, instance, member.fleet, config.lease)
        self.leases = Leases(lease_config, rng, now)
        self.wake_at = now
        self._name = member.name
        self._instance = instance
        self._members = members
        self._duties = tuple(duty.name for duty in config.duties)

    def claim_all(self, now: float) -> list[Effect]:
        """Request the leases of all duties."""
        return self.step(now, *(lease.LeaseWanted(duty) for duty in self._duties))

    def release_all(self, now: float) -> list[Effect]:
        """Release the leases of all duties, and stop requesting them."""
        return self.step(now, *(lease.LeaseWanted(duty, False) for duty in self._duties))

    def wake(self, now: float) -> list[Effect]:
        """Let the lease state machine handle the timeouts that are due."""
        self.wake_at = now + DEFAULT_WAKE_DELAY
        return self.step(now, lease.Woken())

    def step(self, now: float, *events: lease.Event) -> list[Effect]:
        """Pass events to the lease state machine, and return the node's effects."""
        effects: list[Effect] = []
        for effect in self.leases.step(now, events):
            match effect:
                case lease.SendVote(to, vote):
                    if (fact := self._members.facts.get(to)) is not None:
                        payload = pack_vote(self._name, self._instance, vote)
                        effects.append(Datagram(fact.address, payload))
                case lease.LeaseAcquired(name, token):
                    effects.append(log_event("peers.lease.acquired", lease=name, ballot=token[0]))
                    effects.append(StartDuty(name))
                case lease.LeaseLost(name):
                    effects.append(log_event("peers.lease.lost", lease=name))
                    effects.append(StopDuty(name))
                case membership.Wake(at):
                    self.wake_at = at
        return effects
