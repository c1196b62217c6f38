"""The command ``python -m grebeproxy.lab capacity``, which writes the capacity page or checks it."""

from __future__ import annotations

from pathlib import Path

import click

from grebeproxy.lab.capacity.errors import PageError
from grebeproxy.lab.capacity.page import Page

DOCS = Path(__file__).resolve().parents[3] / "docs"


@click.command()
@click.option(
    "--check", is_flag=True, help="Write nothing; exit with 1 unless each figure follows from the records."
)
@click.option(
    "--docs",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    default=DOCS,
    help="The documentation folder.",
)
def capacity(check: bool, docs: Path) -> None:
    """Render docs/CAPACITY.md from docs/capacity, or check that the page is up to date."""
    page = Page(docs)
    problems = page.problems()
    try:
        if check:
            problems += page.differences()
        else:
            page.write()
    except PageError as error:
        problems.append(str(error))
    for problem in problems:
        click.echo(problem)
    if problems:
        raise SystemExit(1)
