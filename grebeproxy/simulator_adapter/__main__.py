"""The simulator adapter as a program."""

import sys

from grebeproxy.simulator_adapter import SimulatorAdapter, SimulatorWireError

EXIT_BAD_INPUT = 2


def main() -> int:
    """Serve on standard input and output until the input ends; report malformed input in one line."""
    try:
        SimulatorAdapter().run(sys.stdin, sys.stdout)
    except SimulatorWireError as error:
        print(f"simulator_adapter: {error}", file=sys.stderr)
        return EXIT_BAD_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
