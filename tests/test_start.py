"""When a starting router accepts clients, and how it applies engine lists and addresses."""

from __future__ import annotations

import asyncio
import socket

import pytest
from exchange import router_options, with_changes

from grebeproxy.config import parse
from grebeproxy.net import events, follower
from grebeproxy.net.messages import ChangeLogUpdate
from grebeproxy.net.router import Router
from grebeproxy.net.runtime import Runtime
from grebeproxy.policy import interface as api

LISTEN, HEARTBEAT = events.StartListening(), events.ChangeLogReceived(ChangeLogUpdate(1, None))


def starting_router() -> Router:
    options = router_options()
    router = Router(options, now=0.0)
    assert LISTEN not in router.start(0.0)
    return router


def test_clients_are_accepted_after_the_change_log_was_received_and_only_once() -> None:
    router = starting_router()
    assert LISTEN in router.step(0.01, [HEARTBEAT])
    assert LISTEN not in router.step(0.02, [HEARTBEAT]) + router.step(
        follower.FIRST_EVENT_TIMEOUT, [events.Woken()]
    )


@pytest.mark.parametrize("reported", [[], [events.ChangeLogClosed("refused", 1)]])
def test_a_silent_change_log_delays_clients_for_its_timeout_only(reported: list[events.Event]) -> None:
    router = starting_router()
    assert LISTEN not in router.step(follower.FIRST_EVENT_TIMEOUT - 0.01, reported)
    assert LISTEN in router.step(follower.FIRST_EVENT_TIMEOUT, [events.Woken()])


def test_a_router_stopped_while_starting_accepts_no_clients() -> None:
    router = starting_router()
    router.step(0.01, [events.StopRequested()])
    assert LISTEN not in router.step(1.0, [HEARTBEAT])


def test_the_received_engine_list_is_known_to_the_first_client() -> None:
    router = starting_router()
    change = api.EngineList(api.ListKind.CHANGES, (api.Engine("s-0000000a", "typ-a", "lodz-1"),))
    assert LISTEN in router.step(
        0.01, [events.ChangeLogReceived(ChangeLogUpdate(1, change, {"s-0000000a": ("127.0.0.1", 9000)}))]
    )
    assert "s-0000000a" in router._locations


def test_an_address_in_use_ends_the_start() -> None:
    async def start() -> None:
        with socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{other.getsockname()[1]}"
            serving = asyncio.create_task(Runtime(parse(with_changes({"listen": address}))).serve())
            await asyncio.sleep(0)  # Both sockets are bound, and neither listens yet.
            other.listen()
            with pytest.raises(OSError, match="in use"):
                await asyncio.wait_for(serving, 10.0)

    asyncio.run(start())


def following_router() -> Router:
    """A router that is connected to its change log."""
    router = starting_router()
    router.step(0.005, [events.ChangeLogOpened(1)])
    return router


def test_a_change_in_a_long_engine_list_affects_no_other_engine(monkeypatch: pytest.MonkeyPatch) -> None:
    router = following_router()
    entries = tuple(api.Engine(f"s-{n:08x}", "typ-a") for n in range(500))
    addresses = {entry.id: ("127.0.0.1", 9000 + n) for n, entry in enumerate(entries)}
    full_list = ChangeLogUpdate(1, api.EngineList(api.ListKind.FULL, entries), addresses)
    router.step(0.01, [events.ChangeLogReceived(full_list)])
    changed: list[str] = []
    monkeypatch.setattr(router, "_set_location", lambda engine, location: changed.append(engine))
    monkeypatch.setattr(router, "_forget_location", lambda engine: changed.append(engine))
    moved = ChangeLogUpdate(
        2,
        api.EngineList(api.ListKind.CHANGES, (api.Engine("s-new", "typ-a"),)),
        {"s-new": ("127.0.0.1", 9007)},
    )
    router.step(0.02, [events.ChangeLogReceived(moved)])
    assert changed == ["s-00000007", "s-new"]  # The engine that had the address before is dropped.


def test_an_address_belongs_to_its_latest_engine_whatever_earlier_engines_report() -> None:
    router = following_router()

    def receive(seq: int, engine: str, state: api.EngineState, port: int) -> None:
        change = api.EngineList(
            api.ListKind.CHANGES if seq > 1 else api.ListKind.FULL,
            (api.Engine(engine, "typ-a", state=state),),
        )
        router.step(
            seq / 100, [events.ChangeLogReceived(ChangeLogUpdate(seq, change, {engine: ("127.0.0.1", port)}))]
        )

    receive(1, "s-a", api.EngineState.UP, 9001)
    receive(2, "s-b", api.EngineState.UP, 9001)
    receive(3, "s-a", api.EngineState.GONE, 9001)
    receive(4, "s-c", api.EngineState.UP, 9001)
    assert set(router._locations) == {"s-c"} and router._engine_by_address == {("127.0.0.1", 9001): "s-c"}
    receive(5, "s-c", api.EngineState.UP, 9002)
    receive(6, "s-d", api.EngineState.UP, 9001)
    assert set(router._locations) == {"s-c", "s-d"} and len(router._engine_by_address) == 2
