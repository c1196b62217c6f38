"""Types that both directions of the simulator's wire share. A message is a line with a JSON object."""

from __future__ import annotations

from typing import Any

from grebeproxy.errors import GrebeproxyError

# A message as a JSON object. Its field ``msg`` names the message; its values are checked when decoded.
Message = dict[str, Any]


class SimulatorWireError(GrebeproxyError):
    """Input that the simulator's wire does not allow; the text names the message and the field."""
