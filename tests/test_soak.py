"""A short soak: one seed of each kind with real processes. Longer soaks are run by hand (docs/SOAK.md)."""

from __future__ import annotations

import pytest
from click.testing import CliRunner

from grebeproxy.lab.__main__ import main
from grebeproxy.lab.soak.plan import make_plan
from grebeproxy.lab.soak.play import play

# Serving this fraction of the requests in spite of the faults shows that the run did take place.
MIN_SERVED_FRACTION = 0.5


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
def test_seed(seed: int) -> None:
    result = play(make_plan(seed))
    assert result.failed == ()
    assert result.served > MIN_SERVED_FRACTION * result.requests > 100


def test_the_command_prints_the_same_schedule_each_time() -> None:
    runs = [CliRunner().invoke(main, ["soak", "--seeds", "7-9", "--plan"]) for _ in range(2)]
    assert [run.exit_code for run in runs] == [0, 0] and runs[0].output == runs[1].output
    assert all(f"seed {seed}: " in runs[0].output for seed in (7, 8, 9))


@pytest.mark.parametrize("seeds", ["x", "5-", "9-7", "-"])
def test_seeds_that_cannot_be_used_are_reported(seeds: str) -> None:
    run = CliRunner().invoke(main, ["soak", "--seeds", seeds, "--plan"])
    assert run.exit_code == 2 and "Traceback" not in run.output
