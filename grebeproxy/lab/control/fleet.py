"""Many routers' control code, ``peers.Node`` with the real sealed wire, on one simulated clock.

I/O-free; all randomness comes from the seed. The network delays each datagram, may lose it, and carries none
across a partition. Processor time of a step is counted and takes no simulated time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from time import process_time_ns

from grebeproxy.lab.control.usage import TRAFFIC_OF_PAYLOAD, Account, Traffic, Usage
from grebeproxy.membership import Config
from grebeproxy.membership.model import Address, Fact
from grebeproxy.membership.wire import Sealed, WireError
from grebeproxy.peers import node
from grebeproxy.peers.operator_file import Duty, PeersConfig
from grebeproxy.replica import Limits, Record

ZONES = 6
SEEDS = 3  # routers that all others are configured to ask first
PORT = 7946
KEY = b"key of a simulated fleet"
LEASE_SECONDS = 3.0
DUTY = Duty("primary", ("127.0.0.1", 9000), 1.0)
SHORTEST_SLEEP = 0.001  # of a router's timer, as in ``peers.runtime``
POLL_SECONDS = 0.05  # between two looks at whether a condition holds
KEY_NAME = "share"  # of the key that each router publishes
REPLICA_OFF = Limits(every=1e9)  # one digest at the start, and none after


class NotReachedError(Exception):
    """A condition did not hold within the simulated time that was allowed for it."""


@dataclass(frozen=True, slots=True)
class Network:
    """Delay of a datagram in seconds, uniform between two bounds, and the part that is lost."""

    least_delay: float = 0.001
    most_delay: float = 0.01
    loss: float = 0.0


NETWORK = Network()


@dataclass(frozen=True, slots=True)
class LeaseEvent:
    """A router began or ceased to hold the lease, at a simulated time."""

    at: float
    router: int
    held: bool


@dataclass(frozen=True, slots=True)
class FailureReport:
    """A router took another one for failed."""

    at: float
    reporter: int
    failed: str


@dataclass(slots=True)
class Process:
    """One running process of a router."""

    router: int
    node: node.Node
    sealed: Sealed
    account: Account
    wake_at: float = float("inf")


@dataclass(slots=True)
class Fleet:
    """``size`` routers; those that run are in ``processes`` by number."""

    size: int
    seed: int
    network: Network = NETWORK
    limits: Limits = REPLICA_OFF
    duties: tuple[Duty, ...] = ()
    key_bytes: int = 0  # of one key that each router publishes; none where 0
    now: float = 100.0
    processes: dict[int, Process] = field(default_factory=dict)
    separated: Callable[[int, int], bool] | None = None
    lease_events: list[LeaseEvent] = field(default_factory=list)
    failure_reports: list[FailureReport] = field(default_factory=list)
    refused_packets: int = 0
    _rng: Random = field(init=False)
    _order: count[int] = field(init=False)
    _queue: list[tuple[float, int, int, Process | None, bytes]] = field(default_factory=list)
    _router_at: dict[Address, int] = field(init=False)

    def __post_init__(self) -> None:
        """Set up the network's own randomness and addresses."""
        self._rng, self._order = Random(self.seed), count()
        self._router_at = {address(router): router for router in range(self.size)}

    # --- processes

    def start(self, *routers: int) -> None:
        """Start processes that know only the seeds; one that runs already ends without a word."""
        for router in routers:
            process = self._create(router)
            self._carry_out(process, process.node.begin(self.now))

    def start_acquainted(self) -> None:
        """Start all routers as if they had run for long: each knows all others, and votes count at once."""
        for router in range(self.size):
            self._create(router)
        facts = [process.node.members.me for process in self.processes.values()]
        if self.key_bytes:
            self._publish_keys()
        for process in self.processes.values():
            acquaint(process.node, facts, self.now)
            self._carry_out(process, process.node.step(self.now, []))

    def _publish_keys(self) -> None:
        """Each router's store holds one key of each router, last marked at some time of the past."""
        stores = [process.node.store for process in self.processes.values()]
        for store in stores:
            age = self._rng.uniform(0.0, store.limits.ttl / 4)
            store.put(self.now - age, KEY_NAME, self._rng.randbytes(self.key_bytes))
        originals = [(store.name, store.records[store.name]) for store in stores]
        for store in stores:
            copies = {origin: copy_of(record) for origin, record in originals if origin != store.name}
            store.records.update(copies)

    def want_lease(self, *routers: int) -> None:
        """Have routers ask for the lease of their duties."""
        for router in routers:
            process = self.processes[router]
            self._carry_out(process, process.node.begin(self.now))

    def kill(self, *routers: int) -> None:
        """End processes without a word to the others."""
        for router in routers:
            del self.processes[router]

    def stop(self, router: int) -> None:
        """End a process in order: it gives back its lease and says that it leaves."""
        process = self.processes[router]
        self._carry_out(process, process.node.step(self.now, [node.Ending()]))
        del self.processes[router]

    def _create(self, router: int) -> Process:
        instance = self._rng.getrandbits(56)
        config = self.config(router)
        core = node.Node(config, instance, Random(instance), self.now, self.limits)
        process = Process(router, core, Sealed(KEY, instance, config.mark), Account())
        self.processes[router] = process
        return process

    def config(self, router: int) -> PeersConfig:
        """The configuration of one router."""
        seeds = tuple(address(seed) for seed in range(min(SEEDS, self.size)))
        member = Config(name(router), address(router), self.size, seeds)
        return PeersConfig(address(router), member, KEY, LEASE_SECONDS, self.duties)

    # --- time

    def run(self, seconds: float) -> None:
        """Let simulated time pass."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, router, sleeper, packet = heappop(self._queue)
            if sleeper is not None:
                self._wake(router, sleeper)
            elif (process := self.processes.get(router)) is not None:
                self._deliver(process, packet)
        self.now = until

    def run_until(
        self, holds: Callable[[], bool], most_seconds: float, poll_seconds: float = POLL_SECONDS
    ) -> float:
        """Let time pass until a condition holds, and give the seconds. Raises ``NotReachedError``."""
        began = self.now
        while not holds():
            if self.now - began >= most_seconds:
                raise NotReachedError(f"not within {most_seconds:g} s with {self.size} routers")
            self.run(poll_seconds)
        return self.now - began

    def _wake(self, router: int, sleeper: Process) -> None:
        if self.processes.get(router) is not sleeper or sleeper.wake_at != self.now:
            return  # that process has ended, or asked for another time since
        sleeper.wake_at = float("inf")
        began = process_time_ns()
        effects = sleeper.node.step(self.now, [node.Tick()])
        spent = process_time_ns() - began
        sleeper.account.by_traffic[_traffic_of(effects)].cpu_ns += spent
        self._carry_out(sleeper, effects)

    def _deliver(self, process: Process, packet: bytes) -> None:
        began = process_time_ns()
        try:
            payload = process.sealed.open(packet)
        except WireError:
            self.refused_packets += 1  # as the edge does; the window of numbers has moved on past it
            return
        effects = process.node.step(self.now, [node.PayloadReceived(payload)])
        spent = process_time_ns() - began
        usage = process.account.by_traffic[TRAFFIC_OF_PAYLOAD[payload[0]]]
        usage.cpu_ns += spent
        usage.packets_received += 1
        usage.bytes_received += len(packet)
        self._carry_out(process, effects)

    def _carry_out(self, process: Process, effects: Iterable[node.Effect]) -> None:
        for effect in effects:
            match effect:
                case node.Datagram(to, payload):
                    self._send(process, to, payload)
                case node.Wake(at):
                    process.wake_at = max(at, self.now + SHORTEST_SLEEP)
                    heappush(self._queue, (process.wake_at, next(self._order), process.router, process, b""))
                case node.Begin():
                    self.lease_events.append(LeaseEvent(self.now, process.router, held=True))
                case node.Stop():
                    self.lease_events.append(LeaseEvent(self.now, process.router, held=False))
                case node.Line("member", (("what", "failed"), ("name", str(failed)))):
                    self.failure_reports.append(FailureReport(self.now, process.router, failed))

    def _send(self, process: Process, to: Address, payload: list[object]) -> None:
        began = process_time_ns()
        packet = process.sealed.seal(payload)
        spent = process_time_ns() - began
        usage = process.account.by_traffic[TRAFFIC_OF_PAYLOAD[payload[0]]]  # type: ignore[index]
        usage.cpu_ns += spent
        usage.packets_sent += 1
        usage.bytes_sent += len(packet)
        receiver = self._router_at[to]
        if self.separated is not None and self.separated(process.router, receiver):
            return
        if self.network.loss and self._rng.random() < self.network.loss:
            return
        at = self.now + self._rng.uniform(self.network.least_delay, self.network.most_delay)
        heappush(self._queue, (at, next(self._order), receiver, None, packet))

    # --- reading

    def members_seen_by(self, router: int) -> tuple[str, ...]:
        """The names in a router's view."""
        return self.processes[router].node.view.members

    def agree(self, routers: Iterable[int]) -> bool:
        """Each of these routers sees these, and no others."""
        chosen = tuple(routers)
        names = tuple(sorted(name(router) for router in chosen))
        return all(self.members_seen_by(router) == names for router in chosen)

    def usage(self, routers: Iterable[int], kinds: Iterable[Traffic] = tuple(Traffic)) -> Usage:
        """The sum of what running routers have used."""
        chosen_kinds = tuple(kinds)
        accounts = (self.processes[router].account for router in routers if router in self.processes)
        return sum((account.total(chosen_kinds) for account in accounts), start=Usage())

    def holder(self) -> int | None:
        """The router that holds the lease now, by its own clock."""
        for router, process in self.processes.items():
            if process.node.token(DUTY.name, self.now) is not None:
                return router
        return None


def name(router: int) -> str:
    """A router's name; names sort as numbers do."""
    return f"router-{router:04}"


def zone(router: int) -> int:
    """The zone that a router stands in; neighbours in number stand in different ones."""
    return router % ZONES


def address(router: int) -> Address:
    """A router's simulated address."""
    return f"10.{zone(router)}.{router >> 8}.{router & 255}", PORT


def acquaint(core: node.Node, facts: Iterable[Fact], now: float) -> None:
    """Give a new node the state of one that has long known these members.

    Sets what no message can: through messages all of it would be news, to be passed on.
    """
    core.members.facts.update((fact.name, fact) for fact in facts if fact.name != core.config.member.name)
    core.members.table.changed = True  # the view is to be computed anew
    core.leases.voter.votes_from = now


def copy_of(record: Record) -> Record:
    """A record with entries of its own."""
    return Record(record.incarnation, record.top, record.at, dict(record.entries))


def _traffic_of(effects: Iterable[node.Effect]) -> Traffic:
    """The part that a timer was for: that of the first datagram, else membership."""
    for effect in effects:
        if isinstance(effect, node.Datagram):
            return TRAFFIC_OF_PAYLOAD[effect.payload[0]]
    return Traffic.MEMBERSHIP
