"""The list of tests that are known to fail: passed over and printed, and no way to hide anything else."""

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
"""


def run(folder: Path, listed: str | None, *args: str) -> tuple[int, str]:
    """A suite of its own, with the list and the plugin."""
    tests = folder / "tests"
    tests.mkdir(exist_ok=True)
    (tests / "test_it.py").write_text(SUITE)
    (tests / "known_red.py").write_text((Path(__file__).parent / "known_red.py").read_text())
    (tests / "conftest.py").write_text(
        "import known_red\n"
        "def pytest_configure(config): config.pluginmanager.register(known_red.KnownRed())\n"
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


RED = "tests/test_it.py::test_red | a fault | issue 1\n"
CASES = "tests/test_it.py::test_cases | another | issue 2\n"


def test_those_listed_are_passed_over_and_printed(tmp_path: Path) -> None:
    status, out = run(tmp_path, RED + CASES)
    assert status == 0 and "known red: tests/test_it.py::test_red: a fault (issue 1)" in out


def test_without_the_list_they_fail(tmp_path: Path) -> None:
    assert run(tmp_path, None)[0] == 1


@pytest.mark.parametrize(
    ("listed", "says"),
    [
        (RED, "test_cases"),  # one that fails and is not listed
        (RED + CASES + "tests/test_it.py::test_green | none | issue 3\n", "XPASS(strict)"),
        (RED + "tests/test_it.py::test_no | gone | issue 4\n", "no such test: tests/test_it.py::test_no"),
        (
            RED + "tests/test_other.py::test_red | gone | issue 4\n",
            "no such test: tests/test_other.py::test_red",
        ),
        (RED + CASES + CASES + CASES, "4 tests, and it may list 1 to 3"),
        ("", "0 tests"),
        ("tests/test_it.py::test_red | no issue\n", "line 1: must be test | cause | issue"),
    ],
)
def test_the_run_fails_where_the_list_is_not_true(tmp_path: Path, listed: str, says: str) -> None:
    status, out = run(tmp_path, listed)
    assert status != 0 and says in out


def test_one_file_by_itself_is_not_held_against_the_tests_of_another(tmp_path: Path) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests/test_two.py").write_text("def test_two(): pass\n")
    assert run(tmp_path, RED + CASES, "tests/test_two.py")[0] == 0
