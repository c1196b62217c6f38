"""Reads the router's configuration, checks it and fills in defaults.

A configuration consists of a JSON file and the ``BALANCER_*`` environment variables, which take precedence.
``TMPDIR`` names the folder that the processes of one router share.
"""

from __future__ import annotations

import contextlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import TYPE_CHECKING, cast

import orjson

from grebeproxy.errors import GrebeproxyError
from grebeproxy.missing_keys import first_missing_key
from grebeproxy.net.changelog import host_and_port, known_events
from grebeproxy.net.events import Address
from grebeproxy.policy.interface import Settings
from grebeproxy.settings import WireLimits, settings_from, wire_limits_from
from grebeproxy.units import seconds

if TYPE_CHECKING:  # imports for types only would slow down each start
    from grebeproxy.net.known_fields import KnownEvents

DEFAULT_SOCKETS = 1024  # descriptors
DEFAULT_MEMORY_MB = 192.0
MAX_DESCRIPTOR = 2**20
# Environment variables that override a key of the file.
VARIABLE_OF_KEY = {"name": "BALANCER_NAME", "listen": "BALANCER_LISTEN", "admin": "BALANCER_ADMIN"}

Document = Mapping[str, object]  # the unchecked contents of the file


class ConfigError(GrebeproxyError):
    """The configuration is invalid; the text begins with the faulty key or variable."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one router."""

    name: str
    listen: Address
    changelog: Address
    seed: int
    sockets: int  # descriptors that connections may use
    memory_mb: float
    known: KnownEvents  # the change log's events up to the start of the router
    settings: Settings
    limits: WireLimits
    admin: Address | None = None  # address of the admin endpoint
    listen_fd: int | None = None  # the descriptor of a listening socket that the platform holds
    folder: Path | None = None  # shared by the processes of this router
    peers_file: str | None = None  # the operator file of routers that know each other
    document: Document = field(default_factory=dict)  # the contents of the file

    def check_against(self, earlier: Config) -> None:
        """Raise ``ConfigError`` if a key of the earlier file is missing: the new file may be truncated."""
        key = first_missing_key(earlier.document, self.document)
        if key is not None:
            raise ConfigError(f"{key}: missing")

    def updated_while_serving(self, new_config: Config) -> Config:
        """This configuration, with the parts that may change while serving taken from ``new_config``."""
        return replace(
            self,
            changelog=new_config.changelog,
            settings=new_config.settings,
            limits=new_config.limits,
            known=new_config.known,
            document=new_config.document,
        )


def load(environ: Mapping[str, str]) -> Config:
    """Load the configuration that the environment variables name. Raises ``ConfigError``."""
    document = _read_file(environ.get("BALANCER_CONFIG"))
    for key, variable in VARIABLE_OF_KEY.items():
        if environ.get(variable):
            document[key] = environ[variable]
    folder = environ.get("TMPDIR")
    return replace(
        parse(document),
        listen_fd=_descriptor(environ.get("BALANCER_SOCKET_FD")),
        folder=Path(folder) if folder else None,
        peers_file=environ.get("BALANCER_PEERS") or None,
    )


def _read_file(path: str | None) -> dict[str, object]:
    if not path:
        raise ConfigError("BALANCER_CONFIG: is not set")
    try:
        document = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"BALANCER_CONFIG: {path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"BALANCER_CONFIG: {path}: {error}") from None
    if not isinstance(document, dict):
        raise ConfigError(f"BALANCER_CONFIG: {path}: must contain a JSON object")
    return document


def parse(document: Document) -> Config:
    """Check a configuration and fill in the defaults. Raises ``ConfigError`` for the first fault found."""
    settings = _object(document, "settings")
    limits = document.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits: must be an object")
    sockets = int(_positive(limits, "sockets", DEFAULT_SOCKETS))
    memory_mb = _positive(limits, "memory_mb", DEFAULT_MEMORY_MB)
    known = _known_events(document)
    with _decoding_errors_as_config_errors("settings."):
        module_settings = settings_from(settings)
        wire_limits = wire_limits_from(settings)
    return Config(
        name=str(document.get("name", "grebeproxy")),
        listen=_address(document, "listen"),
        changelog=_address(document, "changelog"),
        seed=_seed(document.get("seed", "0")),
        sockets=sockets,
        memory_mb=memory_mb,
        known=known,
        settings=module_settings,
        limits=wire_limits,
        document=document,
        admin=_address(document, "admin") if document.get("admin") else None,
    )


def _known_events(document: Document) -> KnownEvents:
    """The change log's events in the configuration, which are checked by decoding them once."""
    known = cast("KnownEvents", document.get("known", {"seq": 0, "results": []}))
    with _decoding_errors_as_config_errors("known: "):
        for _ in known_events(known, seconds):
            pass
    return known


@contextlib.contextmanager
def _decoding_errors_as_config_errors(prefix: str) -> Iterator[None]:
    """Convert errors from decoding JSON of a wrong form to ``ConfigError`` with the prefix."""
    try:
        yield
    except KeyError as error:
        raise ConfigError(f"{prefix}{error.args[0]}: missing or not known") from None
    except (AttributeError, IndexError, TypeError, ValueError) as error:
        raise ConfigError(f"{prefix}{error}") from None


def _object(document: Document, key: str) -> Document:
    value = document.get(key)
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: must be an object")
    return value


def _positive(limits: Document, key: str, default: float) -> float:
    value = limits.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not value >= 1:
        raise ConfigError(f"limits.{key}: must be a number of 1 or more")
    return float(value)


def _address(document: Document, key: str) -> Address:
    value = document.get(key)
    if not isinstance(value, str):
        raise ConfigError(f"{key}: must be host:port")
    try:
        return host_and_port(value)
    except ValueError as error:
        raise ConfigError(f"{key}: {error}") from None


def _descriptor(value: str | None) -> int | None:
    if not value:
        return None
    if not value.isdecimal() or int(value) > MAX_DESCRIPTOR:
        raise ConfigError("BALANCER_SOCKET_FD: must be a file descriptor number")
    return int(value)


def _seed(value: object) -> int:
    try:
        return int(str(value), 16)
    except ValueError:
        raise ConfigError("seed: must be hex digits") from None
