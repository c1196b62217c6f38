"""The schedule of one run, which its seed decides wholly."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random

WARM_UP_S = 2.0  # before the first fault
FAULTS_END_S = 8.5  # no fault begins later
QUIET_FROM_S = 10.5  # all faults have ended
END_S = 12.5  # when the routers are asked to end
GRACEFUL_RESTARTS_END_S = 5.0  # a graceful restart begins early enough to be over by the end


class Kind(StrEnum):
    """What a run is about."""

    FAULTS = "faults"  # of routers, engines, change log and clients, mixed
    CROWD = "crowd"  # the same, beside idle clients that fill the descriptors
    PAUSES = "pauses"  # short pauses of the routers alone: nothing may be rejected
    COLD = "cold"  # engines restart under a flood: slow start
    PEERS = "peers"  # the faults of routers, which know each other


KINDS: tuple[Kind, ...] = (Kind.FAULTS, Kind.CROWD, Kind.PAUSES, Kind.COLD, Kind.PEERS)  # of seeds in turn


class Action(StrEnum):
    """What is done to a router, an engine, the change log, or clients."""

    PAUSE = "router.pause"
    RELOAD = "router.reload"  # SIGHUP several times at once
    KILL = "router.kill"  # and start again
    TERMINATE = "router.terminate"  # SIGTERM, SIGKILL at the earliest time, and start again
    TERMINATE_TWICE = "router.terminate-twice"
    RELOAD_AND_TERMINATE = "router.reload-and-terminate"
    RELOAD_WHILE_STARTING = "router.reload-while-starting"
    TERMINATE_WHILE_STARTING = "router.terminate-while-starting"
    ENGINE_DRAIN = "engine.drain"
    ENGINE_RESTART = "engine.restart"
    ENGINE_HANG = "engine.hang"
    ENGINE_RESET = "engine.reset"  # all its connections
    ENGINE_HALF_ANSWERS = "engine.half-answers"
    ENGINE_REFUSE = "engine.refuse"
    ENGINE_FAIL = "engine.fail"
    LOG_RESET = "log.reset"
    LOG_SILENT = "log.silent"  # open connections stay open, and nothing more is sent on them
    LOG_HALF_FRAME = "log.half-frame"
    CLIENTS_LEAVE = "clients.leave"
    CLIENTS_CANCEL = "clients.cancel"
    CLIENTS_RESET = "clients.reset"
    CLIENTS_HALF_MESSAGES = "clients.half-messages"
    CLIENTS_BURST = "clients.burst"  # many requests at once


RESTARTS = (
    Action.KILL,
    Action.TERMINATE,
    Action.TERMINATE_TWICE,
    Action.RELOAD_AND_TERMINATE,
    Action.RELOAD_WHILE_STARTING,
    Action.TERMINATE_WHILE_STARTING,
)
GRACEFUL_RESTARTS = (Action.TERMINATE, Action.TERMINATE_TWICE, Action.RELOAD_AND_TERMINATE)
OF_ROUTERS = (Action.PAUSE, Action.PAUSE, Action.RELOAD, *RESTARTS)
OF_ENGINES = tuple(action for action in Action if action.startswith("engine."))
OF_THE_LOG = tuple(action for action in Action if action.startswith("log."))
OF_CLIENTS = tuple(action for action in Action if action.startswith("clients."))
SHORT_PAUSE_S = (0.01, 0.05)
LONG_PAUSE_S = (0.2, 2.5)
FAULT_S = (0.3, 2.0)  # how long an engine misbehaves


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault. ``at`` and ``seconds`` in seconds; ``target`` numbers a router or an engine."""

    at: float
    action: Action
    target: int = 0
    seconds: float = 0.0
    count: int = 1

    def line(self) -> str:
        """How it is printed."""
        return f"{self.at:7.3f} s  {self.action}  target {self.target}  {self.seconds:.3f} s  x{self.count}"


