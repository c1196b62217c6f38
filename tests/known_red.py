"""Tests that are known to fail for a real fault: ``KNOWN-RED.txt`` at the root lists them, three at most.

A line is ``tests/file.py::test | cause | issue``. Such a test is run, printed, and passed over where it
fails; where it passes the run fails, as it does where the file names a test that does not exist. With nothing
red there is no file.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import pytest
from _pytest.terminal import TerminalReporter

FILE = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST = 3


@dataclass(frozen=True)
class Red:
    """A test that is known to fail."""

    test: str  # its node id, of all its parameters where none is named
    cause: str
    issue: str

    def names(self, node: str) -> bool:
        """Whether it is this test, or the one that this is a parametrised case of."""
        return node == self.test or node.split("[")[0] == self.test


def read(path: Path) -> list[Red]:
    """What the file lists. Raises ``ValueError`` naming the line that cannot be used."""
    if not path.exists():
        return []
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    if not 0 < len(lines) <= MOST:
        raise ValueError(f"{path.name}: {len(lines)} tests, and it may list 1 to {MOST}")
    reds = []
    for number, line in enumerate(lines, 1):
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts) or "::" not in parts[0]:
            raise ValueError(f"{path.name}: line {number}: must be test | cause | issue")
        reds.append(Red(*parts))
    return reds


def missing(reds: Sequence[Red], nodes: Sequence[str], *, whole: bool) -> list[str]:
    """Tests that are listed and not there; where not the whole suite is run, only in files that are."""
    files = {node.split("::")[0] for node in nodes}
    return [
        red.test
        for red in reds
        if (whole or red.test.split("::")[0] in files) and not any(map(red.names, nodes))
    ]


class KnownRed:
    """The plugin."""

    def __init__(self, path: Path = FILE) -> None:
        self.reds: list[Red] = []
        self.path = path

    def pytest_collection_modifyitems(self, config: pytest.Config, items: list[pytest.Item]) -> None:
        """Mark them; fail where one is not there."""
        try:
            self.reds = read(self.path)
        except ValueError as error:
            raise pytest.UsageError(str(error)) from None
        whole = not any(Path(arg.split("::")[0]).suffix == ".py" for arg in config.args)
        if gone := missing(self.reds, [item.nodeid for item in items], whole=whole):
            raise pytest.UsageError(f"{self.path.name}: no such test: {', '.join(gone)}")
        for item in items:
            for red in filter(lambda red: red.names(item.nodeid), self.reds):
                item.add_marker(pytest.mark.xfail(reason=f"{red.cause} ({red.issue})", strict=True))

    def pytest_terminal_summary(self, terminalreporter: TerminalReporter) -> None:
        """Print them."""
        for red in self.reds:
            terminalreporter.write_line(f"known red: {red.test}: {red.cause} ({red.issue})")
