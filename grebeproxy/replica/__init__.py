"""What each router publishes, held by all: the newest of each, and nothing of one that is gone.
I/O-free.
"""

from grebeproxy.replica.records import Delta, Digest, Entry, Record
from grebeproxy.replica.store import (
    Changed,
    Limits,
    Members,
    MessageReceived,
    PublishLimitError,
    Send,
    Store,
    Woken,
)

__all__ = [
    "Changed",
    "Delta",
    "Digest",
    "Entry",
    "Limits",
    "Members",
    "MessageReceived",
    "PublishLimitError",
    "Record",
    "Send",
    "Store",
    "Woken",
]
