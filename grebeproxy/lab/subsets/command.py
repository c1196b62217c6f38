"""The command ``python -m grebeproxy.lab subsets``."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import numpy as np

from grebeproxy.lab.record import Point, record_now
from grebeproxy.lab.subsets.cost import ONE_ROUTER, cost
from grebeproxy.lab.subsets.fleet import make_fleet
from grebeproxy.lab.subsets.measures import Values, measure
from grebeproxy.lab.subsets.schemes import SCHEMES, Scheme

ROUTERS, ENGINES = "200,300,600,1200,2400", "80,400,800,1600,3200"
SMALL_FIRST = ("_min", "_min_over_mean")  # of these the worst of all seeds is the least
SHOWN = (
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


class Sizes(click.ParamType[tuple[int, ...]]):
    """Positive whole numbers with commas between them."""

    name = "N,N,..."

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[int, ...]:
        """The numbers of the text."""
        try:
            sizes = tuple(int(word) for word in str(value).split(","))
        except ValueError:
            sizes = ()
        if not sizes or min(sizes) < 1:
            self.fail(f"{value!r} is not a list of positive whole numbers", param, ctx)
        return sizes


class UsageInOneLine(click.Command):
    """A command that tells of arguments that cannot be used in one line."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """Parse, and check what depends on several options."""
        try:
            left = super().parse_args(ctx, args)
            if not ctx.resilient_parsing:
                _check_sizes(**{name: ctx.params[name] for name in ("routers", "engines", "zones")})
        except click.UsageError as error:
            raise click.UsageError(" ".join(error.format_message().split())) from None
        return left


def _check_sizes(routers: tuple[int, ...], engines: tuple[int, ...], zones: int) -> None:
    if len(routers) != len(engines):
        raise click.UsageError("--routers and --engines must list as many sizes")
    if min(engines) < 2 * zones:
        raise click.UsageError("--engines must be at least twice --zones")


@click.command("subsets", cls=UsageInOneLine, context_settings={"help_option_names": ["-h", "--help"]})
@click.option("--routers", type=Sizes(), default=ROUTERS, show_default=True, help="Routers of each size.")
@click.option("--engines", type=Sizes(), default=ENGINES, show_default=True, help="Engines of each size.")
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
def subsets(
    routers: tuple[int, ...],
    engines: tuple[int, ...],
    zones: int,
    seeds: int,
    names: tuple[str, ...],
    path: Path | None,
) -> None:
    """Simulate ways to give each router a subset of the engines."""
    schemes = [scheme for scheme in SCHEMES if not names or scheme.name in names]
    points = [simulate(schemes, *size, zones, seeds) for size in zip(routers, engines, strict=True)]
    for point in points:
        click.echo(table(point, schemes))
    if path is not None:
        command = "python -m grebeproxy.lab " + " ".join(sys.argv[1:])
        record_now(
            "subsets", command, 0, tuple(points), "values are means over seeds; *.worst is the worst"
        ).save(path)


def simulate(schemes: list[Scheme], routers: int, engines: int, zones: int, seeds: int) -> Point:
    """All measurements of some schemes at one size: the mean over seeds, and the worst."""
    values: Values = {}
    for scheme in schemes:
        click.echo(f"{routers} routers, {engines} engines: {scheme.name}", err=True)
        fleets = [make_fleet(routers, engines, zones, np.random.default_rng(seed)) for seed in range(seeds)]
        runs = [measure(scheme, fleet, seed) for seed, fleet in enumerate(fleets)]
        for name in runs[0]:
            seen = [run[name] for run in runs]
            worst = min(seen) if name.endswith(SMALL_FIRST) else max(seen)
            values |= {f"{scheme.name}.{name}": _rounded(float(np.mean(seen)))}
            values |= {f"{scheme.name}.{name}.worst": _rounded(worst)}
        if scheme.name in ONE_ROUTER:
            taken = cost(scheme.name, routers, engines, int(fleets[0].own().max()))
            values |= {f"{scheme.name}.{name}": _rounded(value) for name, value in taken.items()}
    return Point({"routers": routers, "engines": engines, "zones": zones, "seeds": seeds}, values)


def table(point: Point, schemes: list[Scheme]) -> str:
    """The shown measurements as text, a column for each scheme."""
    sizes = ", ".join(f"{name} {value:g}" for name, value in point.sizes.items())
    lines = [sizes, f"{'mean over seeds':36}" + "".join(f"{scheme.name:>12}" for scheme in schemes)]
    for name in SHOWN:
        cells = [point.values.get(f"{scheme.name}.{name}") for scheme in schemes]
        if any(cell is not None for cell in cells):
            lines.append(
                f"{name:36}" + "".join(f"{'-' if cell is None else f'{cell:.4g}':>12}" for cell in cells)
            )
    return "\n".join([*lines, ""])


def _rounded(value: float) -> float:
    return float(f"{value:.5g}")
