"""Plays one plan with real processes on loopback, and checks the recording of the run."""

from __future__ import annotations

import asyncio
import signal
import socket
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import orjson
import uvloop

from grebeproxy.lab.scale.addresses import Address, address_text, free_address
from grebeproxy.lab.scale.deployment import DRAINING, GONE, UP, settings_document
from grebeproxy.units import MS_PER_SECOND
from grebeproxy.lab.soak.change_log import FaultyChangeLog
from grebeproxy.lab.soak.checks import CHECKS, PAUSE_CHECKS, Violation, violations
from grebeproxy.lab.soak.clients import ClientClass, Clients
from grebeproxy.lab.soak.engines import Engine, Mode
from grebeproxy.lab.soak.peer_network import LEASE_S, PeerNetwork
from grebeproxy.lab.soak.plan import END_S, QUIET_FROM_S, WARM_UP_S, Action, Fault, Kind, Plan
from grebeproxy.lab.soak.recording import EngineStart, Recording, Span, Withdrawal
from grebeproxy.lab.soak.routers import Router
from grebeproxy.lab.soak.rules import ClassRules, Rules

MEMORY_MB = 192
MEBIBYTE = 1024 * 1024
KEYS_PER_ROUTER = 2  # order keys of loads at each router
CLASS_WEIGHTS = {"lookup": 0.8, "report": 0.2}  # weights of the classes among requests without a key
WORK_CORE_S = {"lookup": 0.005, "report": 0.05, "load": 0.05}  # core-seconds per request of each class
FLOOD_WORK_CORE_S = 0.2  # core-seconds per lookup in runs that restart engines under high load
FRONT_END_CONNECTS_S = 0.4  # The platform's front end still opens connections this long after SIGTERM.
LATE_THRESHOLD_S = 0.02  # The harness counts as late if its timer fires later than due by more than this.
TICK_INTERVAL_S = 0.005
SAMPLE_INTERVAL_S = 0.25
GONE_AFTER_S = 2.2  # time from the start of an engine's drain to its end
STARTUP_S = 0.4  # time after a router's start in which the harness signals it
MIN_ENGINES_UP = 2  # A drain is skipped if no more engines than this are up.
READY_TIMEOUT_S = 15.0
BASELINE_S = 1.0  # length of the period before the first fault in which the baseline is measured

ENGINE_MODES = {
    Action.ENGINE_HANG: Mode.HANGING,
    Action.ENGINE_REFUSE: Mode.REFUSING,
    Action.ENGINE_FAIL: Mode.FAILING,
    Action.ENGINE_HALF_ANSWERS: Mode.HALF_ANSWERS,
}


@dataclass(frozen=True, slots=True)
class Result:
    """The result of one seed."""

    seed: int
    kind: str
    requests: int
    served: int
    attempts: int
    late_s: float  # total time for which the harness itself ran late
    violations: tuple[Violation, ...]

    @property
    def failed(self) -> tuple[Violation, ...]:
        """The violations that count: those near which the harness did not run late."""
        return tuple(one for one in self.violations if not one.disturbed)


