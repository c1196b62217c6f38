"""Manual overrides: the engines that operators have disabled.

Plain state and functions, and the bytes that carry the overrides from one process to the next; the router
calls them.

The processes of one router may know of different calls. Each call has a number above all that its process
knew, and for each engine the call with the highest number holds. So merging gives the same result in any
order, and when repeated.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b

import orjson

from grebeproxy.errors import GrebeproxyError

MAX_DISABLED = 1024  # engines disabled at once
MAX_ENABLED = 64  # engines enabled again that are remembered, so that other processes learn of it
VERSION = 1  # of the format of the bytes
DIGEST_BYTES = 16

Calls = dict[str, tuple[int, bool]]  # by engine: the number of its latest call, and whether that disabled it


class OverrideFileError(GrebeproxyError):
    """Bytes that hold no overrides of this router."""


@dataclass(slots=True)
class ManualOverrides:
    """The latest call for each engine."""

    calls: Calls = field(default_factory=dict)

    def disabled(self) -> frozenset[str]:
        """The engines that get nothing new."""
        return frozenset(engine for engine, (_, disabled) in self.calls.items() if disabled)

    def set(self, engine: str, disabled: bool) -> bool:
        """Record a call, if it changes anything. Returns ``False`` only if too many engines are disabled."""
        _, disabled_before = self.calls.get(engine, (0, False))
        if disabled is disabled_before:
            return True
        if disabled and len(self.disabled()) >= MAX_DISABLED:
            return False
        last_number = max((number for number, _ in self.calls.values()), default=0)
        self.calls[engine] = (last_number + 1, disabled)
        self._forget_oldest()
        return True

    def merge(self, calls: Calls) -> None:
        """Take in what another process knows; of calls with equal numbers, the one that disables holds."""
        for engine, (number, disabled) in calls.items():
            self.calls[engine] = max(self.calls.get(engine, (-1, False)), (number, disabled))
        self._forget_oldest()

    def _forget_oldest(self) -> None:
        """Bound memory and file: of the calls that enabled an engine, only the latest are needed."""
        enabled = sorted(
            (number, engine) for engine, (number, disabled) in self.calls.items() if not disabled
        )
        for _, engine in enabled[:-MAX_ENABLED]:
            del self.calls[engine]


def encode(name: str, calls: Calls) -> bytes:
    """The calls of the router of that name: a line with a digest, then JSON."""
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
    return blake2b(body, digest_size=DIGEST_BYTES).hexdigest().encode()
