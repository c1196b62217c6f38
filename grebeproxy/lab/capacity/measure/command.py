"""``python -m grebeproxy.lab measure NAME``: take one measurement and write its record."""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from pathlib import Path

import click

from grebeproxy.lab.capacity.measure import cold, connections, engine_list, start, statement, whole
from grebeproxy.lab.record import Point, record_now

SIZES_HELP = "Sizes to measure at, with commas."
Measure = Callable[[tuple[int, ...], int], Sequence[Point]]


class Sizes(click.ParamType[tuple[int, ...]]):
    """Whole numbers above or at zero, with commas between them."""

    name = "sizes"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[int, ...]:
        """Read them; ends the command where they cannot be read."""
        if isinstance(value, tuple):
            return value
        try:
            sizes = tuple(int(word) for word in str(value).split(","))
        except ValueError:
            self.fail(f"{value!r} is not a list of whole numbers", param, ctx)
        if min(sizes) < 0:
            self.fail("sizes are not below zero", param, ctx)
        return sizes


@click.group()
def measure() -> None:
    """Take one measurement and write it as a record."""


def add(name: str, summary: str, sizes: tuple[int, ...], take: Measure) -> None:
    """Add a measurement to the ``measure`` command."""

    @measure.command(name, help=summary)
    @click.option("--sizes", type=Sizes(), default=sizes, help=SIZES_HELP)
    @click.option("--seed", type=int, default=1, show_default=True)
    @click.option("--json", "path", type=click.Path(dir_okay=False, path_type=Path), help="Write the record.")
    @click.option("--note", default="", help="What to tell of the circumstances.")
    def command(sizes: tuple[int, ...], seed: int, path: Path | None, note: str) -> None:
        points = tuple(take(sizes, seed))
        record = record_now(name, f"python -m grebeproxy.lab {' '.join(sys.argv[1:])}", seed, points, note)
        for point in points:
            click.echo(_line(point))
        if path is not None:
            record.save(path)


def _line(point: Point) -> str:
    sizes = " ".join(f"{name}={value:g}" for name, value in point.sizes.items())
    values = " ".join(f"{name}={value:.6g}" for name, value in point.values.items())
    return f"{sizes}: {values}"


add(
    "statement",
    "CPU of one statement by part, against engines, at 200 and 2,400 routers.",
    statement.ENGINES,
    lambda sizes, seed: statement.measure(sizes, seed=seed),
)
add(
    "routers",
    "CPU of deciding one statement, against routers, before 400 engines.",
    statement.ROUTERS_OF_ONE_LIST,
    lambda sizes, seed: statement.against_routers(sizes, seed),
)
add(
    "rates",
    "CPU of a whole statement in a real process against statements a second, with few engines.",
    whole.RATES,
    lambda sizes, seed: whole.against_rate(sizes, seed),
)
add(
    "whole",
    "CPU of a whole statement in a real process against the fleet's engines, few a second.",
    whole.ENGINES,
    lambda sizes, seed: whole.against_engines(sizes, seed),
)
add(
    "busy",
    "CPU of a whole statement in a real process against the fleet's engines, at 2,083 statements a second.",
    whole.ENGINES,
    lambda sizes, seed: whole.against_engines(sizes, seed, whole.RATES[-1]),
)
add(
    "connections",
    "Memory of idle and busy client connections of a real process.",
    connections.CONNECTIONS,
    lambda sizes, seed: connections.measure(sizes, seed),
)
add(
    "enginelist",
    "Bytes, CPU and memory of the engine list, whole and as a change of one engine.",
    engine_list.ENGINES,
    lambda sizes, seed: engine_list.measure(sizes, seed),
)
add(
    "start",
    "Seconds from a router's start until it serves, with a list of engines in its configuration.",
    start.ENGINES,
    lambda sizes, seed: start.measure(sizes, seed),
)
add(
    "cold",
    "What cold engines get from all routers together, over their budget, on a simulated clock.",
    cold.ROUTERS,
    lambda sizes, seed: cold.measure(sizes, seed),
)
