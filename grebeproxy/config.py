"""The one place where the router's configuration is read, checked and given defaults."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import orjson

from grebeproxy.errors import GrebeproxyError
from grebeproxy.net.changelog import KnownEvents, host_and_port, known_events
from grebeproxy.policy.interface import Settings
from grebeproxy.settings import WireLimits, settings_from, wire_limits_from

DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192.0
MAX_DESCRIPTOR = 2**20


class ConfigError(GrebeproxyError):
    """Configuration that cannot be used; the text begins with the faulty key."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration of one router."""

    name: str
    listen: tuple[str, int]
    changelog: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: float
    known: KnownEvents
    settings: Settings
    limits: WireLimits
    admin: tuple[str, int] | None = None  # where operators call
    listen_fd: int | None = None  # the descriptor of a listening socket that the platform holds
    folder: Path | None = None  # shared with other processes of this router
    keys: frozenset[str] = frozenset()  # what the file held, as paths

    def check_against(self, earlier: Config) -> None:
        """Raise ``ConfigError`` where a key is missing that was there: the file may have been cut short."""
        for key in sorted(earlier.keys - self.keys):
            raise ConfigError(f"{key}: missing")

    def updated_while_serving(self, fresh: Config) -> Config:
        """This configuration with what may change while serving taken from another one."""
        return replace(
            self,
            changelog=fresh.changelog,
            settings=fresh.settings,
            limits=fresh.limits,
            known=fresh.known,
            keys=fresh.keys,
        )


def load(environ: Mapping[str, str]) -> Config:
    """The configuration that the ``BALANCER_*`` variables name; they go before the file."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise ConfigError("BALANCER_CONFIG: is not set")
    try:
        document = orjson.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigError(f"BALANCER_CONFIG: {path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"BALANCER_CONFIG: {path}: {error}") from None
    if not isinstance(document, dict):
        raise ConfigError(f"BALANCER_CONFIG: {path}: must hold an object")
    for key, variable in (
        ("name", "BALANCER_NAME"),
        ("listen", "BALANCER_LISTEN"),
        ("admin", "BALANCER_ADMIN"),
    ):
        if environ.get(variable):
            document[key] = environ[variable]
    folder = Path(environ["TMPDIR"]) if environ.get("TMPDIR") else None
    return replace(parse(document), listen_fd=_descriptor(environ.get("BALANCER_SOCKET_FD")), folder=folder)


def parse(document: dict[str, Any]) -> Config:
    """Check a configuration and fill in the defaults."""
    settings = _object(document, "settings")
    limits = document.get("limits", {})
    if not isinstance(limits, dict):
        raise ConfigError("limits: must be an object")
    sockets = int(_positive(limits, "sockets", DEFAULT_SOCKETS))
    memory_mb = _positive(limits, "memory_mb", DEFAULT_MEMORY_MB)
    known = _known(document)
    module, wire = _settings(settings)
    return Config(
        name=str(document.get("name", "grebeproxy")),
        listen=_address(document, "listen"),
        changelog=_address(document, "changelog"),
        seed=_seed(document.get("seed", "0")),
        sockets=sockets,
        memory_mb=memory_mb,
        known=known,
        settings=module,
        limits=wire,
        keys=frozenset(_key_paths(document)),
        admin=_address(document, "admin") if document.get("admin") else None,
    )


def _known(document: dict[str, Any]) -> dict[str, Any]:
    """The change log's events up to the start, checked."""
    known: dict[str, Any] = document.get("known", {"seq": 0, "results": []})
    try:
        list(known_events(known, lambda ms: ms / 1000))
    except KeyError as error:
        raise ConfigError(f"known: {error.args[0]}: missing or not known") from None
    except (AttributeError, TypeError, ValueError) as error:
        raise ConfigError(f"known: {error}") from None
    return known


def _settings(settings: dict[str, Any]) -> tuple[Settings, WireLimits]:
    """The settings for the decision module, and the limits of connections."""
    try:
        return settings_from(settings), wire_limits_from(settings)
    except KeyError as error:
        raise ConfigError(f"settings.{error.args[0]}: missing or not known") from None
    except (AttributeError, IndexError, TypeError, ValueError) as error:
        raise ConfigError(f"settings.{error}") from None


def _key_paths(document: Mapping[str, Any], prefix: str = "") -> Iterator[str]:
    for key, value in document.items():
        yield prefix + key
        if prefix + key in ("limits", "settings", "settings.limits", "settings.obligations"):
            yield from _key_paths(value, f"{prefix}{key}.")


def _object(document: dict[str, Any], key: str) -> dict[str, Any]:
    value = document.get(key)
    if not isinstance(value, dict):
        raise ConfigError(f"{key}: must be an object")
    return value


def _positive(limits: dict[str, Any], key: str, default: float) -> float:
    value = limits.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not value >= 1:
        raise ConfigError(f"limits.{key}: must be a number of 1 or more")
    return float(value)


def _address(document: dict[str, Any], key: str) -> tuple[str, int]:
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
        raise ConfigError("BALANCER_SOCKET_FD: must be the number of a descriptor")
    return int(value)


def _seed(value: object) -> int:
    try:
        return int(str(value), 16)
    except ValueError:
        raise ConfigError("seed: must be hex digits") from None
