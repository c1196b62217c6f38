"""Memory of one router that knows many others, traced while it processes their packets."""

from __future__ import annotations

import tracemalloc
from random import Random

from grebeproxy.lab.control.addresses import address, name
from grebeproxy.lab.control.converged import KEY_NAME, set_known_members
from grebeproxy.lab.control.fleet import INSTANCE_BITS, KEY, START_TIME, Fleet
from grebeproxy.membership import Message, wire
from grebeproxy.membership.model import Fact, Kind, State
from grebeproxy.membership.wire import PacketCodec
from grebeproxy.peers import node
from grebeproxy.replica import Limits

# Members in a measurement of memory, as a multiple of the fleet size. Memory is measured on a single router,
# so that more members are affordable than in a simulated fleet.
MEMORY_FACTOR = 4
CHANGE_COUNT_BITS = 48


def membership_bytes(members: int, seed: int) -> int:
    """Return the bytes taken by the facts of all members and the replay windows of their packets."""
    return _traced_bytes(members, seed, key_bytes=0)


def replica_bytes(members: int, seed: int, key_bytes: int) -> int:
    """Return the bytes taken by membership and by copies of one key of each member.

    A store rejects copies of further origins once it holds ``Limits.origins``.
    """
    return _traced_bytes(members, seed, key_bytes)


def _traced_bytes(members: int, seed: int, key_bytes: int) -> int:
    rng = Random(seed)
    fleet = Fleet(members, seed)
    config = fleet.config(0)
    packets = [packet for member in range(1, members) for packet in _packets(member, rng, fleet, key_bytes)]
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        core = node.Node(config, rng.getrandbits(INSTANCE_BITS), Random(seed), START_TIME, Limits())
        codec = PacketCodec(KEY, core.instance, config.settings_digest)
        payloads = [codec.open(packet) for packet in packets]
        senders = [
            wire.unpack_message(payload[1]).sender for payload in payloads if payload[0] == node.MEMBER
        ]
        set_known_members(core, senders, START_TIME)
        core.step(START_TIME, [])
        for payload in payloads:
            core.step(START_TIME, [node.PayloadReceived(payload)])
        core._effects.clear()
        core.members._context.effects = []
        core.store._effects = []
        del payloads, senders
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return after - before


def _packets(member: int, rng: Random, fleet: Fleet, key_bytes: int) -> list[bytes]:
    """Return the packets that one member sends: a ping, and a change of its key if ``key_bytes`` is not 0."""
    instance = rng.getrandbits(INSTANCE_BITS)
    codec = PacketCodec(KEY, instance, fleet.config(member).settings_digest)
    fact = Fact(name(member), address(member), instance, 0, State.ALIVE)
    ping = Message(Kind.PING, fact, number=1, target=name(0))
    packets = [codec.seal([node.MEMBER, wire.pack_message(ping)])]
    if key_bytes:
        entry = [KEY_NAME, 1, rng.randbytes(key_bytes)]
        delta = [
            node.DELTA,
            name(member),
            name(member),
            0,
            rng.getrandbits(CHANGE_COUNT_BITS),
            0,
            1,
            0.0,
            [entry],
        ]
        packets.append(codec.seal(delta))
    return packets
