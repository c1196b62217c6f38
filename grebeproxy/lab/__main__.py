"""Command line of the lab: ``python -m grebeproxy.lab``."""

from __future__ import annotations

import click

from grebeproxy.lab.scale.command import scale


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Measure the project at fleet size, and check the capacity page against the measurements."""


main.add_command(scale)

if __name__ == "__main__":
    main()
