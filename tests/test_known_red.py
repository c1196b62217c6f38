"""The list of known failures: listed tests may fail and are printed; the list cannot hide anything else."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

SUITE = """
import pytest

def test_red():
    assert False

@pytest.mark.parametrize("n", [1, 2])
def test_cases(n):
    assert n > 2

def test_green():
    pass

@pytest.mark.skip
def test_skipped():
    pass

def test_skips_itself():
    pytest.skip("not today")
"""


def run(folder: Path, listed: str | None, *args: str) -> tuple[int, str]:
    """Run a separate test suite with the list and the plugin. Returns the exit status and the output."""
    tests = folder / "tests"
    tests.mkdir(exist_ok=True)
    (tests / "test_it.py").write_text(SUITE)
    (tests / "known_red.py").write_text((Path(__file__).parent / "known_red.py").read_text())
    (tests / "conftest.py").write_text(
        "import known_red\n"
        "def pytest_configure(config): config.pluginmanager.register(known_red.KnownFailures())\n"
    )
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    done = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *args],
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    return done.returncode, done.stdout + done.stderr


RED = "tests/test_it.py::test_red | pytest, no seed | a fault | issue 1\n"
CASES = "tests/test_it.py::test_cases | pytest, no seed | another | issue 2\n"


def listed_as(test: str, seen: str = "seen") -> str:
    return f"tests/test_it.py::{test} | pytest, no seed | {seen} | issue 3\n"


def test_listed_failures_do_not_fail_the_run_and_are_printed(tmp_path: Path) -> None:
    status, out = run(tmp_path, RED + CASES)
    assert status == 0
    assert "known red: tests/test_it.py::test_red: a fault (issue 1; pytest, no seed)" in out


def test_more_than_three_failures_may_be_listed(tmp_path: Path) -> None:
    cases = "".join(listed_as(f"test_cases[{n}]") for n in (1, 2))
    by_hand = "soak 7 | python -m grebeproxy.lab soak --seeds 7 | lost | issue 4\nbench | x | y | issue 5\n"
    status, out = run(tmp_path, RED + cases + by_hand)
    assert status == 0 and "known red: soak 7: lost" in out and "known red: bench: y" in out


def test_without_the_list_the_run_fails(tmp_path: Path) -> None:
    assert run(tmp_path, None)[0] == 1


def test_a_listed_intermittent_failure_may_pass_which_is_printed(tmp_path: Path) -> None:
    status, out = run(tmp_path, RED + CASES + listed_as("test_green", "at times: a race"))
    assert status == 0 and "known red, passed this time: tests/test_it.py::test_green" in out


def test_a_listed_intermittent_failure_may_fail(tmp_path: Path) -> None:
    assert run(tmp_path, RED.replace("a fault", "at times: a fault") + CASES)[0] == 0


@pytest.mark.parametrize(
    ("listed", "says"),
    [
        (RED, "test_cases"),  # A failing test is not listed.
        (RED.replace("a fault", "at times: a fault"), "test_cases"),
        (RED + CASES + listed_as("test_green"), "XPASS(strict)"),
        (RED + CASES + listed_as("test_no"), "no such test: tests/test_it.py::test_no"),
        (
            RED + CASES + listed_as("test_red").replace("test_it", "test_other"),
            "no such test: tests/test_other.py::test_red",
        ),
        (RED + CASES + listed_as("test_skipped"), "listed and not run: tests/test_it.py::test_skipped"),
        (
            RED + CASES + listed_as("test_skips_itself", "at times: a race"),
            "listed and not run: tests/test_it.py::test_skips_itself",
        ),
        ("", "lists nothing"),
        ("tests/test_it.py::test_red | a fault | issue 1\n", "line 1: must be test | command and seed"),
        ("tests/test_it.py::test_red | pytest | | issue 1\n", "line 1: must be test | command and seed"),
        ("soak | python | lost | issue 1\n", "line 1: neither a test, soak N nor bench: soak"),
    ],
)
def test_the_run_fails_if_the_list_is_wrong(tmp_path: Path, listed: str, says: str) -> None:
    status, out = run(tmp_path, listed)
    assert status != 0 and says in out


def test_a_run_of_one_file_does_not_require_the_listed_tests_of_another(tmp_path: Path) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests/test_two.py").write_text("def test_two(): pass\n")
    assert run(tmp_path, RED + CASES, "tests/test_two.py")[0] == 0


def test_a_listed_test_may_be_deselected_by_option(tmp_path: Path) -> None:
    assert run(tmp_path, RED + CASES, "-k", "test_green")[0] == 0
