"""Command line of the lab: ``python -m grebeproxy.lab``."""

from __future__ import annotations

import click

from grebeproxy.lab.capacity.command import capacity
from grebeproxy.lab.capacity.measure.command import measure
from grebeproxy.lab.control.command import control
from grebeproxy.lab.scale.command import scale
from grebeproxy.lab.soak.command import soak
from grebeproxy.lab.subsets.command import subsets


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Measure the project at fleet size, and check the capacity page against the measurements."""


main.add_command(capacity)
main.add_command(measure)
main.add_command(control)
main.add_command(subsets)
main.add_command(scale)
main.add_command(soak)


if __name__ == "__main__":
    main()
