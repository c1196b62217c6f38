"""The decision module does on recorded streams of events what it did when they were recorded."""

from __future__ import annotations

import pytest
from streams import RECORDED, World

DIGESTS = dict(line.rsplit(maxsplit=1) for line in RECORDED.read_text().splitlines())


@pytest.mark.parametrize("stream", DIGESTS)
def test_the_module_does_what_it_did(stream: str) -> None:
    name, seed = stream.split()
    assert World(name, int(seed)).play(12.0) == DIGESTS[stream]


def test_another_seed_is_another_stream() -> None:
    assert len(set(DIGESTS.values())) == len(DIGESTS) == 18
