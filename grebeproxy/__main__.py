"""The router on sockets, as one program."""

import logging
import os
import sys

from grebeproxy.config import ConfigError, load
from grebeproxy.net.runtime import run


def main() -> int:
    """Read the configuration and serve; what stands in the way is told in one line."""
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"grebeproxy: {error}", file=sys.stderr)
        return 2
    logging.basicConfig(level=logging.INFO, format="%(message)s")
    try:
        run(config, lambda: load(os.environ))
    except OSError as error:  # the address is taken, or not this machine's
        print(f"grebeproxy: listen: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
