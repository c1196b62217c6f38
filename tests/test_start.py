"""When a starting router takes clients: with the newest list, and not while its start needs the CPU."""

from __future__ import annotations

import asyncio
import socket

import pytest
from exchange import with_changes

from grebeproxy.config import parse
from grebeproxy.net import admission, events, follower
from grebeproxy.net.messages import ChangeLogUpdate
from grebeproxy.net.router import Router, RouterOptions
from grebeproxy.net.runtime import Runtime
from grebeproxy.policy import interface as api

LISTEN, HEARD = events.StartListening(), events.ChangeLogReceived(ChangeLogUpdate(1, None))


def started() -> Router:
    config = parse(with_changes({}))
    options = RouterOptions(
        config.settings,
        config.limits,
        changelog=config.changelog,
        seed=1,
        bounds=admission.bounds(config.sockets, config.memory_mb),
    )
    router = Router(options, now=0.0)
    assert LISTEN not in router.start(0.0)
    return router


def test_clients_come_once_the_change_log_was_heard_and_only_once() -> None:
    router = started()
    assert LISTEN in router.step(0.01, [HEARD])
    assert LISTEN not in router.step(0.02, [HEARD]) + router.step(
        follower.FIRST_EVENT_TIMEOUT, [events.Woken()]
    )


@pytest.mark.parametrize("reported", [[], [events.ChangeLogClosed("refused", 1)]])
def test_a_silent_log_keeps_clients_out_for_its_time_only(reported: list[events.Event]) -> None:
    router = started()
    assert LISTEN not in router.step(follower.FIRST_EVENT_TIMEOUT - 0.01, reported)
    assert LISTEN in router.step(follower.FIRST_EVENT_TIMEOUT, [events.Woken()])


def test_a_start_that_is_stopped_before_takes_no_clients() -> None:
    router = started()
    router.step(0.01, [events.StopRequested()])
    assert LISTEN not in router.step(1.0, [HEARD])


def test_the_list_that_the_log_told_is_known_to_the_first_client() -> None:
    router = started()
    change = api.EngineList(api.ListKind.CHANGES, (api.Engine("s-0000000a", "typ-a", "lodz-1"),))
    assert LISTEN in router.step(
        0.01, [events.ChangeLogReceived(ChangeLogUpdate(1, change, {"s-0000000a": ("127.0.0.1", 9000)}))]
    )
    assert "s-0000000a" in router._locations


def test_an_address_that_another_listens_on_first_ends_the_start() -> None:
    async def start() -> None:
        with socket.socket() as other:
            other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            other.bind(("127.0.0.1", 0))
            address = f"127.0.0.1:{other.getsockname()[1]}"
            serving = asyncio.create_task(Runtime(parse(with_changes({"listen": address}))).serve())
            await asyncio.sleep(0)  # bound by both, and heard by none yet
            other.listen()
            with pytest.raises(OSError, match="in use"):
                await asyncio.wait_for(serving, 10.0)

    asyncio.run(start())


def listening() -> Router:
    """A router whose change log is up."""
    router = started()
    router.step(0.005, [events.ChangeLogOpened(1)])
    return router


def test_a_change_of_a_long_list_looks_at_no_engine_but_its_own(monkeypatch: pytest.MonkeyPatch) -> None:
    router = listening()
    entries = tuple(api.Engine(f"s-{n:08x}", "typ-a") for n in range(500))
    addresses = {entry.id: ("127.0.0.1", 9000 + n) for n, entry in enumerate(entries)}
    whole = ChangeLogUpdate(1, api.EngineList(api.ListKind.FULL, entries), addresses)
    router.step(0.01, [events.ChangeLogReceived(whole)])
    looked: list[str] = []
    monkeypatch.setattr(router, "_set_location", lambda engine, location: looked.append(engine))
    monkeypatch.setattr(router, "_forget_location", lambda engine: looked.append(engine))
    moved = ChangeLogUpdate(
        2,
        api.EngineList(api.ListKind.CHANGES, (api.Engine("s-new", "typ-a"),)),
        {"s-new": ("127.0.0.1", 9007)},
    )
    router.step(0.02, [events.ChangeLogReceived(moved)])
    assert looked == ["s-00000007", "s-new"]  # the one that had its address is dropped


def test_an_address_is_the_latest_engines_whatever_is_heard_of_earlier_ones() -> None:
    router = listening()

    def tell(seq: int, engine: str, state: api.EngineState, port: int) -> None:
        change = api.EngineList(
            api.ListKind.CHANGES if seq > 1 else api.ListKind.FULL,
            (api.Engine(engine, "typ-a", state=state),),
        )
        router.step(
            seq / 100, [events.ChangeLogReceived(ChangeLogUpdate(seq, change, {engine: ("127.0.0.1", port)}))]
        )

    tell(1, "s-a", api.EngineState.UP, 9001)
    tell(2, "s-b", api.EngineState.UP, 9001)
    tell(3, "s-a", api.EngineState.GONE, 9001)
    tell(4, "s-c", api.EngineState.UP, 9001)
    assert set(router._locations) == {"s-c"} and router._engine_by_address == {("127.0.0.1", 9001): "s-c"}
    tell(5, "s-c", api.EngineState.UP, 9002)
    tell(6, "s-d", api.EngineState.UP, 9001)
    assert set(router._locations) == {"s-c", "s-d"} and len(router._engine_by_address) == 2
