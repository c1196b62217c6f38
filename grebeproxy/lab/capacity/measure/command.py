"""``python -m grebeproxy.lab measure NAME``: take one measurement and write its record."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

import click

from grebeproxy.lab.capacity.measure import connections, end_to_end, engine_list, slow_start, start, statement
from grebeproxy.lab.cli import SizeList, invocation
from grebeproxy.lab.record import Point, record_now


@dataclass(frozen=True, slots=True)
class Measurement:
    """One subcommand; ``run`` takes the sizes and a seed, and returns one point for each size."""

    name: str
    summary: str
    sizes: tuple[int, ...]
    run: Callable[[tuple[int, ...], int], Sequence[Point]]


MEASUREMENTS = (
    Measurement(
        "statement",
        "CPU of one statement by part, by number of engines, at 200 and 2,400 routers.",
        statement.ENGINES,
        lambda sizes, seed: statement.measure(sizes, seed=seed),
    ),
    Measurement(
        "routers",
        "CPU of deciding one statement, by number of routers, with 400 engines.",
        statement.ROUTERS_OF_ONE_LIST,
        statement.against_routers,
    ),
    Measurement(
        "rates",
        "CPU of a complete statement in a real process, by statements per second, with few engines.",
        end_to_end.RATES,
        end_to_end.against_rate,
    ),
    Measurement(
        "whole",
        "CPU of a complete statement in a real process, by number of engines, at 20 statements per second.",
        end_to_end.ENGINES,
        end_to_end.against_engines,
    ),
    Measurement(
        "busy",
        "CPU of a complete statement in a real process, by number of engines, "
        "at 2,083 statements per second.",
        end_to_end.ENGINES,
        lambda sizes, seed: end_to_end.against_engines(sizes, seed, end_to_end.RATES[-1]),
    ),
    Measurement(
        "connections",
        "Memory of idle and busy client connections of a real process.",
        connections.CONNECTIONS,
        connections.measure,
    ),
    Measurement(
        "enginelist",
        "Bytes, CPU and memory of the engine list, as a full list and as a change of one engine.",
        engine_list.ENGINES,
        engine_list.measure,
    ),
    Measurement(
        "start",
        "Seconds from a router's start until it serves, with a list of engines in its configuration.",
        start.ENGINES,
        start.measure,
    ),
    Measurement(
        "cold",
        "Work that all routers together send to engines in slow start, relative to their budget (simulated).",
        slow_start.ROUTERS,
        slow_start.measure,
    ),
)


@click.group()
def measure() -> None:
    """Take one measurement and write it as a record."""


def _command(measurement: Measurement) -> click.Command:
    """Build the subcommand of a measurement."""

    @click.command(measurement.name, help=measurement.summary)
    @click.option("--sizes", type=SizeList(0), default=measurement.sizes, help="Sizes to measure at.")
    @click.option("--seed", type=int, default=1, show_default=True)
    @click.option("--json", "path", type=click.Path(dir_okay=False, path_type=Path), help="Write the record.")
    @click.option("--note", default="", help="A note on the circumstances, for the record.")
    def command(sizes: tuple[int, ...], seed: int, path: Path | None, note: str) -> None:
        points = tuple(measurement.run(sizes, seed))
        record = record_now(measurement.name, invocation(), seed, points, note)
        for point in points:
            click.echo(_line(point))
        if path is not None:
            record.save(path)

    return command


for _measurement in MEASUREMENTS:
    measure.add_command(_command(_measurement))


def _line(point: Point) -> str:
    sizes = " ".join(f"{name}={value:g}" for name, value in point.sizes.items())
    values = " ".join(f"{name}={value:.6g}" for name, value in point.values.items())
    return f"{sizes}: {values}"
