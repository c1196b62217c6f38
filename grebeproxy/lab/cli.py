"""Shared parts of the lab's commands: lists of sizes, one-line usage errors, the recorded command line."""

from __future__ import annotations

import sys

import click


class SizeList(click.ParamType[tuple[int, ...]]):
    """A command line value of whole numbers, each at least ``minimum``, separated by commas."""

    name = "N,N,..."

    def __init__(self, minimum: int) -> None:
        self._minimum = minimum

    def convert(
        self, value: object, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[int, ...]:
        """Parse the text; a default that is already a tuple is returned unchanged."""
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
        """Parse and check the arguments; an error is raised again without the context that shows usage."""
        try:
            remaining = super().parse_args(ctx, args)
            if not ctx.resilient_parsing:
                self.check_arguments(ctx)
        except click.UsageError as error:
            raise click.UsageError(" ".join(error.format_message().split())) from None
        return remaining

    def check_arguments(self, ctx: click.Context) -> None:
        """Check conditions between options; the default accepts all. Raises ``click.UsageError``."""


def invocation() -> str:
    """The command line of this run, as records state it."""
    return f"python -m grebeproxy.lab {' '.join(sys.argv[1:])}"
