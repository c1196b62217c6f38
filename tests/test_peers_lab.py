"""Real processes that know each other, with faults between them."""

from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from lab import LEASE_MS, Lab

Made = Callable[[int], Lab]
LEASE = LEASE_MS / 1000


@pytest.fixture
def made(tmp_path: Path) -> Iterator[Made]:
    labs: list[Lab] = []

    def make(n: int) -> Lab:
        labs.append(Lab(tmp_path, n))
        labs[0].start(*range(n))
        labs[0].until(lambda: labs[0].agree(list(range(n))), 30.0)
        return labs[0]

    yield make
    for lab in labs:
        lab.end()


@pytest.mark.parametrize("n", [3, 5, 9])
def test_a_holder_that_is_killed_or_stands_still_is_followed_and_what_it_sends_late_is_refused(
    made: Made, n: int
) -> None:
    lab = made(n)
    lab.acts_on(15.0)
    first = int(lab.effects[-1][1][1][1:])
    lab.signal(signal.SIGSTOP, first)
    rest = [m for m in range(n) if m != first]
    lab.until(lambda: lab.effects[-1][1][1] != f"n{first}", 30.0)
    lab.until(lambda: lab.agree(rest), 30.0)
    lab.signal(signal.SIGCONT, first)  # later than every time-out
    lab.until(lambda: lab.agree(list(range(n))), 30.0)
    assert any(line.get("what") == "paused" for line in lab.lines(first))
    lab.acts_on(15.0)
    second = int(lab.effects[-1][1][1][1:])
    lab.kill(second)
    lab.until(lambda: lab.effects[-1][1][1] != f"n{second}", 30.0)
    lab.start(second)  # the same name, and it remembers nothing
    lab.until(lambda: lab.agree(list(range(n))), 30.0)
    lab.acts_on(15.0)
    lab.check()


def test_of_a_cut_in_two_only_the_larger_side_acts_and_all_meet_again(made: Made) -> None:
    lab = made(5)
    lab.acts_on(15.0)
    holder = int(lab.effects[-1][1][1][1:])
    small = {holder, (holder + 1) % 5}  # the holder is on the side that may not act
    large = sorted(set(range(5)) - small)
    lab.cut = lambda a, b: (a in small) != (b in small)
    lab.until(lambda: int(lab.effects[-1][1][1][1:]) in large, 30.0)
    lab.until(lambda: lab.agree(large) and lab.agree(sorted(small)), 30.0)
    assert {lab.view(m)["condition"] for m in small} <= {"minority", "alone"}
    assert {lab.view(m)["condition"] for m in large} <= {"quorate", "settled"}
    lab.cut = lambda a, b: False
    lab.until(lambda: lab.agree(list(range(5))), 60.0)
    lab.acts_on(15.0)
    lab.check()


def test_a_cut_in_three_lets_nobody_act_for_longer_than_a_lease(made: Made) -> None:
    lab = made(5)
    lab.acts_on(15.0)
    lab.cut = lambda a, b: a % 3 != b % 3
    lab.until(lambda: all(lab.view(m)["condition"] in ("minority", "alone") for m in range(5)), 40.0)
    done = len(lab.effects)
    with pytest.raises(AssertionError, match="not within"):
        lab.until(lambda: len(lab.effects) > done, 2 * LEASE)
    lab.cut = lambda a, b: False
    lab.until(lambda: lab.agree(list(range(5))), 60.0)
    lab.acts_on(15.0)
    lab.check()


def test_loss_doubling_delay_and_a_one_way_cut_stop_nothing_for_good(made: Made) -> None:
    lab = made(5)
    lab.loss, lab.twice, lab.delay = 0.15, 0.3, (0.0, 0.03)
    lab.cut = lambda a, b: (a, b) == (0, 1)
    for _ in range(3):
        lab.acts_on(30.0)
    lab.loss = lab.twice = 0.0
    lab.cut = lambda a, b: False
    lab.until(lambda: lab.agree(list(range(5))), 60.0)
    lab.check()


def test_all_that_restart_at_once_and_one_that_is_configured_otherwise(made: Made) -> None:
    lab = made(3)
    lab.acts_on(15.0)
    lab.kill(0, 1, 2)
    lab.start(0, 1, 2)
    lab.until(lambda: lab.agree([0, 1, 2]), 30.0)
    lab.acts_on(20.0)  # under a higher token than any before, though nobody remembers one
    lab.check()
    lab.kill(2)
    lab.start(2, fleet=1)  # by itself a fleet of one: it must not act for the others
    lab.until(lambda: lab.agree([0, 1]), 30.0)
    lab.until(
        lambda: any(
            line.get("reason") == "from a router that is configured otherwise"
            for line in lab.lines(0) + lab.lines(1)
        ),
        30.0,
    )
    lab.check()


def test_one_that_is_told_to_end_leaves_at_once_and_its_duty_goes_on(made: Made) -> None:
    lab = made(3)
    lab.acts_on(15.0)
    holder = int(lab.effects[-1][1][1][1:])
    lab.signal(signal.SIGTERM, holder)
    assert lab.processes[holder].wait(10) == 0
    rest = [m for m in range(3) if m != holder]
    lab.until(lambda: lab.agree(rest), 30.0)
    assert any(line.get("what") == "left" for line in lab.lines(rest[0]) + lab.lines(rest[1]))
    lab.until(lambda: lab.effects[-1][1][1] != f"n{holder}", 10.0)
    lab.check()


def test_where_it_is_off_nothing_of_it_is_imported() -> None:
    text = (
        "import sys, grebeproxy.__main__; assert grebeproxy.__main__.peers('n', None) is None; "
        "print([m for m in sys.modules if m.startswith(('grebeproxy.peers', 'grebeproxy.membership', "
        "'grebeproxy.replica', 'hcl2', 'structlog'))])"
    )
    told = subprocess.run([sys.executable, "-c", text], capture_output=True, text=True, check=True)
    assert told.stdout == "[]\n"
