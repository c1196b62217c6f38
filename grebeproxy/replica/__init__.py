"""Replicated records: each router publishes its own record and holds copies of all others'. I/O-free."""

from grebeproxy.replica.interface import (
    Effect,
    Event,
    Limits,
    MessageReceived,
    OriginChanged,
    PublishLimitError,
    ReachableMembers,
    Send,
    Woken,
)
from grebeproxy.replica.records import Delta, Digest, Entry, Incarnation, KeyChange, Record, Version
from grebeproxy.replica.store import Store

__all__ = [
    "Delta",
    "Digest",
    "Effect",
    "Entry",
    "Event",
    "Incarnation",
    "KeyChange",
    "Limits",
    "MessageReceived",
    "OriginChanged",
    "PublishLimitError",
    "ReachableMembers",
    "Record",
    "Send",
    "Store",
    "Version",
    "Woken",
]
