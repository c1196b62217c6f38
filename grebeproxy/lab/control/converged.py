"""The state of routers that have run for long, set directly so that a measurement need not wait for it."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from grebeproxy.membership.model import Fact
from grebeproxy.peers.node import Node
from grebeproxy.replica import Record, Store

KEY_NAME = "share"  # name of the key that each router publishes
PUBLISHED_WITHIN = 0.25  # of a key's time to live: the greatest age of a published key


def set_known_members(core: Node, facts: Iterable[Fact], now: float) -> None:
    """Give a new node the state of one that has long known these members, and whose votes count.

    Sets private state, because members learned from messages would be spread further by gossip.
    """
    own_name = core.config.member.name
    core.members.facts.update((fact.name, fact) for fact in facts if fact.name != own_name)
    core.members.table.changed = True  # the view is computed anew
    core.leases.voter.votes_from = now


def publish_keys(stores: list[Store], key_bytes: int, now: float, rng: Random) -> None:
    """Give each store one random key of its own, published some time ago, and copies of all others' keys."""
    for store in stores:
        age = rng.uniform(0.0, store.limits.ttl * PUBLISHED_WITHIN)
        store.put(now - age, KEY_NAME, rng.randbytes(key_bytes))
    originals = [(store.name, store.records[store.name]) for store in stores]
    for store in stores:
        copies = {origin: _copy_of(record) for origin, record in originals if origin != store.name}
        store.records.update(copies)


def _copy_of(record: Record) -> Record:
    """A record whose entries can be changed without changing the original's."""
    return Record(record.incarnation, record.top, record.at, dict(record.entries))
