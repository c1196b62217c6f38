"""The check of fencing tokens by the receiver of the work that a lease protects."""

from __future__ import annotations

from grebeproxy.membership.lease.messages import Token

NO_TOKEN = Token(0, "")  # lower than every token that a holder can have


class Fence:
    """Remembers the highest token of each lease, and rejects every lower one."""

    def __init__(self) -> None:
        self._highest: dict[str, Token] = {}

    def admit(self, lease: str, token: Token) -> bool:
        """Return whether work under this token may take effect, and remember the token if so."""
        if token < self._highest.get(lease, NO_TOKEN):
            return False
        self._highest[lease] = token
        return True

    def highest(self, lease: str) -> Token:
        """Return the highest token seen for the lease, or ``NO_TOKEN`` if none was seen."""
        return self._highest.get(lease, NO_TOKEN)
