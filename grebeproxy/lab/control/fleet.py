"""The control code of many routers, ``peers.Node`` with the real packet codec, on one simulated clock.

The module does no I/O, and all randomness comes from the seed. The network delays each datagram, may lose it,
and drops each datagram that would cross a partition. The CPU time of a step is counted but takes no simulated
time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from time import process_time_ns

from grebeproxy.lab.control.addresses import address, name
from grebeproxy.lab.control.converged import publish_keys, set_known_members
from grebeproxy.lab.control.errors import NoLeaseHolderError, NotReachedError
from grebeproxy.lab.control.model import NETWORK, NEVER, FailureReport, Network, Process, Scheduled
from grebeproxy.lab.control.usage import TRAFFIC_OF_PAYLOAD, Account, Traffic, Usage
from grebeproxy.membership import Config
from grebeproxy.membership.model import Address
from grebeproxy.membership.wire import PacketCodec, WireError
from grebeproxy.peers import node
from grebeproxy.peers.operator_file import Duty, PeersConfig
from grebeproxy.replica import Limits

START_TIME = 100.0  # seconds on the simulated clock
SEED_ROUTERS = 3  # routers that all others are configured to contact first
KEY = b"key of a simulated fleet"
INSTANCE_BITS = 56
LEASE_SECONDS = 3.0  # duration of the lease
DUTY = Duty("primary", ("127.0.0.1", 9000), 1.0)
MIN_TIMER_SECONDS = 0.001  # the shortest timer of a router, as in ``peers.runtime``
POLL_SECONDS = 0.05  # between two checks of whether a condition holds
REPLICA_OFF = Limits(exchange_interval=1e9)  # each store sends one digest at its start and no further one


@dataclass(slots=True)
class Fleet:
    """A fleet of ``size`` routers. ``processes`` holds the running ones by router number."""

    size: int
    seed: int
    network: Network = NETWORK
    limits: Limits = REPLICA_OFF
    duties: tuple[Duty, ...] = ()
    key_bytes: int = 0  # length of the one key that each router publishes; 0 publishes none
    now: float = START_TIME
    processes: dict[int, Process] = field(default_factory=dict)
    partitioned: Callable[[int, int], bool] | None = None  # (sender, receiver): drop the datagram?
    failure_reports: list[FailureReport] = field(default_factory=list)
    rejected_packets: int = 0
    _rng: Random = field(init=False)
    _order: count[int] = field(init=False)
    _queue: list[Scheduled] = field(default_factory=list)
    _router_at: dict[Address, int] = field(init=False)

    def __post_init__(self) -> None:
        """Set up the random numbers of the network, the order of its events and its addresses."""
        self._rng = Random(self.seed)
        self._order = count()
        self._router_at = {address(router): router for router in range(self.size)}

    # --- processes

    def start(self, *routers: int) -> None:
        """Start processes that know only the seeds. A running process is replaced as after a crash."""
        for router in routers:
            process = self._create(router)
            self._carry_out(process, process.node.start(self.now))

    def start_converged(self) -> None:
        """Start all routers in a converged state: each knows all others, and its votes count at once."""
        for router in range(self.size):
            self._create(router)
        facts = [process.node.members.me for process in self.processes.values()]
        if self.key_bytes:
            stores = [process.node.store for process in self.processes.values()]
            publish_keys(stores, self.key_bytes, self.now, self._rng)
        for process in self.processes.values():
            set_known_members(process.node, facts, self.now)
            self._carry_out(process, process.node.step(self.now, []))

    def request_lease(self, *routers: int) -> None:
        """Make routers start to request the lease of their duties."""
        for router in routers:
            process = self.processes[router]
            self._carry_out(process, process.node.start(self.now))

    def kill(self, *routers: int) -> None:
        """End processes as a crash does: the other routers are not notified."""
        for router in routers:
            del self.processes[router]

    def stop(self, router: int) -> None:
        """Shut a process down gracefully: it returns its lease and notifies the other routers."""
        process = self.processes[router]
        self._carry_out(process, process.node.step(self.now, [node.ShutdownRequested()]))
        del self.processes[router]

    def _create(self, router: int) -> Process:
        instance = self._rng.getrandbits(INSTANCE_BITS)
        config = self.config(router)
        core = node.Node(config, instance, Random(instance), self.now, self.limits)
        process = Process(router, core, PacketCodec(KEY, instance, config.settings_digest), Account())
        self.processes[router] = process
        return process

    def config(self, router: int) -> PeersConfig:
        """Return the configuration of one router."""
        seeds = tuple(address(seed) for seed in range(min(SEED_ROUTERS, self.size)))
        member = Config(name(router), address(router), self.size, seeds)
        return PeersConfig(address(router), member, KEY, LEASE_SECONDS, self.duties)

    # --- time

    def run(self, seconds: float) -> None:
        """Run the fleet for a number of simulated seconds."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, router, timer_owner, packet = heappop(self._queue)
            if timer_owner is not None:
                self._wake(router, timer_owner)
            elif (process := self.processes.get(router)) is not None:
                self._deliver(process, packet)
        self.now = until

    def run_until(
        self, holds: Callable[[], bool], max_seconds: float, poll_seconds: float = POLL_SECONDS
    ) -> float:
        """Run the fleet until a condition holds, and return the simulated seconds that passed.

        Raises ``NotReachedError`` if the condition does not hold within ``max_seconds``.
        """
        started_at = self.now
        while not holds():
            if self.now - started_at >= max_seconds:
                raise NotReachedError(f"not within {max_seconds:g} s with {self.size} routers")
            self.run(poll_seconds)
        return self.now - started_at

    def _wake(self, router: int, timer_owner: Process) -> None:
        if self.processes.get(router) is not timer_owner or timer_owner.wake_at != self.now:
            return  # the process has ended or has reset its timer
        timer_owner.wake_at = NEVER
        started_ns = process_time_ns()
        effects = timer_owner.node.step(self.now, [node.Tick()])
        spent_ns = process_time_ns() - started_ns
        timer_owner.account.by_traffic[_traffic_of(effects)].cpu_ns += spent_ns
        self._carry_out(timer_owner, effects)

    def _deliver(self, process: Process, packet: bytes) -> None:
        started_ns = process_time_ns()
        try:
            payload = process.codec.open(packet)
        except WireError:
            # The socket code drops such a packet too, for example one that is older than the replay window.
            self.rejected_packets += 1
            return
        effects = process.node.step(self.now, [node.PayloadReceived(payload)])
        spent_ns = process_time_ns() - started_ns
        usage = process.account.by_traffic[TRAFFIC_OF_PAYLOAD[payload[0]]]
        usage.cpu_ns += spent_ns
        usage.packets_received += 1
        usage.bytes_received += len(packet)
        self._carry_out(process, effects)

    def _carry_out(self, process: Process, effects: Iterable[node.Effect]) -> None:
        for effect in effects:
            match effect:
                case node.Datagram(to, payload):
                    self._send(process, to, payload)
                case node.Wake(time):
                    process.wake_at = max(time, self.now + MIN_TIMER_SECONDS)
                    self._schedule(process.wake_at, process.router, process)
                case node.LogEvent("peers.member.failed", (("name", str(failed)),)):
                    self.failure_reports.append(FailureReport(self.now, process.router, failed))

    def _send(self, process: Process, to: Address, payload: list[object]) -> None:
        started_ns = process_time_ns()
        packet = process.codec.seal(payload)
        spent_ns = process_time_ns() - started_ns
        usage = process.account.by_traffic[TRAFFIC_OF_PAYLOAD[payload[0]]]  # type: ignore[index]
        usage.cpu_ns += spent_ns
        usage.packets_sent += 1
        usage.bytes_sent += len(packet)
        receiver = self._router_at[to]
        if self.partitioned is not None and self.partitioned(process.router, receiver):
            return
        if self.network.loss and self._rng.random() < self.network.loss:
            return
        arrival = self.now + self._rng.uniform(self.network.min_delay, self.network.max_delay)
        self._schedule(arrival, receiver, None, packet)

    def _schedule(self, time: float, router: int, timer_owner: Process | None, packet: bytes = b"") -> None:
        heappush(self._queue, Scheduled(time, next(self._order), router, timer_owner, packet))

    # --- reading

    def members_seen_by(self, router: int) -> tuple[str, ...]:
        """Return the names of the members in a router's view."""
        return self.processes[router].node.view.members

    def has_converged(self, routers: Iterable[int]) -> bool:
        """Return whether the view of each of the given routers holds exactly the given routers."""
        chosen = tuple(routers)
        names = tuple(sorted(name(router) for router in chosen))
        return all(self.members_seen_by(router) == names for router in chosen)

    def usage(self, routers: Iterable[int], kinds: Iterable[Traffic] = tuple(Traffic)) -> Usage:
        """Return the total usage of those of the given routers that are running."""
        chosen_kinds = tuple(kinds)
        accounts = (self.processes[router].account for router in routers if router in self.processes)
        return sum((account.total(chosen_kinds) for account in accounts), start=Usage())

    def lease_holder(self) -> int | None:
        """Return the router that holds the lease at the current time, or ``None``."""
        for router, process in self.processes.items():
            if process.node.token(DUTY.name, self.now) is not None:
                return router
        return None

    def current_lease_holder(self) -> int:
        """Return the router that holds the lease. Raises ``NoLeaseHolderError`` if there is none."""
        holder = self.lease_holder()
        if holder is None:
            raise NoLeaseHolderError(f"no router holds the lease at {self.now:g} s")
        return holder


def converged_fleet(size: int, seed: int, settling_seconds: float) -> Fleet:
    """Return a fleet whose routers all know each other and that has run for some seconds without a change."""
    fleet = Fleet(size, seed)
    fleet.start_converged()
    fleet.run(settling_seconds)
    return fleet


def _traffic_of(effects: Iterable[node.Effect]) -> Traffic:
    """Return the kind of traffic of a timer's first datagram; membership if the timer sent none."""
    for effect in effects:
        if isinstance(effect, node.Datagram):
            return TRAFFIC_OF_PAYLOAD[effect.payload[0]]
    return Traffic.MEMBERSHIP
