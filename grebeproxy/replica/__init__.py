"""What each router says of itself, held by all: the newest of each, and nothing of one that is gone.
I/O-free.
"""

from grebeproxy.replica.records import Delta, Digest, Entry, Record
from grebeproxy.replica.store import Changed, Heard, Limits, Members, Send, Store, Woken

__all__ = [
    "Changed",
    "Delta",
    "Digest",
    "Entry",
    "Heard",
    "Limits",
    "Members",
    "Record",
    "Send",
    "Store",
    "Woken",
]
