"""Memory of one router that knows many others, traced while it takes in their packets."""

from __future__ import annotations

import tracemalloc
from random import Random

from grebeproxy.lab.control.fleet import KEY, KEY_NAME, Fleet, acquaint, address, name
from grebeproxy.membership import Message, wire
from grebeproxy.membership.model import Fact, Kind, State
from grebeproxy.membership.wire import Sealed
from grebeproxy.peers import node
from grebeproxy.replica import Limits

NOW = 100.0


def membership_bytes(members: int, seed: int) -> int:
    """Bytes that the facts of all members and the windows of their packets' numbers take."""
    return _traced_bytes(members, seed, key_bytes=0)


def replica_bytes(members: int, seed: int, key_bytes: int) -> int:
    """The same with the copies of one key of each member. Above ``Limits.origins`` copies are refused."""
    return _traced_bytes(members, seed, key_bytes)


def _traced_bytes(members: int, seed: int, key_bytes: int) -> int:
    rng = Random(seed)
    fleet = Fleet(members, seed)
    config = fleet.config(0)
    packets = [packet for member in range(1, members) for packet in _packets(member, rng, fleet, key_bytes)]
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        core = node.Node(config, rng.getrandbits(56), Random(seed), NOW, Limits())
        sealed = Sealed(KEY, core.instance, config.mark)
        payloads = [sealed.open(packet) for packet in packets]
        senders = [wire.unpacked(payload[1]).sender for payload in payloads if payload[0] == node.MEMBER]
        acquaint(core, senders, NOW)
        core.step(NOW, [])
        for payload in payloads:
            core.step(NOW, [node.PayloadReceived(payload)])
        core._effects.clear()
        core.members._context.effects, core.store._effects = [], []
        del payloads, senders
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return after - before


def _packets(member: int, rng: Random, fleet: Fleet, key_bytes: int) -> list[bytes]:
    """What one member sends: a ping, and a change of its key if there is one."""
    instance = rng.getrandbits(56)
    sealed = Sealed(KEY, instance, fleet.config(member).mark)
    fact = Fact(name(member), address(member), instance, 0, State.ALIVE)
    ping = Message(Kind.PING, fact, number=1, target=name(0))
    packets = [sealed.seal([node.MEMBER, wire.packed(ping)])]
    if key_bytes:
        entry = [KEY_NAME, 1, rng.randbytes(key_bytes)]
        delta = [node.DELTA, name(member), name(member), 0, rng.getrandbits(48), 0, 1, 0.0, [entry]]
        packets.append(sealed.seal(delta))
    return packets