def play(plan: Plan) -> Result:
    """Play a whole plan, and check its recording."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        recording = runner.run(_play(plan))
    checks = PAUSE_CHECKS if plan.kind is Kind.PAUSES else CHECKS
    found = violations(recording, rules_of(plan), checks)
    served = sum(any(answer.reply == "served" for answer in one.answers) for one in recording.requests)
    late_s = sum(span.ended - span.began for span in recording.late)
    return Result(
        plan.seed,
        plan.kind,
        len(recording.requests),
        served,
        len(recording.attempts),
        late_s,
        tuple(found),
    )


def settings_of(plan: Plan, index: int) -> dict[str, Any]:
    """The settings of the router with that index."""
    document = settings_document(plan.routers, index)
    for category in document["categories"]:
        if category["name"] == "report" and plan.unsafe_reports:
            category["effect"] = "fragile"
    document["obligations"]["keyQuiet"] = plan.key_settle_ms
    return document


def rules_of(plan: Plan) -> Rules:
    """The rules that the settings of the plan's routers state."""
    document = settings_of(plan, 0)
    classes = {
        category["name"]: ClassRules(
            name=category["name"],
            deadline=category["deadline"] / MS_PER_SECOND,
            repeatable=category["effect"] == "retryable",
            has_idempotency_key=category["effect"] == "dedup",
            window=category["window"] / MS_PER_SECOND,
            ordered=bool(category.get("inTurn")),
        )
        for category in document["categories"]
    }
    obligations = document["obligations"]
    return Rules(
        classes=classes,
        max_attempts=document["limits"]["mostTries"],
        drain_grace=obligations["stopSendingWithin"] / MS_PER_SECOND,
        key_settle=obligations["keyQuiet"] / MS_PER_SECOND,
        overload_factor=obligations["overloadFactor"],
        overload_time=obligations["overloadFor"] / MS_PER_SECOND,
        slow_start_fraction=obligations["coldFrom"],
        slow_start_time=obligations["rampTime"] / MS_PER_SECOND,
        cores=float(min(document["familyInfo"]["cpuOfKind"])),
        memory_bytes=MEMORY_MB * MEBIBYTE,
        sockets=plan.sockets,
        lease=LEASE_S,
    )


async def _play(plan: Plan) -> Recording:
    with tempfile.TemporaryDirectory(prefix="grebeproxy-soak-") as folder:
        run = Run(plan, Path(folder))
        try:
            await run.play()
        finally:
            await run.close()
    return run.recording


