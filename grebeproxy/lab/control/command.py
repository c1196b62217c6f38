"""``python -m grebeproxy.lab control NAME``: measure a part of the control code on a simulated clock."""

from __future__ import annotations

import gc
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import click

from grebeproxy.lab.capacity.measure.command import Sizes
from grebeproxy.lab.control import handover, lease, membership, outage, replica
from grebeproxy.lab.control.fleet import NotReachedError
from grebeproxy.lab.record import Point, record_now

LEAST_SIZE = 24  # a rack is one router then
MOST_SIZE = 2400


@dataclass(frozen=True, slots=True)
class Measurement:
    """One part of the control code, with the sizes that it is measured at by default."""

    name: str
    sizes: tuple[int, ...]
    measure: Callable[[int, int], list[Point]]
    note: str = ""


CLOCK_NOTE = "simulated clock, delays of 1 to 10 ms, no loss; CPU without the calls of sockets"
MEASUREMENTS = (
    Measurement("membership", membership.SIZES, membership.measure),
    Measurement("restart", outage.SIZES, outage.measure_restart, "a rack is a 24th of the fleet"),
    Measurement("zone", outage.SIZES, outage.measure_zone, "cut off for 30 s or until all know of it"),
    Measurement("regions", outage.REGIONS_SIZES, outage.measure_regions, "apart for 30 s"),
    Measurement("lease", lease.SIZES, lease.measure, "lease of 3 s that all routers want"),
    Measurement("replica", replica.SIZES, replica.measure, "one key of 16 bytes for each router"),
    Measurement("handover", handover.SIZES, handover.measure, "lease of 3 s that all routers want"),
)
BY_NAME = {measurement.name: measurement for measurement in MEASUREMENTS}


def _bounded(
    ctx: click.Context, param: click.Parameter, sizes: tuple[int, ...] | None
) -> tuple[int, ...] | None:
    """Refuse sizes that are too small for a rack, or above the target."""
    if sizes is not None and not all(LEAST_SIZE <= size <= MOST_SIZE for size in sizes):
        raise click.BadParameter(f"sizes are {LEAST_SIZE} to {MOST_SIZE} routers", ctx, param)
    return sizes


class OneLineErrors(click.Command):
    """A command that tells of wrong arguments in one line, without its usage."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """Read the arguments; an error keeps its message, on one line, and no context to show usage from."""
        try:
            return super().parse_args(ctx, args)
        except click.UsageError as error:
            raise click.UsageError(" ".join(error.format_message().split())) from None


@click.command(cls=OneLineErrors)
@click.argument("name", type=click.Choice(sorted(BY_NAME)))
@click.option(
    "--sizes", type=Sizes(), callback=_bounded, help="Routers of each fleet, with commas between them."
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "path", type=click.Path(dir_okay=False, path_type=Path), help="Write the record.")
def control(name: str, sizes: tuple[int, ...] | None, seed: int, path: Path | None) -> None:
    """Measure a part of the control code: messages, bytes, processor time, memory and times."""
    measurement = BY_NAME[name]
    chosen = measurement.sizes if sizes is None else sizes
    points: list[Point] = []
    for size in chosen:
        points += _measured(measurement, size, seed)
    for point in points:
        click.echo(_lines(point))
    if path is not None:
        command = f"python -m grebeproxy.lab {' '.join(sys.argv[1:])}"
        note = "; ".join(filter(None, (CLOCK_NOTE, measurement.note)))
        record_now(f"control-{name}", command, seed, tuple(points), note).save(path)


def _measured(measurement: Measurement, size: int, seed: int) -> list[Point]:
    began = time.monotonic()
    click.echo(f"{measurement.name}: {size} routers ...", err=True)
    with _no_garbage_collection():
        try:
            points = measurement.measure(size, seed)
        except NotReachedError as error:
            raise click.ClickException(f"{measurement.name}: {error}") from None
    click.echo(f"{measurement.name}: {size} routers took {time.monotonic() - began:.1f} s", err=True)
    return points


@contextmanager
def _no_garbage_collection() -> Iterator[None]:
    """A pass over the whole fleet's objects would count as one router's processor time."""
    enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if enabled:
            gc.enable()


def _lines(point: Point) -> str:
    sizes = " ".join(f"{name}={value:g}" for name, value in point.sizes.items())
    return "\n".join(f"{sizes} {name}={value:.6g}" for name, value in point.values.items())
