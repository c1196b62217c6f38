"""Manual overrides: the engines that operators have disabled.

The module holds plain state and functions, and the encoding that carries the overrides from one process to
another. The router calls it.

The processes of one router may know different calls. The number of a call is higher than all numbers that its
process knows, and the call with the highest number for an engine is in force. Merging is therefore
commutative and idempotent.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b

import orjson

from grebeproxy.errors import GrebeproxyError
from grebeproxy.net.engine_id import engine_id_from_text

MAX_DISABLED = 1024  # engines disabled at once
MAX_ENABLED = 64  # re-enabled engines whose calls are kept, so that other processes learn of them
VERSION = 1  # version of the encoding
DIGEST_BYTES = 16

# By engine: the number of its latest call, and whether the call disabled the engine.
Calls = dict[str, tuple[int, bool]]


class OverrideFileError(GrebeproxyError):
    """The data does not hold overrides of this router."""


@dataclass(slots=True)
class ManualOverrides:
    """The latest call for each engine."""

    calls: Calls = field(default_factory=dict)

    def disabled(self) -> frozenset[str]:
        """The engines that receive no new requests."""
        return frozenset(engine for engine, (_, disabled) in self.calls.items() if disabled)

    def set(self, engine: str, disabled: bool) -> bool:
        """Record a call that changes anything. Returns ``False`` only if too many engines are disabled."""
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
        """Merge the calls of another process; of two calls with one number, the disabling call wins."""
        for written_id, (number, disabled) in calls.items():
            engine = engine_id_from_text(written_id)
            self.calls[engine] = max(self.calls.get(engine, (-1, False)), (number, disabled))
        self._forget_oldest()

    def _forget_oldest(self) -> None:
        """Drop the oldest calls that enabled an engine; this bounds the memory and the size of the file."""
        enabled = sorted(
            (number, engine) for engine, (number, disabled) in self.calls.items() if not disabled
        )
        for _, engine in enabled[:-MAX_ENABLED]:
            del self.calls[engine]


def encode(name: str, calls: Calls) -> bytes:
    """Encode the calls of the named router as a line with a digest, followed by JSON."""
    body = orjson.dumps({"version": VERSION, "router": name, "calls": calls}, option=orjson.OPT_SORT_KEYS)
    return _digest(body) + b"\n" + body


def decode(name: str, data: bytes) -> Calls:
    """Decode the calls of the named router. Raises ``OverrideFileError`` with the reason."""
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
