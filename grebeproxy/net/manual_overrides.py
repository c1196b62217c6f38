"""Manual overrides: the engines that operators have taken out of service. Plain state and functions, and the
bytes that carry it from one process to the next; the router calls them.

Two processes may know of different calls. Each call has a number above all that its process knew, and for
each engine the higher one holds; so merging is the same in any order and however often it is done.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b

import orjson

MAX_DISABLED = 1024  # engines that are taken out of service at once
MAX_ENABLED = 64  # engines put back into service that are remembered for another process
VERSION = 1

Calls = dict[str, tuple[int, bool]]  # by engine: the number of its latest call, and whether that took it out


class OverrideFileError(Exception):
    """Bytes that hold no calls of this router."""


@dataclass(slots=True)
class ManualOverrides:
    """The latest call for each engine."""

    calls: Calls = field(default_factory=dict)

    def disabled(self) -> frozenset[str]:
        """Engines that get nothing new."""
        return frozenset(engine for engine, (_, disabled) in self.calls.items() if disabled)

    def set(self, engine: str, disabled: bool) -> bool:
        """Record a call. Returns ``False`` only where too many engines are out of service."""
        if (engine in self.calls and self.calls[engine][1] is disabled) or not (
            disabled or engine in self.calls
        ):
            return True
        if disabled and len(self.disabled()) >= MAX_DISABLED:
            return False
        self.calls[engine] = (1 + max((number for number, _ in self.calls.values()), default=0), disabled)
        self._bound()
        return True

    def merge(self, calls: Calls) -> None:
        """Take what another process knows."""
        for engine, (number, disabled) in calls.items():
            self.calls[engine] = max(self.calls.get(engine, (-1, False)), (number, disabled))
        self._bound()

    def _bound(self) -> None:
        """Guards the memory and the file: of calls back only the latest are of use to another process."""
        back = sorted((number, engine) for engine, (number, disabled) in self.calls.items() if not disabled)
        for _, engine in back[:-MAX_ENABLED]:
            del self.calls[engine]


def encode(name: str, calls: Calls) -> bytes:
    """The calls of the router of that name, with a digest in the first line."""
    body = orjson.dumps({"version": VERSION, "router": name, "calls": calls}, option=orjson.OPT_SORT_KEYS)
    return _digest(body) + b"\n" + body


def decode(name: str, data: bytes) -> Calls:
    """The calls of the router of that name. Raises ``OverrideFileError`` with the reason."""
    digest, _, body = data.partition(b"\n")
    if digest != _digest(body):
        raise OverrideFileError("torn, or not written by a router")
    try:
        document = orjson.loads(body)
        if document["version"] != VERSION or document["router"] != name:
            raise OverrideFileError(f"of version {document['version']} and router {document['router']!r}")
        return {
            str(engine): (int(number), bool(disabled))
            for engine, (number, disabled) in document["calls"].items()
        }
    except (AttributeError, KeyError, TypeError, ValueError) as error:
        raise OverrideFileError(f"not understood: {error}") from None


def _digest(body: bytes) -> bytes:
    return blake2b(body, digest_size=16).hexdigest().encode()
