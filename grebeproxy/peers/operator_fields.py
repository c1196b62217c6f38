"""Reads the operator file's HCL. No other module handles its untyped document.

``read_document`` returns the blocks of a file. ``Fields`` reads the fields of one block and checks them.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import hcl2
from lark.exceptions import LarkError

from grebeproxy.errors import GrebeproxyError
from grebeproxy.membership.model import Address

NUMBER_BOUND = 1e9  # exclusive upper bound of every number in the file
IPV4_OCTETS = 4
OCTET_BOUND = 256
PORT_BOUND = 65536
MS_PER_SECOND = 1000.0


class OperatorFileError(GrebeproxyError):
    """The operator file cannot be used; the message begins with the key in error."""


class Document(NamedTuple):
    """The blocks of an operator file."""

    peers: Fields
    duties: tuple[DutyBlock, ...]


class DutyBlock(NamedTuple):
    """A ``duty`` block: its label, which is the duty's name, and its fields."""

    name: str
    fields: Mapping[str, object]


def read_document(text: str) -> Document:
    """The blocks of a file's text.

    Raises ``OperatorFileError`` unless it consists of one ``peers`` block and any number of ``duty`` blocks.
    """
    options = hcl2.SerializationOptions(with_comments=False, strip_string_quotes=True, explicit_blocks=False)
    try:
        document = hcl2.loads(text, serialization_options=options)
    except LarkError as error:
        raise OperatorFileError(f"file: not HCL: {str(error).splitlines()[0]}") from None
    if unknown := sorted(document.keys() - {"peers", "duty"}):
        raise OperatorFileError(f"{unknown[0]}: unknown block")
    match document.get("peers"):
        case [dict() as peers]:
            pass
        case _:
            raise OperatorFileError("peers: there must be exactly one block")
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
    """The fields of one block. Each field is read once; errors name the block and the field."""

    def __init__(self, block: str, fields: Mapping[str, object]) -> None:
        self._block = block
        self._fields = dict(fields)

    def _pop(self, name: str) -> object:
        return self._fields.pop(name, None)

    def error(self, name: str, problem: str) -> OperatorFileError:
        """An error that names a field of this block."""
        return OperatorFileError(f"{self._block}.{name}: {problem}")

    def text(self, name: str) -> str:
        """The text of a required field."""
        value = self._pop(name)
        if not isinstance(value, str):
            raise self.error(name, "must be text")
        return value

    def number(self, name: str, default: float | None = None, *, minimum: float = 0.0) -> float:
        """A number of at least ``minimum``. The field is required unless there is a default."""
        value = self._pop(name)
        if value is None:
            value = default
        if (
            isinstance(value, bool)
            or not isinstance(value, int | float)
            or not minimum <= value < NUMBER_BOUND
        ):
            raise self.error(name, f"must be a number of {minimum:g} or more")
        return float(value)

    def seconds(self, name: str, default_ms: float) -> float:
        """A time above 0 in seconds, from a field in milliseconds with a default in milliseconds."""
        value = self.number(name, default_ms)
        if not value:
            raise self.error(name, "must be above 0")
        return value / MS_PER_SECOND

    def address(self, name: str, default: Address | None = None) -> Address:
        """An IPv4 address and a port. The field is required unless there is a default."""
        value = self._pop(name)
        if value is None and default is not None:
            return default
        return self._address(name, value)

    def addresses(self, name: str) -> tuple[Address, ...]:
        """A list of addresses, which is empty if the field is missing."""
        value = self._pop(name)
        if not isinstance(value, list | None):
            raise self.error(name, "must be a list of host:port")
        return tuple(self._address(name, item) for item in value or ())

    def _address(self, name: str, value: object) -> Address:
        host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
        octets = host.split(".")
        is_host = len(octets) == IPV4_OCTETS and all(_is_octet(octet) for octet in octets)
        if not is_host or not (port.isdecimal() and 0 < int(port) < PORT_BOUND):
            raise self.error(name, f"{value!r} is not an IPv4 address and a port")
        return host, int(port)

    def reject_unread(self) -> None:
        """Raise an error if a field was not read; otherwise a misspelt key would count as a missing one."""
        if self._fields:
            raise self.error(min(self._fields), "unknown field")


def _is_octet(text: str) -> bool:
    return text.isdecimal() and int(text) < OCTET_BOUND
