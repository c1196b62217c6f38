"""What all gateways come to without being told: orders, parts and turns."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b
from itertools import accumulate, pairwise


def agreed(ids: Iterable[str], salt: str = "") -> list[str]:
    """The ids in an order that all gateways come to, another one for each salt."""
    return sorted(ids, key=lambda id: blake2b(f"{salt}{id}".encode()).digest())


def stretch(ring: list[str], place: float, length: int) -> set[str]:
    """So many from a place on, 0 to 1, and round; one that comes or goes shifts the others by one."""
    start, n = int(place * len(ring)), len(ring)
    return {ring[(start + i) % n] for i in range(min(length, n))}


def laid(sizes: dict[str, float]) -> dict[str, tuple[float, float]]:
    """The things laid behind each other from 0 to 1, each as long as its part of all."""
    whole, ends = sum(sizes.values()) or 1.0, list(accumulate(sizes.values(), initial=0.0))
    return {name: (at / whole, end / whole) for name, (at, end) in zip(sizes, pairwise(ends), strict=True)}


def dealt(count: int, among: int, turn: int) -> int:
    """How many of so many things go to the one whose turn it is."""
    return count // among + (turn % among < count % among)
