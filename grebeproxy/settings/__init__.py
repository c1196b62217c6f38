"""Decodes the settings of a deployment's routers from JSON to the decision module's ``Settings``.

The simulator adapter and the router on sockets both use this package, so both decide by the same values. The
module ``fields`` names the JSON keys; only ``decode``, ``wire_limits`` and ``load_report`` map them.
"""

from grebeproxy.settings.decode import settings_from
from grebeproxy.settings.load_report import load_report_from
from grebeproxy.settings.validation import SettingsError
from grebeproxy.settings.wire_limits import WireLimits, wire_limits_from

__all__ = ["SettingsError", "WireLimits", "load_report_from", "settings_from", "wire_limits_from"]
