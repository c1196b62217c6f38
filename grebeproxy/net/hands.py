"""What operators have set by hand: which engines are out. Plain state and functions, and the bytes that carry
it from one process to the next; the reducer calls them.

Two processes may know of different calls. Each call has a number above all that its process knew, and for
each engine the higher one holds; so merging is the same in any order and however often it is done.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b

import orjson

MOST_OUT, MOST_BACK = 1024, 64  # engines that are out; calls back that are remembered for another process
VERSION = 1

Calls = dict[str, tuple[int, bool]]  # by engine: the number of its latest call, and whether that took it out


class HandsError(Exception):
    """Bytes that hold no calls of this router."""


@dataclass(slots=True)
class Hands:
    """The latest call for each engine."""

    calls: Calls = field(default_factory=dict)

    def out(self) -> frozenset[str]:
        """Engines that get nothing new."""
        return frozenset(engine for engine, (_, out) in self.calls.items() if out)

    def set(self, engine: str, out: bool) -> bool:
        """Take a call. Tells whether it could be taken; ``False`` only where too many engines are out."""
        if (engine in self.calls and self.calls[engine][1] is out) or not (out or engine in self.calls):
            return True
        if out and len(self.out()) >= MOST_OUT:
            return False
        self.calls[engine] = (1 + max((number for number, _ in self.calls.values()), default=0), out)
        self._bound()
        return True

    def merge(self, calls: Calls) -> None:
        """Take what another process knows."""
        for engine, (number, out) in calls.items():
            self.calls[engine] = max(self.calls.get(engine, (-1, False)), (number, out))
        self._bound()

    def _bound(self) -> None:
        """Guards the memory and the file: of calls back only the latest are of use to another process."""
        back = sorted((number, engine) for engine, (number, out) in self.calls.items() if not out)
        for _, engine in back[:-MOST_BACK]:
            del self.calls[engine]


def encode(name: str, calls: Calls) -> bytes:
    """The calls of the router of that name, with a digest in the first line."""
    body = orjson.dumps({"version": VERSION, "router": name, "calls": calls}, option=orjson.OPT_SORT_KEYS)
    return _digest(body) + b"\n" + body


def decode(name: str, data: bytes) -> Calls:
    """The calls of the router of that name. Raises ``HandsError`` with the reason."""
    digest, _, body = data.partition(b"\n")
    if digest != _digest(body):
        raise HandsError("torn, or not written by a router")
    try:
        told = orjson.loads(body)
        if told["version"] != VERSION or told["router"] != name:
            raise HandsError(f"of version {told['version']} and router {told['router']!r}")
        return {str(engine): (int(number), bool(out)) for engine, (number, out) in told["calls"].items()}
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise HandsError(f"not understood: {error}") from None


def _digest(body: bytes) -> bytes:
    return blake2b(body, digest_size=16).hexdigest().encode()
