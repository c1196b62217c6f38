"""The check of fencing tokens at the place where the work that a lease protects takes effect."""

from __future__ import annotations

from grebeproxy.membership.lease.messages import Token

NO_TOKEN = Token(0, "")  # below every token that a holder can have


class Fence:
    """Rejects every token that is lower than one already seen for the same lease."""

    def __init__(self) -> None:
        self._highest: dict[str, Token] = {}

    def admit(self, lease: str, token: Token) -> bool:
        """Whether work under this token may take effect."""
        if token < self._highest.get(lease, NO_TOKEN):
            return False
        self._highest[lease] = token
        return True

    def highest(self, lease: str) -> Token:
        """The highest token seen for the lease, ``NO_TOKEN`` before the first."""
        return self._highest.get(lease, NO_TOKEN)
