"""The router on sockets, as one program."""

import os
import sys

from grebeproxy.config import ConfigError, load
from grebeproxy.net.runtime import run


def main() -> int:
    """Read the configuration and serve."""
    try:
        config = load(os.environ)
    except ConfigError as error:
        print(f"grebeproxy: {error}", file=sys.stderr)
        return 2
    run(config)
    return 0


if __name__ == "__main__":
    sys.exit(main())
