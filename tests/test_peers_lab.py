"""Real router processes that share membership, leases and duties, with faults between them."""

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
def test_a_paused_or_killed_holder_is_replaced_and_its_late_reports_are_rejected(made: Made, n: int) -> None:
    lab = made(n)
    lab.until_duty_is_done(15.0)
    first = int(lab.effects[-1][1][1][1:])
    lab.signal(signal.SIGSTOP, first)
    rest = [router for router in range(n) if router != first]
    lab.until(lambda: lab.effects[-1][1][1] != f"n{first}", 30.0)
    lab.until(lambda: lab.agree(rest), 30.0)
    lab.signal(signal.SIGCONT, first)  # after every time-out
    lab.until(lambda: lab.agree(list(range(n))), 30.0)
    assert any(line["event"] == "peers.member.paused" for line in lab.lines(first))
    lab.until_duty_is_done(15.0)
    second = int(lab.effects[-1][1][1][1:])
    lab.kill(second)
    lab.until(lambda: lab.effects[-1][1][1] != f"n{second}", 30.0)
    lab.start(second)  # a new process of the same name, without state
    lab.until(lambda: lab.agree(list(range(n))), 30.0)
    lab.until_duty_is_done(15.0)
    lab.check()


def test_in_a_partition_only_the_majority_does_duties_and_views_heal_after_it(made: Made) -> None:
    lab = made(5)
    lab.until_duty_is_done(15.0)
    holder = int(lab.effects[-1][1][1][1:])
    small = {holder, (holder + 1) % 5}  # the holder is in the minority
    large = sorted(set(range(5)) - small)
    lab.cut = lambda a, b: (a in small) != (b in small)
    lab.until(lambda: int(lab.effects[-1][1][1][1:]) in large, 30.0)
    lab.until(lambda: lab.agree(large) and lab.agree(sorted(small)), 30.0)
    assert {lab.view(router)["condition"] for router in small} <= {"minority", "alone"}
    assert {lab.view(router)["condition"] for router in large} <= {"quorate", "settled"}
    lab.cut = lambda a, b: False
    lab.until(lambda: lab.agree(list(range(5))), 60.0)
    lab.until_duty_is_done(15.0)
    lab.check()


def test_without_a_majority_no_duty_outlasts_its_lease(made: Made) -> None:
    lab = made(5)
    lab.until_duty_is_done(15.0)
    lab.cut = lambda a, b: a % 3 != b % 3
    lab.until(
        lambda: all(lab.view(router)["condition"] in ("minority", "alone") for router in range(5)), 40.0
    )
    done = len(lab.effects)
    with pytest.raises(AssertionError, match="not within"):
        lab.until(lambda: len(lab.effects) > done, 2 * LEASE)
    lab.cut = lambda a, b: False
    lab.until(lambda: lab.agree(list(range(5))), 60.0)
    lab.until_duty_is_done(15.0)
    lab.check()


def test_duties_go_on_under_loss_duplication_delay_and_a_one_way_cut(made: Made) -> None:
    lab = made(5)
    lab.loss, lab.duplication, lab.delay = 0.15, 0.3, (0.0, 0.03)
    lab.cut = lambda a, b: (a, b) == (0, 1)
    for _ in range(3):
        lab.until_duty_is_done(30.0)
    lab.loss = lab.duplication = 0.0
    lab.cut = lambda a, b: False
    lab.until(lambda: lab.agree(list(range(5))), 60.0)
    lab.check()


def test_restart_of_all_routers_and_a_router_with_other_settings(made: Made) -> None:
    lab = made(3)
    lab.until_duty_is_done(15.0)
    lab.kill(0, 1, 2)
    lab.start(0, 1, 2)
    lab.until(lambda: lab.agree([0, 1, 2]), 30.0)
    lab.until_duty_is_done(20.0)  # under a higher token than before, though no router has kept one
    lab.check()
    lab.kill(2)
    lab.start(2, fleet=1)  # a majority by itself: it must not do the duty of the others
    lab.until(lambda: lab.agree([0, 1]), 30.0)
    lab.until(
        lambda: any(line.get("reason") == "settings_mismatch" for line in lab.lines(0) + lab.lines(1)),
        30.0,
    )
    lab.check()


def test_a_router_that_shuts_down_leaves_and_its_duty_is_taken_over(made: Made) -> None:
    lab = made(3)
    lab.until_duty_is_done(15.0)
    holder = int(lab.effects[-1][1][1][1:])
    lab.signal(signal.SIGTERM, holder)
    assert lab.processes[holder].wait(10) == 0
    rest = [router for router in range(3) if router != holder]
    lab.until(lambda: lab.agree(rest), 30.0)
    assert any(line["event"] == "peers.member.left" for line in lab.lines(rest[0]) + lab.lines(rest[1]))
    lab.until(lambda: lab.effects[-1][1][1] != f"n{holder}", 10.0)
    lab.check()


def test_nothing_is_imported_while_peers_are_off() -> None:
    text = (
        "import sys, grebeproxy.__main__; assert grebeproxy.__main__.peers_service('n', None) is None; "
        "print([m for m in sys.modules if m.startswith(('grebeproxy.peers', 'grebeproxy.membership', "
        "'grebeproxy.replica', 'hcl2', 'structlog'))])"
    )
    done = subprocess.run([sys.executable, "-c", text], capture_output=True, text=True, check=True)
    assert done.stdout == "[]\n"