class Run:
    """One run, with its routers, engines, change log and clients."""

    def __init__(self, plan: Plan, folder: Path) -> None:
        self.recording = Recording()
        self._plan = plan
        self._rules = rules_of(plan)
        self._folder = folder
        self._rng = Random(plan.seed)
        self._began = 0.0
        self._engines = [
            Engine(number, Random(plan.seed * 100 + number), self.recording.attempts.append)
            for number in range(1, plan.engines + 1)
        ]
        self._log = FaultyChangeLog()
        self._routers: list[Router] = []
        self._documents: list[dict[str, Any]] = []
        self._clients: list[Clients] = []
        self._peers: PeerNetwork | None = None

    async def play(self) -> None:
        """Start everything, inject the faults at their times, and stop the routers."""
        await self._start()
        async with asyncio.TaskGroup() as background:
            watchers = [
                background.create_task(self._watch()),
                background.create_task(self._measure_lateness()),
            ]
            async with asyncio.TaskGroup() as tasks:
                for clients in self._clients:
                    tasks.create_task(
                        clients.run(self._plan.connections, self._plan.rate, KEYS_PER_ROUTER, CLASS_WEIGHTS)
                    )
                    if self._plan.idle_clients:
                        tasks.create_task(clients.open_idle_connections(self._plan.idle_clients))
                for fault in self._plan.faults:
                    tasks.create_task(self._call_at(fault.at, lambda fault=fault: self._inject(fault)))  # type: ignore[misc]
                tasks.create_task(self._call_at(END_S, self._end_all))
            for watcher in watchers:
                watcher.cancel()

    async def close(self) -> None:
        """Stop everything that still runs, also after an error, and complete the recording."""
        for clients in self._clients:
            clients.stop()
            clients.close()
        for router in self._routers:
            router.end()
            router.watch()
        for engine in self._engines:
            engine.close()
        await self._log.close()
        if self._peers is not None:
            await self._peers.close()
        self.recording.processes = [process for router in self._routers for process in router.processes]
        self.recording.pauses = {router.index: router.pauses for router in self._routers}
        self.recording.usage = [usage for router in self._routers for usage in router.usage]

    # --- start and end

    async def _start(self) -> None:
        for engine in self._engines:
            await engine.listen()
        log_address = await self._log.listen([engine.entry() for engine in self._engines])
        peers: list[str | None] = [None] * self._plan.routers
        if self._plan.kind is Kind.PEERS:
            self._peers = PeerNetwork(
                self._plan.routers, self.recording.datagrams, self.recording.duty_reports
            )
            peers = list(await self._peers.open())
        classes = {
            name: ClientClass(name, rules.deadline, self._work(name))
            for name, rules in self._rules.classes.items()
        }
        for index in range(self._plan.routers):
            address = free_address(socket.SOCK_STREAM)
            document = self._configuration(index, address, log_address)
            self._documents.append(document)
            self._routers.append(Router(index, address, document, peers[index], self._folder / f"r{index}"))
            self._clients.append(
                Clients(
                    index,
                    address,
                    classes,
                    Random(self._plan.seed * 1000 + index),
                    self.recording,
                )
            )
        for router in self._routers:
            router.start()
        async with asyncio.timeout(READY_TIMEOUT_S), asyncio.TaskGroup() as tasks:
            for router in self._routers:
                tasks.create_task(router.wait_until_ready())
        self._began = time.monotonic()
        self.recording.baseline = Span(self._began + WARM_UP_S - BASELINE_S, self._began + WARM_UP_S)
        self.recording.quiet_from = self._began + QUIET_FROM_S
        self.recording.ended_at = self._began + END_S

    def _work(self, name: str) -> float:
        return FLOOD_WORK_CORE_S if self._plan.kind is Kind.COLD and name == "lookup" else WORK_CORE_S[name]

    def _configuration(self, index: int, address: Address, log_address: Address) -> dict[str, Any]:
        return {
            "name": f"r{index}",
            "listen": address_text(address),
            "seed": f"{self._plan.seed * 16 + index:x}",
            "changelog": address_text(log_address),
            "limits": {"sockets": self._plan.sockets, "memory_mb": MEMORY_MB},
            "settings": settings_of(self._plan, index),
        }

    async def _end_all(self) -> None:
        async with asyncio.TaskGroup() as tasks:
            for router in self._routers:
                tasks.create_task(self._terminate(router, [signal.SIGTERM]))
        self.recording.ended_at = time.monotonic()
        for clients in self._clients:
            clients.stop()

    async def _call_at(self, offset: float, call: Callable[[], Awaitable[None]]) -> None:
        await asyncio.sleep(max(0.0, self._began + offset - time.monotonic()))
        await call()

    # --- watching

    async def _watch(self) -> None:
        while True:
            for router in self._routers:
                router.watch()
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def _measure_lateness(self) -> None:
        """Record the periods in which the harness itself runs late, since its recorded times are late too."""
        while True:
            due = time.monotonic() + TICK_INTERVAL_S
            await asyncio.sleep(TICK_INTERVAL_S)
            now = time.monotonic()
            if now > due + LATE_THRESHOLD_S:
                self.recording.late.append(Span(due, now))

    # --- faults

    async def _inject(self, fault: Fault) -> None:
        if fault.action.startswith("router."):
            await self._inject_router_fault(self._routers[fault.target], fault)
        elif fault.action.startswith("engine."):
            await self._inject_engine_fault(self._engines[fault.target], fault)
        elif fault.action.startswith("log."):
            self._inject_log_fault(fault.action)
        else:
            await self._inject_client_fault(self._clients[fault.target], fault)

    async def _inject_router_fault(self, router: Router, fault: Fault) -> None:
        match fault.action:
            case Action.PAUSE:
                await router.pause(fault.seconds)
            case Action.RELOAD:
                self._rewrite_configuration(router)
                for _ in range(fault.count):
                    router.signal(signal.SIGHUP)
            case Action.TERMINATE:
                await self._restart(router, [signal.SIGTERM])
            case Action.TERMINATE_TWICE:
                await self._restart(router, [signal.SIGTERM, signal.SIGTERM])
            case Action.RELOAD_AND_TERMINATE:
                await self._restart(router, [signal.SIGHUP, signal.SIGTERM])
            case _:
                await self._restart_while_starting(router, fault)

    def _rewrite_configuration(self, router: Router) -> None:
        """Change a setting that no rule depends on, so that a reload finds a new configuration."""
        document = self._documents[router.index]
        document["settings"]["overShareWorth"] = self._rng.uniform(0.1, 0.3)
        path = self._folder / f"r{router.index}" / "config.json"
        fresh = path.with_suffix(".new")
        fresh.write_bytes(orjson.dumps(document))
        fresh.replace(path)

    async def _terminate(self, router: Router, signals: list[signal.Signals]) -> None:
        """Signal a router while its clients go on, and kill it at the earliest time that the rules allow."""
        began = time.monotonic()
        for number in signals:
            router.signal(number)
        clients = self._clients[router.index]
        asyncio.get_running_loop().call_later(FRONT_END_CONNECTS_S, setattr, clients, "may_connect", False)
        await router.kill_at(began + self._rules.killed_after)

    async def _restart(self, router: Router, signals: list[signal.Signals]) -> None:
        if router.is_running:
            await self._terminate(router, signals)
            await self._start_again(router)

    async def _start_again(self, router: Router) -> None:
        router.start()
        self._clients[router.index].may_connect = True
        await router.wait_until_ready()

    async def _restart_while_starting(self, router: Router, fault: Fault) -> None:
        if not router.is_running:
            return
        await router.kill_at(time.monotonic())
        if fault.action is Action.KILL:
            await self._start_again(router)
            return
        router.start()
        await router.wait_until_executed()
        for _ in range(fault.count):
            await asyncio.sleep(self._rng.uniform(0.0, STARTUP_S / fault.count))
            if fault.action is Action.RELOAD_WHILE_STARTING:
                router.signal(signal.SIGHUP)
        if fault.action is Action.TERMINATE_WHILE_STARTING:
            await self._restart(router, [signal.SIGTERM])
        await router.wait_until_ready()

    async def _inject_engine_fault(self, engine: Engine, fault: Fault) -> None:
        if engine.state != UP:
            return
        match fault.action:
            case Action.ENGINE_DRAIN:
                await self._drain(engine)
            case Action.ENGINE_RESTART:
                await engine.restart()
                self.recording.engine_starts.append(EngineStart(engine.number, time.monotonic()))
                self._log.publish([engine.entry()])
            case Action.ENGINE_RESET:
                engine.reset_connections()
            case _:
                engine.mode = ENGINE_MODES[fault.action]
                await asyncio.sleep(fault.seconds)
                engine.mode = Mode.WELL

    async def _drain(self, engine: Engine) -> None:
        if sum(other.state == UP for other in self._engines) <= MIN_ENGINES_UP:
            return
        engine.state = DRAINING
        self.recording.withdrawals.append(Withdrawal(engine.number, time.monotonic()))
        self._log.publish([engine.entry()])
        await asyncio.sleep(GONE_AFTER_S)
        engine.state = GONE
        self._log.publish([engine.entry()])
        engine.leave()

    def _inject_log_fault(self, action: Action) -> None:
        match action:
            case Action.LOG_RESET:
                self._log.disconnect_all()
            case Action.LOG_SILENT:
                self._log.silence_all()
            case _:
                self._log.cut_short_all()

    async def _inject_client_fault(self, clients: Clients, fault: Fault) -> None:
        match fault.action:
            case Action.CLIENTS_LEAVE:
                clients.leave(fault.count, reset=False)
            case Action.CLIENTS_RESET:
                clients.leave(fault.count, reset=True)
            case Action.CLIENTS_CANCEL:
                clients.cancel(fault.count)
            case Action.CLIENTS_HALF_MESSAGES:
                await clients.write_half_messages(fault.count)
            case _:
                clients.burst(4 * fault.count)
