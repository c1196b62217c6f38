"""The command ``python -m grebeproxy.lab subsets``, which simulates the schemes and writes a record."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from pathlib import Path

import click
import numpy as np

from grebeproxy.lab.cli import OneLineErrorCommand, SizeList, invocation
from grebeproxy.lab.record import Point, record_now
from grebeproxy.lab.subsets.cost import cost
from grebeproxy.lab.subsets.fleet import Fleet, make_fleet
from grebeproxy.lab.subsets.measures import measure
from grebeproxy.lab.subsets.router_subsets import BUILDERS
from grebeproxy.lab.subsets.schemes import SCHEMES, Scheme
from grebeproxy.lab.subsets.traffic import Values

ROUTERS = "200,300,600,1200,2400"
ENGINES = "80,400,800,1600,3200"
MIN_ENGINES_PER_ZONE = 2
NOTE = "values are means over seeds; *.worst is the worst"
WORST_IS_MIN = ("_min", "_min_over_mean")  # suffixes of measures whose worst value is the smallest one
TABLE_ROWS = (
    "blind.sharers_max_over_mean",
    "blind.sharers_min_over_mean",
    "blind.load_equal_even",
    "blind.load_equal_weighted",
    "blind.load_equal_shift_few",
    "blind.load_heavy_weighted",
    "blind.load_heavy_shift_few",
    "blind.load_lognormal_weighted",
    "blind.load_lognormal_shift_few",
    "zone.load_equal_even",
    "zone.load_equal_weighted",
    "zone.load_equal_weighted_by_all",
    "zone.load_equal_shift_few",
    "both.sharers_mean",
    "both.sharers_max",
    "both.router_connections_mean",
    "both.router_connections_max",
    "connections.lognormal_engine_mean",
    "connections.lognormal_engine_max",
    "connections.lognormal_router_max",
    "moved.engine_over_least",
    "moved.rack_over_least",
    "moved.zone_over_least",
    "moved.restart",
    "moved.one_router",
    "moved.tenth",
    "moved.counts_differ",
    "left.rack_min",
    "left.zone_min",
    "left.zone_widest",
    "zone_lost.listed_even",
    "zone_lost.listed_shift_few",
    "zone_lost.gone_even",
    "zone_lost.gone_shift_few",
    "cold.base_worst",
    "cold.base_mean",
    "cold.own_lognormal_worst",
    "cold.own_heavy_worst",
    "cold.counts_one_worst",
    "cold.counts_tenth_worst",
    "cold.lists_engine_worst",
    "cold.lists_rack_worst",
    "cold.lists_zone_worst",
    "cold.zone_worst",
    "cold.zone_mean",
    "cpu_us.scratch",
    "cpu_us.one_change",
    "cpu_us.sharers",
)


@dataclass(frozen=True, slots=True)
class Options:
    """The options of the command; ``names`` holds the names of the chosen schemes and is empty for all."""

    routers: tuple[int, ...]
    engines: tuple[int, ...]
    zones: int
    seeds: int
    names: tuple[str, ...]
    path: Path | None


@dataclass(frozen=True, slots=True)
class FleetSize:
    """The size of the simulated fleets; ``seeds`` is the number of fleets of this size."""

    routers: int
    engines: int
    zones: int
    seeds: int


class SubsetsCommand(OneLineErrorCommand):
    """A command that also checks that its options are consistent with each other."""

    def check_arguments(self, ctx: click.Context) -> None:
        """Raises ``click.UsageError`` for lists of unequal lengths and for too few engines for the zones."""
        options = Options(**ctx.params)
        if len(options.routers) != len(options.engines):
            raise click.UsageError("--routers and --engines must list as many sizes")
        if min(options.engines) < MIN_ENGINES_PER_ZONE * options.zones:
            raise click.UsageError("--engines must be at least twice --zones")


@click.command("subsets", cls=SubsetsCommand, context_settings={"help_option_names": ["-h", "--help"]})
@click.option("--routers", type=SizeList(1), default=ROUTERS, show_default=True, help="Routers of each size.")
@click.option("--engines", type=SizeList(1), default=ENGINES, show_default=True, help="Engines of each size.")
@click.option("--zones", type=click.IntRange(1, 100), default=6, show_default=True)
@click.option(
    "--seeds", type=click.IntRange(1, 1000), default=20, show_default=True, help="Fleets of each size."
)
@click.option(
    "--scheme",
    "names",
    type=click.Choice([scheme.name for scheme in SCHEMES]),
    multiple=True,
    help="Only these schemes; all by default.",
)
@click.option(
    "--json", "path", type=click.Path(dir_okay=False, path_type=Path), help="Where to write the record."
)
@click.pass_context
def subsets(ctx: click.Context, /, **_: object) -> None:
    """Simulate ways to give each router a subset of the engines."""
    options = Options(**ctx.params)
    schemes = [scheme for scheme in SCHEMES if not options.names or scheme.name in options.names]
    sizes = [
        FleetSize(routers, engines, options.zones, options.seeds)
        for routers, engines in zip(options.routers, options.engines, strict=True)
    ]
    points = [simulate(schemes, size) for size in sizes]
    for point in points:
        click.echo(table(point, schemes))
    if options.path is not None:
        record_now("subsets", invocation(), 0, tuple(points), NOTE).save(options.path)


def simulate(schemes: list[Scheme], size: FleetSize) -> Point:
    """Measures the schemes at one fleet size: the mean and the worst value over the seeds of each measure."""
    values: Values = {}
    for scheme in schemes:
        click.echo(f"{size.routers} routers, {size.engines} engines: {scheme.name}", err=True)
        fleets = [
            make_fleet(size.routers, size.engines, size.zones, np.random.default_rng(seed))
            for seed in range(size.seeds)
        ]
        values |= _means_and_worst(scheme, fleets)
        if scheme.name in BUILDERS:
            costs = cost(scheme.name, size.routers, size.engines, fleets[0].base_subset_size())
            values |= {f"{scheme.name}.{name}": _rounded(value) for name, value in costs.items()}
    return Point(asdict(size), values)


def _means_and_worst(scheme: Scheme, fleets: list[Fleet]) -> Values:
    runs = [measure(scheme, fleet, seed) for seed, fleet in enumerate(fleets)]
    values: Values = {}
    for name in runs[0]:
        of_seeds = [run[name] for run in runs]
        worst = min(of_seeds) if name.endswith(WORST_IS_MIN) else max(of_seeds)
        values[f"{scheme.name}.{name}"] = _rounded(float(np.mean(of_seeds)))
        values[f"{scheme.name}.{name}.worst"] = _rounded(worst)
    return values


def table(point: Point, schemes: list[Scheme]) -> str:
    """Formats the main measures as a text table with a column for each scheme."""
    sizes = ", ".join(f"{name} {value:g}" for name, value in point.sizes.items())
    lines = [sizes, f"{'mean over seeds':36}" + "".join(f"{scheme.name:>12}" for scheme in schemes)]
    for name in TABLE_ROWS:
        values = [point.values.get(f"{scheme.name}.{name}") for scheme in schemes]
        if any(value is not None for value in values):
            cells = ["-" if value is None else f"{value:.4g}" for value in values]
            lines.append(f"{name:36}" + "".join(f"{cell:>12}" for cell in cells))
    return "\n".join([*lines, ""])


def _rounded(value: float) -> float:
    return float(f"{value:.5g}")
