"""Replicated records: each router publishes its own, and holds copies of all others. I/O-free."""

from grebeproxy.replica.interface import (
    Changed,
    Effect,
    Event,
    Limits,
    Members,
    MessageReceived,
    PublishLimitError,
    Send,
    Woken,
)
from grebeproxy.replica.records import Delta, Digest, Entry, Incarnation, KeyChange, Record, Version
from grebeproxy.replica.store import Store

__all__ = [
    "Changed",
    "Delta",
    "Digest",
    "Effect",
    "Entry",
    "Event",
    "Incarnation",
    "KeyChange",
    "Limits",
    "Members",
    "MessageReceived",
    "PublishLimitError",
    "Record",
    "Send",
    "Store",
    "Version",
    "Woken",
]
