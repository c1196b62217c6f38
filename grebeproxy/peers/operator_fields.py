"""Reading the operator file's HCL: the only place where its untyped document is handled.

``read_document`` gives the blocks of a file; ``Fields`` reads the fields of one block, checked and typed.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import hcl2
from lark.exceptions import LarkError

from grebeproxy.errors import GrebeproxyError
from grebeproxy.membership.model import Address

NUMBER_BOUND = 1e9  # any number in the file is below this
IPV4_OCTETS = 4
OCTET_BOUND = 256
PORT_BOUND = 65536
MS_PER_SECOND = 1000.0


class OperatorFileError(GrebeproxyError):
    """A file that cannot be used; the text begins with the faulty key."""


class Document(NamedTuple):
    """The blocks of a file."""

    peers: Fields
    duties: tuple[DutyBlock, ...]


class DutyBlock(NamedTuple):
    """A ``duty`` block and its label."""

    name: str
    fields: Mapping[str, object]


def read_document(text: str) -> Document:
    """The blocks of a file. Raises ``OperatorFileError`` for anything but one ``peers`` and some ``duty``."""
    options = hcl2.SerializationOptions(with_comments=False, strip_string_quotes=True, explicit_blocks=False)
    try:
        document = hcl2.loads(text, serialization_options=options)
    except LarkError as error:
        raise OperatorFileError(f"file: not HCL: {str(error).splitlines()[0]}") from None
    if unknown := sorted(document.keys() - {"peers", "duty"}):
        raise OperatorFileError(f"{unknown[0]}: not known")
    match document.get("peers"):
        case [dict() as peers]:
            pass
        case _:
            raise OperatorFileError("peers: one block is needed")
    match document.get("duty", []):
        case [*blocks]:
            return Document(Fields("peers", peers), tuple(_duty_block(block) for block in blocks))
        case _:
            raise OperatorFileError("duty: must be a block with a name")


def _duty_block(block: object) -> DutyBlock:
    if isinstance(block, dict) and len(block) == 1:
        [(name, fields)] = block.items()
        if isinstance(name, str) and isinstance(fields, dict):
            return DutyBlock(name, fields)
    raise OperatorFileError("duty: must be a block with a name")


class Fields:
    """The fields of one block, each read once; errors name the block and the field."""

    def __init__(self, block: str, fields: Mapping[str, object]) -> None:
        self._block = block
        self._fields = dict(fields)

    def _pop(self, name: str) -> object:
        return self._fields.pop(name, None)

    def fault(self, name: str, text: str) -> OperatorFileError:
        """An error on a field."""
        return OperatorFileError(f"{self._block}.{name}: {text}")

    def text(self, name: str) -> str:
        """Text, which is required."""
        value = self._pop(name)
        if not isinstance(value, str):
            raise self.fault(name, "must be text")
        return value

    def number(self, name: str, default: float | None = None, *, least: float = 0.0) -> float:
        """A number of at least ``least``; required where there is no default."""
        value = self._pop(name)
        if value is None:
            value = default
        if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value < NUMBER_BOUND:
            raise self.fault(name, f"must be a number of {least:g} or more")
        return float(value)

    def seconds(self, name: str, default_ms: float) -> float:
        """A time above 0, in milliseconds in the file and as the default; in seconds as the result."""
        value = self.number(name, default_ms)
        if not value:
            raise self.fault(name, "must be above 0")
        return value / MS_PER_SECOND

    def address(self, name: str, default: Address | None = None) -> Address:
        """An IPv4 address and a port; required where there is no default."""
        value = self._pop(name)
        if value is None and default is not None:
            return default
        return self._address(name, value)

    def addresses(self, name: str) -> tuple[Address, ...]:
        """A list of addresses, empty by default."""
        value = self._pop(name)
        if not isinstance(value, list | None):
            raise self.fault(name, "must be a list of host:port")
        return tuple(self._address(name, item) for item in value or ())

    def _address(self, name: str, value: object) -> Address:
        host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
        octets = host.split(".")
        is_host = len(octets) == IPV4_OCTETS and all(_is_octet(octet) for octet in octets)
        if not is_host or not (port.isdecimal() and 0 < int(port) < PORT_BOUND):
            raise self.fault(name, f"{value!r} is not an IPv4 address and a port")
        return host, int(port)

    def done(self) -> None:
        """Reject fields that were not read: a misspelt key must not pass for one that is left out."""
        if self._fields:
            raise self.fault(min(self._fields), "not known")


def _is_octet(text: str) -> bool:
    return text.isdecimal() and int(text) < OCTET_BOUND
