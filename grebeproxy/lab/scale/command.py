"""The command ``scale`` of the lab."""

from __future__ import annotations

import functools
import shlex
import signal
import sys
from collections.abc import Callable
from dataclasses import dataclass
from importlib.util import find_spec
from pathlib import Path
from types import FrameType
from typing import Any

import click

from grebeproxy.lab.record import record_now
from grebeproxy.lab.scale.changelog_run import run_changelog
from grebeproxy.lab.scale.fleet_run import run_fleet
from grebeproxy.lab.scale.membership_run import run_membership
from grebeproxy.lab.scale.plot import save_plot
from grebeproxy.lab.scale.processes import WorkerError
from grebeproxy.lab.scale.run import Options, Outcome, Progress
from grebeproxy.lab.scale.table import table

MAX_ROUTERS, MAX_ENGINES = 10_000, 20_000
USAGE_STATUS, FAILED_STATUS, TERMINATED_STATUS = 2, 1, 143
PLOT_SUFFIXES = (".svg", ".png")

Run = Callable[[Options, Progress, Outcome], None]
RUNS: dict[str, Run] = {"changelog": run_changelog, "membership": run_membership, "fleet": run_fleet}
DEFAULT_SIZES = {"changelog": "50,200,800,2400", "membership": "50,100,200,400", "fleet": "50,100,200,400"}
DEFAULT_ENGINES = {"changelog": "80,400,1600,3200", "membership": "1", "fleet": "3200"}


class OneLineUsageError(click.ClickException):
    """Arguments that cannot be used: one line on standard error, status 2."""

    exit_code = USAGE_STATUS

    def show(self, file: object = None) -> None:
        """Write the line."""
        click.echo(f"scale: {self.message}", err=True)


class OneLineCommand(click.Command):
    """A command whose usage errors take one line each."""

    def parse_args(self, context: click.Context, arguments: list[str]) -> list[str]:
        """Parse, and reduce a usage error to its message."""
        try:
            return super().parse_args(context, arguments)
        except click.UsageError as error:
            raise OneLineUsageError(error.format_message().replace("\n", " ")) from None


@dataclass(frozen=True, slots=True)
class Arguments:
    """The command line, one field for each argument or option."""

    name: str
    sizes: str | None
    engines: str | None
    seed: int
    quiet_s: float
    wait_s: float
    memory_mb: int
    duty: bool
    json_path: Path | None
    plot_path: Path | None

    def check(self) -> None:
        """Raise ``OneLineUsageError`` for an unknown run, or a file that could not be written."""
        if self.name not in RUNS:
            raise OneLineUsageError(f"{self.name!r} is not one of {', '.join(RUNS)}")
        for option, path in (("--json", self.json_path), ("--plot", self.plot_path)):
            if path is not None and not path.parent.is_dir():
                raise OneLineUsageError(f"{option}: {path.parent} is not a folder")
        if self.plot_path is not None and self.plot_path.suffix not in PLOT_SUFFIXES:
            raise OneLineUsageError(
                f"--plot: {self.plot_path.name} ends in none of {', '.join(PLOT_SUFFIXES)}"
            )
        if self.plot_path is not None and find_spec("matplotlib") is None:
            raise OneLineUsageError("--plot: matplotlib is not installed")

    def options(self) -> Options:
        """The options of the run. Raises ``OneLineUsageError`` for a malformed list of numbers."""
        return Options(
            sizes=_numbers("--sizes", self.sizes or DEFAULT_SIZES[self.name], MAX_ROUTERS),
            engines=_numbers("--engines", self.engines or DEFAULT_ENGINES[self.name], MAX_ENGINES),
            seed=self.seed,
            quiet_s=self.quiet_s,
            wait_s=self.wait_s,
            memory_mb=self.memory_mb,
            duty=self.duty,
        )


def _numbers(option: str, text: str, largest: int) -> tuple[int, ...]:
    """Parse distinct whole numbers from 1 to ``largest``, comma-separated. Raises ``OneLineUsageError``."""
    parsed = []
    for item in text.split(","):
        if not item.strip().isdecimal() or not 1 <= int(item) <= largest:
            raise OneLineUsageError(f"{option}: {item!r} is not a whole number from 1 to {largest}")
        parsed.append(int(item))
    if len(set(parsed)) != len(parsed):
        raise OneLineUsageError(f"{option}: a number is given twice")
    return tuple(parsed)


def _with_arguments(command: Callable[[Arguments], None]) -> Callable[..., None]:
    """Wrap a command so that it takes click's keyword arguments, one for each option, as ``Arguments``."""

    @functools.wraps(command)
    def call(**parameters: Any) -> None:
        command(Arguments(**parameters))

    return call


@click.command(cls=OneLineCommand)
@click.argument("name")
@click.option("--sizes", help="Hollow routers of each point, as 50,200,800,2400.")
@click.option("--engines", help="Engines, as 80,400,1600,3200; the last size has the most of them.")
@click.option("--seed", type=click.IntRange(0, 2**31), default=1, show_default=True)
@click.option("--quiet-s", type=click.FloatRange(0.2, 60.0), default=10.0, show_default=True,
              help="Seconds of each quiet measurement.")  # fmt: skip
@click.option("--wait-s", type=click.FloatRange(1.0, 170.0), default=90.0, show_default=True,
              help="Seconds after which a state that is not reached ends the size.")  # fmt: skip
@click.option("--memory-mb", type=click.IntRange(100, 12_000), default=5000, show_default=True,
              help="Memory of all processes, beyond which a size is not measured.")  # fmt: skip
@click.option("--duty/--no-duty", default=True, show_default=True,
              help="One lease that all routers compete for, or none.")  # fmt: skip
@click.option("--json", "json_path", type=click.Path(dir_okay=False, path_type=Path), help="Save the record.")
@click.option(
    "--plot",
    "plot_path",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Plot the points with a linear fit, as .svg or .png; needs matplotlib.",
)
@_with_arguments
def scale(arguments: Arguments) -> None:
    """Run many hollow routers on loopback and measure them. NAME: changelog, membership or fleet."""
    arguments.check()
    options = arguments.options()
    signal.signal(signal.SIGTERM, _terminate)
    outcome = Outcome()
    try:
        RUNS[arguments.name](options, Progress(), outcome)
    except (WorkerError, OSError) as error:
        click.echo(f"scale: {error}", err=True)
        raise SystemExit(FAILED_STATUS) from None
    except BaseException:
        outcome.notes.append("interrupted")  # The record keeps the points measured until then.
        raise
    finally:
        _report(arguments, outcome)


def _report(arguments: Arguments, outcome: Outcome) -> None:
    """Print what was measured, and save the record and the plot if requested."""
    if outcome.points:
        click.echo(table(outcome.points))
    for note in outcome.notes:
        click.echo(note)
    if not outcome.points:
        return
    if arguments.json_path is not None:
        command = "python -m grebeproxy.lab " + shlex.join(sys.argv[1:])
        points = tuple(outcome.points)
        note = "; ".join(outcome.notes)
        record_now(f"scale-{arguments.name}", command, arguments.seed, points, note).save(arguments.json_path)
    if arguments.plot_path is not None:
        save_plot(outcome.points, f"scale {arguments.name}", arguments.plot_path)


def _terminate(number: int, frame: FrameType | None) -> None:
    """Raise an exception on SIGTERM, so that the child processes are ended as well."""
    raise SystemExit(TERMINATED_STATUS)
