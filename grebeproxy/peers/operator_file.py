"""The operator file that lets routers know each other: HCL, checked here; errors name the key."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path
from typing import Any

import hcl2
from lark.exceptions import LarkError

from grebeproxy.errors import GrebeproxyError
from grebeproxy.membership import Config

MAX_DUTIES = 32
KEY_BYTES = (16, 64)  # least and most bytes of the shared key
MAX_DUTY_NAME_BYTES = 64
NUMBER_BOUND = 1e9  # any number in the file is below this
IPV4_OCTETS, OCTET_BOUND, PORT_BOUND = 4, 256, 65536


class OperatorFileError(GrebeproxyError):
    """A file that cannot be used; the text begins with the faulty key."""


@dataclass(frozen=True, slots=True)
class Duty:
    """Something that one router at a time does, every so many seconds, where ``report`` takes it."""

    name: str
    report: tuple[str, int]
    every: float


@dataclass(frozen=True, slots=True)
class PeersConfig:
    """How this router takes part. Times in seconds."""

    listen: tuple[str, int]
    member: Config
    key: bytes
    lease: float
    duties: tuple[Duty, ...]

    @property
    def mark(self) -> int:
        """Stands for all that has to be alike at all routers: unlike ones do not hear each other."""
        alike = f"{self.member.fleet} {self.member.period} {self.lease} {sorted(d.name for d in self.duties)}"
        return int.from_bytes(blake2b(alike.encode(), digest_size=4).digest(), "big")


def load(path: str, name: str) -> PeersConfig:
    """The configuration that a file holds for the router of that name."""
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorFileError(f"{path}: {error}") from None
    return parse(text, name)


def parse(text: str, name: str) -> PeersConfig:
    """Check what a file says. Raises ``OperatorFileError``."""
    options = hcl2.SerializationOptions(with_comments=False, strip_string_quotes=True, explicit_blocks=False)
    try:
        document: dict[str, Any] = hcl2.loads(text, serialization_options=options)
    except LarkError as error:
        raise OperatorFileError(f"file: not HCL: {str(error).splitlines()[0]}") from None
    if unknown := sorted(document.keys() - {"peers", "duty"}):
        raise OperatorFileError(f"{unknown[0]}: not known")
    if len(document.get("peers", [])) != 1:
        raise OperatorFileError("peers: one block is needed")
    fields = Fields("peers", document["peers"][0])
    listen = fields.address("listen")
    advertise = fields.address("advertise", listen)
    fleet, key = fields.number("fleet", least=1.0), fields.text("key")
    seeds, period = fields.addresses("seeds"), fields.seconds("period_ms", 500.0)
    timeout, lease = fields.seconds("timeout_ms", 300.0 * period), fields.seconds("lease_ms", 3000.0)
    settle = fields.seconds("settle_ms", 3000.0)
    fields.done()
    if fleet != int(fleet):
        raise OperatorFileError("peers.fleet: must be a whole number")
    if not KEY_BYTES[0] <= len(key.encode()) <= KEY_BYTES[1]:
        raise OperatorFileError(f"peers.key: must have {KEY_BYTES[0]} to {KEY_BYTES[1]} bytes")
    try:
        member = Config(name, advertise, int(fleet), seeds, period, timeout, settle=settle)
    except ValueError as error:
        raise OperatorFileError(f"peers.{error}") from None
    duties = tuple(_duty(block) for block in document.get("duty", []))
    if len({duty.name for duty in duties}) != len(duties) or len(duties) > MAX_DUTIES:
        raise OperatorFileError(f"duty: each name once, and {MAX_DUTIES} at most")
    return PeersConfig(listen, member, key.encode(), lease, duties)


def _duty(block: dict[str, Any]) -> Duty:
    [(name, document)] = block.items()
    if not 1 <= len(name.encode()) <= MAX_DUTY_NAME_BYTES or not name.isprintable() or " " in name:
        raise OperatorFileError(f"duty: a name has 1 to {MAX_DUTY_NAME_BYTES} bytes and no spaces")
    fields = Fields(f"duty.{name}", document)
    duty = Duty(name, fields.address("report"), fields.seconds("every_ms", 1000.0))
    fields.done()
    return duty


class Fields:
    """The fields of one block, each taken once."""

    def __init__(self, where: str, document: dict[str, Any]) -> None:
        self._where, self._fields = where, dict(document)

    def _take(self, name: str) -> Any:
        return self._fields.pop(name, None)

    def fault(self, name: str, text: str) -> OperatorFileError:
        """An error on a field."""
        return OperatorFileError(f"{self._where}.{name}: {text}")

    def text(self, name: str) -> str:
        """Text that has to be there."""
        value = self._take(name)
        if not isinstance(value, str):
            raise self.fault(name, "must be text")
        return value

    def number(self, name: str, default: float | None = None, *, least: float = 0.0) -> float:
        """A number of at least so much."""
        value = self._take(name)
        value = default if value is None else value
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < NUMBER_BOUND:
            raise self.fault(name, f"must be a number of {least:g} or more")
        return float(value)

    def seconds(self, name: str, default: float) -> float:
        """Milliseconds in the file, above 0; seconds here."""
        value = self.number(name, default)
        if not value:
            raise self.fault(name, "must be above 0")
        return value / 1000.0

    def address(self, name: str, default: tuple[str, int] | None = None) -> tuple[str, int]:
        """An IPv4 address and a port."""
        value = self._take(name)
        return default if value is None and default is not None else self._address(name, value)

    def addresses(self, name: str) -> tuple[tuple[str, int], ...]:
        """A list of addresses, none by default."""
        value = self._take(name)
        if not isinstance(value, list | None):
            raise self.fault(name, "must be a list of host:port")
        return tuple(self._address(name, item) for item in value or ())

    def _address(self, name: str, value: object) -> tuple[str, int]:
        host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
        parts = host.split(".")
        if (
            len(parts) != IPV4_OCTETS
            or not all(part.isdecimal() and int(part) < OCTET_BOUND for part in parts)
            or not (port.isdecimal() and 0 < int(port) < PORT_BOUND)
        ):
            raise self.fault(name, f"{value!r} is not an IPv4 address and a port")
        return host, int(port)

    def done(self) -> None:
        """Refuse what was not asked for: a name that is misspelt must not pass for one that is left out."""
        if self._fields:
            raise self.fault(min(self._fields), "not known")
