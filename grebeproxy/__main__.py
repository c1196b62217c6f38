"""The router on sockets, as one program."""

import logging
import os
import sys
from collections.abc import Callable

from grebeproxy.config import ConfigError, load
from grebeproxy.net.process import BackgroundService, run


def peers(name: str, path: str | None) -> Callable[[], BackgroundService] | None:
    """What this router shares with others, where an operator file says so; else nothing of it is imported."""
    if not path:
        return None
    from grebeproxy.peers import OperatorFileError, Peers, load

    try:
        config = load(path, name)
    except OperatorFileError as error:
        raise ConfigError(f"BALANCER_PEERS: {error}") from None
    return lambda: Peers(config)


def main() -> int:
    """Read the configuration and serve; what stands in the way is reported in one line."""
    try:
        config = load(os.environ)
        background = peers(config.name, os.environ.get("BALANCER_PEERS"))
    except ConfigError as error:
        print(f"grebeproxy: {error}", file=sys.stderr)
        return 2
    logging.basicConfig(level=logging.INFO, format="%(message)s")
    try:
        run(config, lambda: load(os.environ), background)
    except OSError as error:  # the address is taken, or not this machine's
        print(f"grebeproxy: listen: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
