"""The program that runs the router on sockets."""

from grebeproxy import signals

if __name__ == "__main__":
    signals.block()  # before the other imports, which take most of the start-up time

import logging
import os
import sys
from collections.abc import Callable

from grebeproxy.config import ConfigError, load
from grebeproxy.net.process import BackgroundService, run

EXIT_LISTEN_FAILED = 1
EXIT_BAD_CONFIGURATION = 2


def peers_service(name: str, peers_file: str | None) -> Callable[[], BackgroundService] | None:
    """A factory of the service that shares state with other routers; ``None`` without an operator file.

    The service is imported only if it is used, because the import takes time and memory that most routers do
    not have to spend. Raises ``ConfigError`` for an invalid file.
    """
    if peers_file is None:
        return None
    from grebeproxy.peers import OperatorFileError, Peers, load

    try:
        peers_config = load(peers_file, name)
    except OperatorFileError as error:
        raise ConfigError(f"BALANCER_PEERS: {error}") from None
    return lambda: Peers(peers_config)


def main() -> int:
    """Load the configuration and serve; a failed start is reported in one line."""
    try:
        config = load(os.environ)
        background = peers_service(config.name, config.peers_file)
    except ConfigError as error:
        print(f"grebeproxy: {error}", file=sys.stderr)
        return EXIT_BAD_CONFIGURATION
    logging.basicConfig(level=logging.INFO, format="%(message)s")
    try:
        run(config, lambda: load(os.environ), background)
    except OSError as error:  # The address is in use or does not belong to this machine.
        print(f"grebeproxy: listen: {error}", file=sys.stderr)
        return EXIT_LISTEN_FAILED
    return 0


if __name__ == "__main__":
    sys.exit(main())
