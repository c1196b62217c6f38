"""How the hollow and the real routers of a run are set up."""

from __future__ import annotations

from dataclasses import dataclass

from grebeproxy.lab.scale.addresses import Address
from grebeproxy.membership import Config
from grebeproxy.peers import PeersConfig
from grebeproxy.peers.operator_file import Duty

KEY = b"the key of the lab's scale runs"  # authenticates the membership packets
DUTY = "count"
DUTY_INTERVAL_S = 1.0
PROBE_TIMEOUT_PERIODS = 0.3  # in membership periods


@dataclass(frozen=True, slots=True)
class MembershipPlan:
    """The membership settings of all routers of a run. Times in seconds."""

    fleet: int  # routers in the whole fleet, hollow and real
    period_s: float = 0.5
    lease_s: float = 3.0
    settle_s: float = 3.0
    duty_report: Address | None = None  # of the duty target; without one there is no duty

    def peers_config(
        self, name: str, listen: Address, advertise: Address, seeds: tuple[Address, ...]
    ) -> PeersConfig:
        """The configuration of one router."""
        timeout = PROBE_TIMEOUT_PERIODS * self.period_s
        member = Config(name, advertise, self.fleet, seeds, self.period_s, timeout, settle=self.settle_s)
        duties = (Duty(DUTY, self.duty_report, DUTY_INTERVAL_S),) if self.duty_report is not None else ()
        return PeersConfig(listen, member, KEY, self.lease_s, duties)


@dataclass(frozen=True, slots=True)
class RoutersPlan:
    """The hollow routers of one process: ``count`` of ``total`` routers, from number ``first`` on."""

    first: int
    count: int
    total: int
    seed: int
    changelog: Address | None = None
    membership: MembershipPlan | None = None


def router_name(number: int) -> str:
    """The name of a hollow router."""
    return f"h{number:05d}"
