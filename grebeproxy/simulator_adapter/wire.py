"""What both directions of the simulator's wire share. A message is one line: a JSON object with a ``msg``."""

from __future__ import annotations

from typing import Any

from grebeproxy.errors import GrebeproxyError

# A message as JSON. Its values are checked where it is decoded, by what the conversion of each raises.
Message = dict[str, Any]


class SimulatorWireError(GrebeproxyError):
    """Input that the simulator's wire does not allow; the text names the message and the field."""
