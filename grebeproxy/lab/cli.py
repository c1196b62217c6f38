"""What the lab's commands share: lists of sizes, usage errors on one line, and the recorded command line."""

from __future__ import annotations

import sys

import click


class SizeList(click.ParamType[tuple[int, ...]]):
    """Whole numbers at or above ``minimum``, separated by commas."""

    name = "N,N,..."

    def __init__(self, minimum: int) -> None:
        self._minimum = minimum

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[int, ...]:
        """Parse the text; a default that is a tuple already is returned as it is."""
        if isinstance(value, tuple):
            return value
        try:
            sizes = tuple(int(word) for word in str(value).split(","))
        except ValueError:
            sizes = ()
        if not sizes or min(sizes) < self._minimum:
            message = f"{value!r} is not a list of whole numbers of at least {self._minimum}"
            self.fail(message, param, ctx)
        return sizes


class OneLineErrorCommand(click.Command):
    """A command whose usage errors are printed on one line, without the usage text."""

    def parse_args(self, ctx: click.Context, args: list[str]) -> list[str]:
        """Parse and check the arguments; an error keeps its message but not the context that shows usage."""
        try:
            remaining = super().parse_args(ctx, args)
            if not ctx.resilient_parsing:
                self.check_arguments(ctx)
        except click.UsageError as error:
            raise click.UsageError(" ".join(error.format_message().split())) from None
        return remaining

    def check_arguments(self, ctx: click.Context) -> None:
        """Check what depends on several options. Raises ``click.UsageError``; by default accepts all."""


def invocation() -> str:
    """The command line of this run, as records state it."""
    return f"python -m grebeproxy.lab {' '.join(sys.argv[1:])}"
