"""Reload: applies a configuration that was read again."""

from __future__ import annotations

from grebeproxy.net.events import LogLine, Reloaded
from grebeproxy.net.log_line import log_line
from grebeproxy.net.router.core import deadlines_by_class, socket_settings
from grebeproxy.net.router.overrides import Overrides
from grebeproxy.policy import interface as api


class Reload(Overrides):
    """Applies a configuration that was read again."""

    def _reload(self, event: Reloaded) -> None:
        self.limits = event.limits
        self._change_settings(socket_settings(event.settings))
        self._migrate_change_log(event.changelog)

    def _change_settings(self, settings: api.Settings) -> None:
        """Apply changed settings. Open requests keep their query class, their deadline and their attempt."""
        if settings == self.settings:
            return
        self.settings = settings
        self._deadlines = deadlines_by_class(settings)
        self._module_events.append(api.SettingsChanged(settings))
        self._effects.append(LogLine(log_line("router.settings.changed")))
