"""Tests of membership, leases and duties of real router processes, with faults between them."""

from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest
from peers_lab import LEASE_MS, Lab

LabFactory = Callable[[int], Lab]
LEASE_SECONDS = LEASE_MS / 1000


@pytest.fixture
def make_lab(tmp_path: Path) -> Iterator[LabFactory]:
    labs: list[Lab] = []

    def make(n: int) -> Lab:
        labs.append(Lab(tmp_path, n))
        labs[0].start(*range(n))
        labs[0].wait_until(lambda: labs[0].views_agree(list(range(n))), 30.0)
        return labs[0]

    yield make
    for lab in labs:
        lab.stop()


@pytest.mark.parametrize("n", [3, 5, 9])
def test_a_paused_or_killed_holder_is_replaced_and_its_late_reports_are_rejected(
    make_lab: LabFactory, n: int
) -> None:
    lab = make_lab(n)
    lab.wait_until_duty_is_done(15.0)
    first = int(lab.duty_effects[-1][1][1][1:])
    lab.send_signal(signal.SIGSTOP, first)
    rest = [router for router in range(n) if router != first]
    lab.wait_until(lambda: lab.duty_effects[-1][1][1] != f"n{first}", 30.0)
    lab.wait_until(lambda: lab.views_agree(rest), 30.0)
    lab.send_signal(signal.SIGCONT, first)  # All timeouts have passed by now.
    lab.wait_until(lambda: lab.views_agree(list(range(n))), 30.0)
    assert any(line["event"] == "peers.member.paused" for line in lab.log_events(first))
    lab.wait_until_duty_is_done(15.0)
    second = int(lab.duty_effects[-1][1][1][1:])
    lab.kill(second)
    lab.wait_until(lambda: lab.duty_effects[-1][1][1] != f"n{second}", 30.0)
    lab.start(second)  # A new process of the same name starts without state.
    lab.wait_until(lambda: lab.views_agree(list(range(n))), 30.0)
    lab.wait_until_duty_is_done(15.0)
    lab.check_token_order()


def test_in_a_partition_only_the_majority_does_duties_and_views_heal_after_it(make_lab: LabFactory) -> None:
    lab = make_lab(5)
    lab.wait_until_duty_is_done(15.0)
    holder = int(lab.duty_effects[-1][1][1][1:])
    minority = {holder, (holder + 1) % 5}  # The holder is in the minority.
    majority = sorted(set(range(5)) - minority)
    lab.is_cut = lambda sender, receiver: (sender in minority) != (receiver in minority)
    lab.wait_until(lambda: int(lab.duty_effects[-1][1][1][1:]) in majority, 30.0)
    lab.wait_until(lambda: lab.views_agree(majority) and lab.views_agree(sorted(minority)), 30.0)
    assert {lab.view(router)["condition"] for router in minority} <= {"minority", "alone"}
    assert {lab.view(router)["condition"] for router in majority} <= {"quorate", "settled"}
    lab.is_cut = lambda sender, receiver: False
    lab.wait_until(lambda: lab.views_agree(list(range(5))), 60.0)
    lab.wait_until_duty_is_done(15.0)
    lab.check_token_order()


def test_without_a_majority_no_duty_outlasts_its_lease(make_lab: LabFactory) -> None:
    lab = make_lab(5)
    lab.wait_until_duty_is_done(15.0)
    lab.is_cut = lambda sender, receiver: sender % 3 != receiver % 3
    lab.wait_until(
        lambda: all(lab.view(router)["condition"] in ("minority", "alone") for router in range(5)), 40.0
    )
    done = len(lab.duty_effects)
    with pytest.raises(AssertionError, match="not within"):
        lab.wait_until(lambda: len(lab.duty_effects) > done, 2 * LEASE_SECONDS)
    lab.is_cut = lambda sender, receiver: False
    lab.wait_until(lambda: lab.views_agree(list(range(5))), 60.0)
    lab.wait_until_duty_is_done(15.0)
    lab.check_token_order()


def test_duties_go_on_under_loss_duplication_delay_and_a_one_way_cut(make_lab: LabFactory) -> None:
    lab = make_lab(5)
    lab.loss, lab.duplication, lab.delay = 0.15, 0.3, (0.0, 0.03)
    lab.is_cut = lambda sender, receiver: (sender, receiver) == (0, 1)
    for _ in range(3):
        lab.wait_until_duty_is_done(30.0)
    lab.loss = lab.duplication = 0.0
    lab.is_cut = lambda sender, receiver: False
    lab.wait_until(lambda: lab.views_agree(list(range(5))), 60.0)
    lab.check_token_order()


def test_all_routers_restart_and_a_router_with_other_settings_is_rejected(
    make_lab: LabFactory,
) -> None:
    lab = make_lab(3)
    lab.wait_until_duty_is_done(15.0)
    lab.kill(0, 1, 2)
    lab.start(0, 1, 2)
    lab.wait_until(lambda: lab.views_agree([0, 1, 2]), 30.0)
    lab.wait_until_duty_is_done(20.0)  # The token is higher than before, though no router stored one.
    lab.check_token_order()
    lab.kill(2)
    lab.start(2, fleet=1)  # This router is a majority by itself, and must not do the others' duty.
    lab.wait_until(lambda: lab.views_agree([0, 1]), 30.0)
    lab.wait_until(
        lambda: any(
            line.get("reason") == "settings_mismatch" for line in lab.log_events(0) + lab.log_events(1)
        ),
        30.0,
    )
    lab.check_token_order()


def test_a_router_that_shuts_down_leaves_and_its_duty_is_taken_over(make_lab: LabFactory) -> None:
    lab = make_lab(3)
    lab.wait_until_duty_is_done(15.0)
    holder = int(lab.duty_effects[-1][1][1][1:])
    lab.send_signal(signal.SIGTERM, holder)
    assert lab.processes[holder].wait(10) == 0
    rest = [router for router in range(3) if router != holder]
    lab.wait_until(lambda: lab.views_agree(rest), 30.0)
    assert any(
        line["event"] == "peers.member.left" for line in lab.log_events(rest[0]) + lab.log_events(rest[1])
    )
    lab.wait_until(lambda: lab.duty_effects[-1][1][1] != f"n{holder}", 10.0)
    lab.check_token_order()


def test_peers_modules_are_not_imported_while_peers_are_off() -> None:
    text = (
        "import sys, grebeproxy.__main__; assert grebeproxy.__main__.peers_service('n', None) is None; "
        "print([m for m in sys.modules if m.startswith(('grebeproxy.peers', 'grebeproxy.membership', "
        "'grebeproxy.replica', 'hcl2', 'structlog'))])"
    )
    done = subprocess.run([sys.executable, "-c", text], capture_output=True, text=True, check=True)
    assert done.stdout == "[]\n"
