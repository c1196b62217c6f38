"""Sets the state of routers that have run for a long time, so that a measurement need not wait for it."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from grebeproxy.membership.model import Fact
from grebeproxy.peers.node import Node
from grebeproxy.replica import Store

KEY_NAME = "share"  # name of the key that each router publishes
PUBLISHED_WITHIN = 0.25  # greatest age of a published key, as a fraction of its time to live


def set_known_members(node: Node, facts: Iterable[Fact], now: float) -> None:
    """Give a new node the state of one that has known these members for a long time and whose votes count.

    The function sets private state, because the node would gossip about members that it learns from messages.
    """
    own_name = node.config.member.name
    node.members.facts.update((fact.name, fact) for fact in facts if fact.name != own_name)
    node.members.table.changed = True  # makes the table compute its view again
    node.leases.voter.votes_from = now


def publish_keys(stores: list[Store], key_bytes: int, now: float, rng: Random) -> None:
    """Give each store one key with a random value and age, and copies of the keys of all other stores."""
    for store in stores:
        age = rng.uniform(0.0, store.limits.ttl * PUBLISHED_WITHIN)
        store.publish(now - age, KEY_NAME, rng.randbytes(key_bytes))
    originals = [(store.name, store.records[store.name]) for store in stores]
    for store in stores:
        copies = {origin: record.copy() for origin, record in originals if origin != store.name}
        store.records.update(copies)
