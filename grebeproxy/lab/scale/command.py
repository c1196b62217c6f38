"""The command ``scale`` of the lab."""

from __future__ import annotations

import shlex
import signal
import sys
from collections.abc import Callable
from importlib.util import find_spec
from pathlib import Path
from types import FrameType

import click

from grebeproxy.lab.record import record_now
from grebeproxy.lab.scale.changelog_run import run_changelog
from grebeproxy.lab.scale.fleet_run import run_fleet
from grebeproxy.lab.scale.membership_run import run_membership
from grebeproxy.lab.scale.plot import save_plot
from grebeproxy.lab.scale.processes import WorkerError
from grebeproxy.lab.scale.run import Options, Outcome, Progress
from grebeproxy.lab.scale.table import table

MOST_ROUTERS, MOST_ENGINES = 10_000, 20_000
USAGE_STATUS, FAILED_STATUS, TERMINATED_STATUS = 2, 1, 143

PLOT_SUFFIXES = (".svg", ".png")

Run = Callable[[Options, Progress, Outcome], None]
RUNS: dict[str, Run] = {"changelog": run_changelog, "membership": run_membership, "fleet": run_fleet}
DEFAULT_SIZES = {"changelog": "50,200,800,2400", "membership": "50,100,200,400", "fleet": "50,100,200,400"}
DEFAULT_ENGINES = {"changelog": "80,400,1600,3200", "membership": "1", "fleet": "3200"}


class Usage(click.ClickException):
    """Arguments that cannot be used: one line, status 2."""

    exit_code = USAGE_STATUS

    def show(self, file: object = None) -> None:
        """Write the line."""
        click.echo(f"scale: {self.message}", err=True)


class OneLineCommand(click.Command):
    """A command whose usage errors are one line."""

    def parse_args(self, context: click.Context, arguments: list[str]) -> list[str]:
        """Parse; a usage error loses the lines around it."""
        try:
            return super().parse_args(context, arguments)
        except click.UsageError as error:
            raise Usage(error.format_message().replace("\n", " ")) from None


def numbers(name: str, text: str, most: int) -> tuple[int, ...]:
    """A list of positive whole numbers. Raises ``Usage``."""
    parsed = []
    for item in text.split(","):
        if not item.strip().isdecimal() or not 1 <= int(item) <= most:
            raise Usage(f"{name}: {item!r} is not a whole number from 1 to {most}")
        parsed.append(int(item))
    if len(set(parsed)) != len(parsed):
        raise Usage(f"{name}: a number is given twice")
    return tuple(parsed)


@click.command(cls=OneLineCommand)
@click.argument("name")
@click.option("--sizes", help="Hollow routers of each point, as 50,200,800,2400.")
@click.option("--engines", help="Engines, as 80,400,1600,3200; the last size has the most of them.")
@click.option("--seed", type=click.IntRange(0, 2**31), default=1, show_default=True)
@click.option("--quiet-s", type=click.FloatRange(0.2, 60.0), default=10.0, show_default=True,
              help="Seconds of each quiet measurement.")  # fmt: skip
@click.option("--wait-s", type=click.FloatRange(1.0, 170.0), default=90.0, show_default=True,
              help="Seconds after which something awaited ends the size.")  # fmt: skip
@click.option("--memory-mb", type=click.IntRange(100, 12_000), default=5000, show_default=True,
              help="Memory of all processes, beyond which a size is not played.")  # fmt: skip
@click.option("--duty/--no-duty", default=True, show_default=True, help="A lease that all want, or none.")
@click.option("--json", "json_path", type=click.Path(dir_okay=False, path_type=Path), help="Save the record.")
@click.option(
    "--plot",
    "plot_path",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Draw points and fit, as .svg or .png; needs matplotlib.",
)
def scale(
    name: str,
    sizes: str | None,
    engines: str | None,
    seed: int,
    quiet_s: float,
    wait_s: float,
    memory_mb: int,
    duty: bool,
    json_path: Path | None,
    plot_path: Path | None,
) -> None:
    """Run many hollow routers on loopback and measure them. NAME: changelog, membership or fleet."""
    if name not in RUNS:
        raise Usage(f"{name!r} is not one of {', '.join(RUNS)}")
    for option, path in (("--json", json_path), ("--plot", plot_path)):
        if path is not None and not path.parent.is_dir():
            raise Usage(f"{option}: {path.parent} is not a folder")
    if plot_path is not None and plot_path.suffix not in PLOT_SUFFIXES:
        raise Usage(f"--plot: {plot_path.name} ends in none of {', '.join(PLOT_SUFFIXES)}")
    if plot_path is not None and find_spec("matplotlib") is None:
        raise Usage("--plot: matplotlib is not installed")
    options = Options(
        sizes=numbers("--sizes", sizes or DEFAULT_SIZES[name], MOST_ROUTERS),
        engines=numbers("--engines", engines or DEFAULT_ENGINES[name], MOST_ENGINES),
        seed=seed,
        quiet_s=quiet_s,
        wait_s=wait_s,
        memory_mb=memory_mb,
        duty=duty,
    )
    signal.signal(signal.SIGTERM, _terminate)
    outcome = Outcome()
    try:
        RUNS[name](options, Progress(), outcome)
    except (WorkerError, OSError) as error:
        click.echo(f"scale: {error}", err=True)
        raise SystemExit(FAILED_STATUS) from None
    except BaseException:
        outcome.notes.append("interrupted")  # what was measured until then is kept
        raise
    finally:
        _report(name, seed, outcome, json_path)
        if plot_path is not None and outcome.points:
            save_plot(outcome.points, f"scale {name}", plot_path)


def _report(name: str, seed: int, outcome: Outcome, json_path: Path | None) -> None:
    """Print what was measured, and save it."""
    if outcome.points:
        click.echo(table(outcome.points))
    for note in outcome.notes:
        click.echo(note)
    if json_path is not None and outcome.points:
        command = "python -m grebeproxy.lab " + shlex.join(sys.argv[1:])
        points = tuple(outcome.points)
        record_now(f"scale-{name}", command, seed, points, "; ".join(outcome.notes)).save(json_path)


def _terminate(number: int, frame: FrameType | None) -> None:
    """SIGTERM ends the run as an exception does, so that its processes are ended."""
    raise SystemExit(TERMINATED_STATUS)
