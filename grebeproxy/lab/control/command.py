"""``python -m grebeproxy.lab control NAME``: measure a part of the control code on a simulated clock."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import click

from grebeproxy.lab.cli import OneLineErrorCommand, SizeList, invocation
from grebeproxy.lab.control import handover, lease, membership, outage, replica
from grebeproxy.lab.control.errors import FleetError
from grebeproxy.lab.record import Point, record_now

MIN_SIZE = 24  # routers; at this size a rack is one router
MAX_SIZE = 2400  # routers; the largest fleet that the measurements are meant for


@dataclass(frozen=True, slots=True)
class Measurement:
    """One measurement of the control code, with its default fleet sizes.

    ``measure`` takes a fleet size and a seed. ``note`` is added to the record.
    """

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


def _check_sizes(
    ctx: click.Context, param: click.Parameter, sizes: tuple[int, ...] | None
) -> tuple[int, ...] | None:
    """Reject a fleet size that is too small to have a rack, or that is above ``MAX_SIZE``."""
    if sizes is not None and not all(MIN_SIZE <= size <= MAX_SIZE for size in sizes):
        raise click.BadParameter(f"sizes are {MIN_SIZE} to {MAX_SIZE} routers", ctx, param)
    return sizes


@click.command(cls=OneLineErrorCommand)
@click.argument("name", type=click.Choice(sorted(BY_NAME)))
@click.option(
    "--sizes",
    type=SizeList(0),
    callback=_check_sizes,
    help="Routers of each fleet, with commas between them.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "path", type=click.Path(dir_okay=False, path_type=Path), help="Write the record.")
def control(name: str, sizes: tuple[int, ...] | None, seed: int, path: Path | None) -> None:
    """Measure a part of the control code: messages, bytes, processor time, memory and times."""
    measurement = BY_NAME[name]
    chosen = measurement.sizes if sizes is None else sizes
    points: list[Point] = []
    for size in chosen:
        points += _run(measurement, size, seed)
    for point in points:
        click.echo(_format_point(point))
    if path is not None:
        note = "; ".join(filter(None, (CLOCK_NOTE, measurement.note)))
        record_now(f"control-{name}", invocation(), seed, tuple(points), note).save(path)


def _run(measurement: Measurement, size: int, seed: int) -> list[Point]:
    started_at = time.monotonic()
    click.echo(f"{measurement.name}: {size} routers ...", err=True)
    with _no_garbage_collection():
        try:
            points = measurement.measure(size, seed)
        except FleetError as error:
            raise click.ClickException(f"{measurement.name}: {error}") from None
    click.echo(f"{measurement.name}: {size} routers took {time.monotonic() - started_at:.1f} s", err=True)
    return points


@contextmanager
def _no_garbage_collection() -> Iterator[None]:
    """Disable garbage collection.

    A collection traverses the objects of the whole fleet, and its time would count as one router's CPU time.
    """
    enabled = gc.isenabled()
    gc.disable()
    try:
        yield
    finally:
        if enabled:
            gc.enable()


def _format_point(point: Point) -> str:
    sizes = " ".join(f"{name}={value:g}" for name, value in point.sizes.items())
    return "\n".join(f"{sizes} {name}={value:.6g}" for name, value in point.values.items())
