"""The operator file that enables membership, duties and replicated records: settings, defaults and bounds."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from pathlib import Path

from grebeproxy.membership import Config
from grebeproxy.membership.model import Address
from grebeproxy.peers.operator_fields import DutyBlock, Fields, OperatorFileError, read_document

__all__ = ["Duty", "OperatorFileError", "PeersConfig", "load", "parse"]

MAX_DUTIES = 32
MIN_KEY_BYTES = 16
MAX_KEY_BYTES = 64
MAX_DUTY_NAME_BYTES = 64
DEFAULT_PERIOD_MS = 500.0
DEFAULT_TIMEOUT_FRACTION = 0.3  # fraction of the period
DEFAULT_LEASE_MS = 3000.0
DEFAULT_SETTLE_MS = 3000.0
DEFAULT_DUTY_INTERVAL_MS = 1000.0
DIGEST_BYTES = 4
MS_PER_SECOND = 1000.0


@dataclass(frozen=True, slots=True)
class Duty:
    """A task that one router at a time does, by sending a line to ``report`` every ``interval`` seconds."""

    name: str
    report: Address
    interval: float


@dataclass(frozen=True, slots=True)
class PeersConfig:
    """The configuration of this router's membership and duties, with times in seconds."""

    listen: Address
    member: Config
    key: bytes
    lease: float
    duties: tuple[Duty, ...]

    @property
    def settings_digest(self) -> int:
        """A digest of the settings that must be the same at all routers. Every packet carries it.

        Routers whose settings differ reject each other's packets.
        """
        duties = sorted(duty.name for duty in self.duties)
        shared = f"{self.member.fleet} {self.member.period} {self.lease} {duties}"
        return int.from_bytes(blake2b(shared.encode(), digest_size=DIGEST_BYTES).digest(), "big")


def load(path: str, name: str) -> PeersConfig:
    """Read a file's configuration for the router named ``name``. Raises ``OperatorFileError``."""
    try:
        text = Path(path).read_text()
    except (OSError, UnicodeDecodeError) as error:
        raise OperatorFileError(f"{path}: {error}") from None
    return parse(text, name)


def parse(text: str, name: str) -> PeersConfig:
    """Parse a file's text as the configuration of the router named ``name``. Raises ``OperatorFileError``."""
    document = read_document(text)
    fields = document.peers
    listen = fields.address("listen")
    advertise = fields.address("advertise", listen)
    fleet = fields.number("fleet", minimum=1.0)
    key = fields.text("key").encode()
    seeds = fields.addresses("seeds")
    period = fields.seconds("period_ms", DEFAULT_PERIOD_MS)
    timeout = fields.seconds("timeout_ms", DEFAULT_TIMEOUT_FRACTION * MS_PER_SECOND * period)
    lease = fields.seconds("lease_ms", DEFAULT_LEASE_MS)
    settle = fields.seconds("settle_ms", DEFAULT_SETTLE_MS)
    fields.reject_unread()
    if fleet != int(fleet):
        raise fields.error("fleet", "must be a whole number")
    if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
        raise fields.error("key", f"must have {MIN_KEY_BYTES} to {MAX_KEY_BYTES} bytes")
    try:
        member = Config(name, advertise, int(fleet), seeds, period, timeout, settle=settle)
    except ValueError as error:
        raise OperatorFileError(f"peers.{error}") from None
    return PeersConfig(listen, member, key, lease, _duties(document.duties))


def _duties(blocks: tuple[DutyBlock, ...]) -> tuple[Duty, ...]:
    duties = tuple(_duty(block) for block in blocks)
    names = {duty.name for duty in duties}
    if len(names) != len(duties) or len(duties) > MAX_DUTIES:
        raise OperatorFileError(f"duty: names must be unique, and there may be {MAX_DUTIES} duties at most")
    return duties


def _duty(block: DutyBlock) -> Duty:
    name = block.name
    if not 1 <= len(name.encode()) <= MAX_DUTY_NAME_BYTES or not name.isprintable() or " " in name:
        raise OperatorFileError(
            f"duty: a name must have 1 to {MAX_DUTY_NAME_BYTES} bytes, all printable, and no spaces"
        )
    fields = Fields(f"duty.{name}", block.fields)
    duty = Duty(name, fields.address("report"), fields.seconds("every_ms", DEFAULT_DUTY_INTERVAL_MS))
    fields.reject_unread()
    return duty
