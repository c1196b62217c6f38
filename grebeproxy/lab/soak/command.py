"""The command ``soak`` of the lab."""

from __future__ import annotations

import multiprocessing
import re
import time
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from dataclasses import asdict
from pathlib import Path

import click
import orjson

from grebeproxy.lab.cli import OneLineErrorCommand, invocation
from grebeproxy.lab.scale.run import Progress
from grebeproxy.lab.soak.plan import make_plan
from grebeproxy.lab.soak.play import Result, play

SECONDS_PER_MINUTE = 60.0
FAILED_EXIT_STATUS = 1
SEEDS_PATTERN = re.compile(r"(\d{1,9})(?:-(\d{1,9}))?")
REPLAY_COMMAND = "python -m grebeproxy.lab soak --seeds"


class SeedRange(click.ParamType[tuple[int, ...]]):
    """A command line value that is one seed or a range of seeds such as 1-50."""

    name = "N[-M]"

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[int, ...]:
        """Parse the text; a default that is already a tuple is returned unchanged."""
        if isinstance(value, tuple):
            return value
        parsed = SEEDS_PATTERN.fullmatch(str(value))
        if parsed is None:
            self.fail(f"{value!r} is neither a seed nor a range such as 1-50", param, ctx)
        first, last = parsed[1], parsed[2]
        seeds = tuple(range(int(first), int(last or first) + 1))
        if not seeds:
            self.fail(f"{value!r} is an empty range", param, ctx)
        return seeds


@click.command(cls=OneLineErrorCommand)
@click.option("--seeds", type=SeedRange(), default=(1,), help="One seed, or a range such as 1-50.")
@click.option("--plan", "show_plan", is_flag=True, help="Print the schedules, and play nothing.")
@click.option("--minutes", type=click.FloatRange(0.1, 600.0), help="Begin no further seed after that.")
@click.option("--jobs", type=click.IntRange(1, 16), default=1, show_default=True, help="Seeds at a time.")
@click.option(
    "--json",
    "json_path",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Save what came of each seed.",
)
def soak(
    seeds: tuple[int, ...], show_plan: bool, minutes: float | None, jobs: int, json_path: Path | None
) -> None:
    """Play seeded faults against real routers, and check what happens by the platform's rules."""
    if show_plan:
        click.echo("\n\n".join(make_plan(seed).text() for seed in seeds))
        return
    results = sorted(_play_all(seeds, jobs, minutes), key=lambda result: result.seed)
    for result in results:
        click.echo(_summary_line(result))
    failed = [result for result in results if result.failed]
    click.echo(f"{len(results)} of {len(seeds)} seeds played, {len(failed)} failed")
    if json_path is not None:
        document = {"command": invocation(), "results": [asdict(result) for result in results]}
        json_path.write_bytes(orjson.dumps(document, option=orjson.OPT_INDENT_2))
    if failed:
        raise SystemExit(FAILED_EXIT_STATUS)


def _play_all(seeds: tuple[int, ...], jobs: int, minutes: float | None) -> Iterator[Result]:
    """Play the seeds in ``jobs`` processes at a time; begin no further seed after ``minutes``."""
    progress = Progress()
    until = time.monotonic() + SECONDS_PER_MINUTE * minutes if minutes is not None else float("inf")
    waiting = list(reversed(seeds))
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(jobs, mp_context=context) as pool:
        playing = {pool.submit(play, make_plan(waiting.pop())) for _ in range(min(jobs, len(waiting)))}
        while playing:
            done = next(as_completed(playing))
            playing.remove(done)
            result: Result = done.result()
            progress.line(_summary_line(result))
            for violation in result.violations:
                mark = "disturbed: " if violation.disturbed else ""
                progress.line(f"  {mark}{violation.check}: {violation.text}")
            if waiting and time.monotonic() < until:
                playing.add(pool.submit(play, make_plan(waiting.pop())))
            yield result


def _summary_line(result: Result) -> str:
    """A line for one seed, with the checks that failed and the command that plays the seed again."""
    checks = ", ".join(sorted({violation.check for violation in result.failed})) or "passed"
    disturbed = len(result.violations) - len(result.failed)
    return (
        f"seed {result.seed:4}  {result.kind:7} {result.served:5} of {result.requests:5} served,"
        f" harness late {result.late_s:5.2f} s, disturbed {disturbed}: {checks}"
        f"  ({REPLAY_COMMAND} {result.seed})"
    )
