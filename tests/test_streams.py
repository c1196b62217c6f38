"""The decision module answers seeded streams of events with the same actions as when they were recorded."""

from __future__ import annotations

import pytest
from streams import DIGESTS_FILE, SimulatedWorld

DIGESTS = dict(line.rsplit(maxsplit=1) for line in DIGESTS_FILE.read_text().splitlines())


@pytest.mark.parametrize("stream", DIGESTS)
def test_the_actions_on_a_stream_match_the_recorded_digest(stream: str) -> None:
    name, seed = stream.split()
    assert SimulatedWorld(name, int(seed)).play(12.0) == DIGESTS[stream]


def test_each_stream_and_seed_has_a_digest_of_its_own() -> None:
    assert len(set(DIGESTS.values())) == len(DIGESTS) == 18