@dataclass(frozen=True, slots=True)
class Plan:
    """One run. ``rate`` is in requests a second to each router."""

    seed: int
    kind: Kind
    routers: int
    engines: int
    connections: int  # of clients to each router
    rate: float
    idle_clients: int  # to each router, which never send anything
    sockets: int  # descriptors that each router may hold
    unsafe_reports: bool  # the settings mark reports as unsafe to repeat
    key_settle_ms: float
    faults: tuple[Fault, ...]

    def text(self) -> str:
        """The whole schedule, the same for the same seed every time."""
        head = [
            f"seed {self.seed}: {self.kind}",
            f"{self.routers} routers of {self.sockets} descriptors, {self.engines} engines",
            f"{self.connections} connections and {self.rate:.0f} requests a second to each router",
            f"{self.idle_clients} idle clients to each router",
            f"reports unsafe to repeat: {self.unsafe_reports}; keys settle {self.key_settle_ms:.0f} ms",
        ]
        end = [f"{END_S:7.3f} s  all routers: SIGTERM; SIGKILL at the earliest time"]
        return "\n".join(head + [fault.line() for fault in self.faults] + end)


def make_plan(seed: int) -> Plan:
    """The schedule of a seed."""
    rng = Random(seed)
    kind = KINDS[seed % len(KINDS)]
    routers = 3 if kind is Kind.PEERS else rng.choice([2, 3])
    engines = rng.choice([4, 5, 6])
    crowd = kind is Kind.CROWD
    return Plan(
        seed=seed,
        kind=kind,
        routers=routers,
        engines=engines,
        connections=rng.choice([4, 6]),
        rate=rng.choice([40.0, 60.0, 80.0]),
        idle_clients=220 if crowd else 0,
        sockets=256 if crowd else 1024,
        unsafe_reports=rng.choice([False, True]),
        key_settle_ms=rng.choice([0.0, 0.0, 400.0]),
        faults=tuple(sorted(_faults(rng, kind, routers, engines), key=lambda fault: fault.at)),
    )


def _faults(rng: Random, kind: Kind, routers: int, engines: int) -> list[Fault]:
    match kind:
        case Kind.PAUSES:
            return _short_pauses(rng, routers)
        case Kind.COLD:
            return _cold_starts(rng, engines) + _some(rng, (Action.PAUSE, Action.RELOAD), 3, routers)
        case Kind.PEERS:
            return _router_faults(rng, routers, 5)
        case _:
            return (
                _router_faults(rng, routers, 4)
                + _some(rng, OF_ENGINES, 4, engines)
                + _some(rng, OF_THE_LOG, 2, 1)
                + _some(rng, OF_CLIENTS, 4, routers)
            )


def _some(rng: Random, actions: tuple[Action, ...], count: int, targets: int) -> list[Fault]:
    return [
        Fault(
            rng.uniform(WARM_UP_S, FAULTS_END_S),
            rng.choice(actions),
            rng.randrange(targets),
            rng.uniform(*FAULT_S),
            rng.randint(2, 5),
        )
        for _ in range(count)
    ]


def _router_faults(rng: Random, routers: int, count: int) -> list[Fault]:
    """Faults of routers: one of them restarts at most once, and is left alone until it is back."""
    faults: list[Fault] = []
    restarted: set[int] = set()
    for _ in range(count):
        action, target = rng.choice(OF_ROUTERS), rng.randrange(routers)
        if action in RESTARTS:
            if target in restarted:
                continue
            restarted.add(target)
        latest = GRACEFUL_RESTARTS_END_S if action in GRACEFUL_RESTARTS else FAULTS_END_S - LONG_PAUSE_S[1]
        at = rng.uniform(WARM_UP_S, latest)
        pause = rng.choice([SHORT_PAUSE_S, LONG_PAUSE_S])
        faults.append(Fault(at, action, target, rng.uniform(*pause), rng.randint(2, 5)))
    return faults


def _short_pauses(rng: Random, routers: int) -> list[Fault]:
    """Each router stands still for a moment again and again."""
    faults: list[Fault] = []
    for router in range(routers):
        at = WARM_UP_S
        while at < FAULTS_END_S:
            seconds = rng.uniform(*SHORT_PAUSE_S)
            faults.append(Fault(at, Action.PAUSE, router, seconds))
            at += seconds + rng.uniform(0.03, 0.1)
    return faults


def _cold_starts(rng: Random, engines: int) -> list[Fault]:
    """Two engines restart soon after one another, each once."""
    restarted = rng.sample(range(engines), 2)
    return [
        Fault(rng.uniform(WARM_UP_S, WARM_UP_S + 2.0), Action.ENGINE_RESTART, engine) for engine in restarted
    ]
