"""The schedule of one run, determined by its seed alone."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random

WARM_UP_S = 2.0  # time before the first fault
LAST_FAULT_S = 8.5  # latest time at which a fault begins
QUIET_FROM_S = 10.5  # time by which all faults have ended
END_S = 12.5  # time at which all routers get SIGTERM
LAST_GRACEFUL_RESTART_S = 5.0  # A graceful restart that begins later might not finish before the run ends.


class Kind(StrEnum):
    """The kind of a run, by the faults that it injects."""

    FAULTS = "faults"  # mixed faults of routers, engines, the change log and clients
    CROWD = "crowd"  # mixed faults while idle clients use up most of the routers' descriptors
    PAUSES = "pauses"  # only short pauses of the routers; no request may be rejected
    COLD = "cold"  # engine restarts under high load, for slow start
    PEERS = "peers"  # faults of routers that are peers of each other


KINDS: tuple[Kind, ...] = (Kind.FAULTS, Kind.CROWD, Kind.PAUSES, Kind.COLD, Kind.PEERS)  # by seed modulo 5


class Action(StrEnum):
    """A fault of a router, an engine, the change log or clients."""

    PAUSE = "router.pause"
    RELOAD = "router.reload"  # several SIGHUPs in a row
    KILL = "router.kill"  # SIGKILL, then a new start
    TERMINATE = "router.terminate"  # SIGTERM, SIGKILL at the earliest allowed time, then a new start
    TERMINATE_TWICE = "router.terminate-twice"
    RELOAD_AND_TERMINATE = "router.reload-and-terminate"
    RELOAD_WHILE_STARTING = "router.reload-while-starting"
    TERMINATE_WHILE_STARTING = "router.terminate-while-starting"
    ENGINE_DRAIN = "engine.drain"
    ENGINE_RESTART = "engine.restart"
    ENGINE_HANG = "engine.hang"
    ENGINE_RESET = "engine.reset"  # reset of all connections of the engine
    ENGINE_HALF_ANSWERS = "engine.half-answers"
    ENGINE_REFUSE = "engine.refuse"
    ENGINE_FAIL = "engine.fail"
    LOG_RESET = "log.reset"
    LOG_SILENT = "log.silent"  # The open connections stay open but carry no more data.
    LOG_HALF_FRAME = "log.half-frame"
    CLIENTS_LEAVE = "clients.leave"
    CLIENTS_CANCEL = "clients.cancel"
    CLIENTS_RESET = "clients.reset"
    CLIENTS_HALF_MESSAGES = "clients.half-messages"
    CLIENTS_BURST = "clients.burst"  # many requests at the same time


RESTARTS = (
    Action.KILL,
    Action.TERMINATE,
    Action.TERMINATE_TWICE,
    Action.RELOAD_AND_TERMINATE,
    Action.RELOAD_WHILE_STARTING,
    Action.TERMINATE_WHILE_STARTING,
)
GRACEFUL_RESTARTS = (Action.TERMINATE, Action.TERMINATE_TWICE, Action.RELOAD_AND_TERMINATE)
ROUTER_ACTIONS = (Action.PAUSE, Action.PAUSE, Action.RELOAD, *RESTARTS)
ENGINE_ACTIONS = tuple(action for action in Action if action.startswith("engine."))
CHANGE_LOG_ACTIONS = tuple(action for action in Action if action.startswith("log."))
CLIENT_ACTIONS = tuple(action for action in Action if action.startswith("clients."))
SHORT_PAUSE_S = (0.01, 0.05)
LONG_PAUSE_S = (0.2, 2.5)
ENGINE_FAULT_S = (0.3, 2.0)  # range of an engine fault's duration


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault. ``at`` and ``seconds`` are in seconds; ``target`` is the index of a router or an engine."""

    at: float
    action: Action
    target: int = 0
    seconds: float = 0.0
    count: int = 1

    def line(self) -> str:
        """The fault as one line of the printed schedule."""
        return f"{self.at:7.3f} s  {self.action}  target {self.target}  {self.seconds:.3f} s  x{self.count}"


@dataclass(frozen=True, slots=True)
class Plan:
    """The schedule of one run. ``rate`` is in requests per second to each router."""

    seed: int
    kind: Kind
    routers: int
    engines: int
    connections: int  # client connections to each router
    rate: float
    idle_clients: int  # clients of each router that connect and never send anything
    sockets: int  # descriptor limit of each router
    unsafe_reports: bool  # The settings mark reports as unsafe to retry.
    key_settle_ms: float
    faults: tuple[Fault, ...]

    def text(self) -> str:
        """The whole schedule as text, always equal for equal seeds."""
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
    """Make the schedule that the seed determines."""
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
            return _cold_starts(rng, engines) + _random_faults(rng, (Action.PAUSE, Action.RELOAD), 3, routers)
        case Kind.PEERS:
            return _router_faults(rng, routers, 5)
        case _:
            return (
                _router_faults(rng, routers, 4)
                + _random_faults(rng, ENGINE_ACTIONS, 4, engines)
                + _random_faults(rng, CHANGE_LOG_ACTIONS, 2, 1)
                + _random_faults(rng, CLIENT_ACTIONS, 4, routers)
            )


def _random_faults(rng: Random, actions: tuple[Action, ...], count: int, targets: int) -> list[Fault]:
    return [
        Fault(
            rng.uniform(WARM_UP_S, LAST_FAULT_S),
            rng.choice(actions),
            rng.randrange(targets),
            rng.uniform(*ENGINE_FAULT_S),
            rng.randint(2, 5),
        )
        for _ in range(count)
    ]


def _router_faults(rng: Random, routers: int, count: int) -> list[Fault]:
    """Random faults of routers, with at most one restart of each router."""
    faults: list[Fault] = []
    restarted: set[int] = set()
    for _ in range(count):
        action, target = rng.choice(ROUTER_ACTIONS), rng.randrange(routers)
        if action in RESTARTS:
            if target in restarted:
                continue
            restarted.add(target)
        latest = LAST_GRACEFUL_RESTART_S if action in GRACEFUL_RESTARTS else LAST_FAULT_S - LONG_PAUSE_S[1]
        at = rng.uniform(WARM_UP_S, latest)
        pause = rng.choice([SHORT_PAUSE_S, LONG_PAUSE_S])
        faults.append(Fault(at, action, target, rng.uniform(*pause), rng.randint(2, 5)))
    return faults


def _short_pauses(rng: Random, routers: int) -> list[Fault]:
    """Repeated short pauses of every router."""
    faults: list[Fault] = []
    for router in range(routers):
        at = WARM_UP_S
        while at < LAST_FAULT_S:
            seconds = rng.uniform(*SHORT_PAUSE_S)
            faults.append(Fault(at, Action.PAUSE, router, seconds))
            at += seconds + rng.uniform(0.03, 0.1)
    return faults


def _cold_starts(rng: Random, engines: int) -> list[Fault]:
    """One restart each of two engines, at most 2 s apart."""
    restarted = rng.sample(range(engines), 2)
    return [
        Fault(rng.uniform(WARM_UP_S, WARM_UP_S + 2.0), Action.ENGINE_RESTART, engine) for engine in restarted
    ]
