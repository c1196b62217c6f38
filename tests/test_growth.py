"""Thousands of lifetimes: nothing stays of clients, requests, keys and engines that went."""

from __future__ import annotations

import struct
from dataclasses import replace
from typing import Any

import msgpack
from conftest import LOAD, SHORT, RouterHarness, cancels, make_settings, sends
from exchange import START, Player, to_text
from test_exchanges import answer_line

from grebeproxy import Choice
from grebeproxy.policy.interface import ClientDisconnected, Outcome

LIVES = 2000


def change(seq: int, *records: tuple[int, int]) -> str:
    """The log's event that engines have states, all of them at one address."""
    rows = b"".join(
        struct.pack(">IIHBBBHIQ", engine, 0x7F000001, 9001, state, 0, 0, 0, 1000, 0)
        for engine, state in records
    )
    return to_text(struct.pack(">IQB", 9 + len(rows), seq, 2) + rows)


def test_nothing_stays_of_data_sets_that_were_locked_once() -> None:
    harness = RouterHarness(make_settings(classes=(replace(SHORT, waits_for_loads=True), LOAD)))
    for number in range(200):
        for send in sends(harness.submit(data_set=number, work=0.01)):
            for _ in cancels(harness.sweep(harness.now + 0.35)):
                harness.handle(ClientDisconnected(send.id))
                harness.end_attempt(send, Outcome.CANCELLED)
        harness.now += 2.0
    held = [len(node.locked_until) for node in harness.choice.engines.values()]
    assert sum(held) and max(held) <= 2


def test_nothing_stays_of_what_went() -> None:
    player = Player(Choice, {"settings.limits.connIdle": 1000.0})

    def happen(ms: int, who: str, what: str, data: str = "") -> None:
        player.run_until(START + ms / 1000)
        player.happen(who, what, data, 0)

    happen(1, "log", "up")
    happen(2, "log", ">", change(2, (1, 2), (2, 2)))
    dialled = 0
    for life in range(LIVES):
        at, engine = 50 * life, 10 + life
        happen(at + 10, "log", ">", change(3 + life, (engine - 1, 2), (engine, 0)))
        fields = {
            "txn": f"{life:016x}",
            "limit": "9000",
            "team": "city",
            "unique": f"u{life}",
            "item": f"k{life}",
        }
        message = [0, 1, "load", [fields, b"INSERT INTO ops_%d.t" % life]]
        happen(at + 20, f"c{life}", ">", to_text(msgpack.packb(message)))
        if life % 3 == 2:  # every third leaves before its answer; the attempt is followed to its end
            happen(at + 22, f"c{life}", "lost")
        if player.dialled > dialled:
            dialled = player.dialled
            happen(at + 25, f"L{dialled}", "up")
            happen(at + 30, f"L{dialled}", ">", answer_line(life, "ok", "count=1", b"1\ta\tb\n"))
        if life % 3 == 1:
            happen(at + 31, f"c{life}", "lost")  # every third stays and says nothing more
        player.transcript.clear()
        player.peers = {"log": player.peers["log"], **dict(list(player.peers.items())[-4:])}
    assert dialled > LIVES / 2
    held: dict[str, Any] = {**vars(player._router), **vars(player._router._decision_module)}
    sizes = {name: len(value) for name, value in held.items() if hasattr(value, "__len__")}
    bounded = {"data_set_rates": 1024, "_timers": 2000, "_clients": 100}  # the last two: 20 s, 8 s
    assert {name: size for name, size in sizes.items() if size > bounded.get(name, 10)} == {}
    assert len(player.clients) <= 100 and len(player.links) <= 10
