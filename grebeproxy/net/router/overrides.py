"""Manual overrides: keeps new requests from engines that operators have disabled."""

from __future__ import annotations

from grebeproxy.net.events import LogLine, SaveOverrides
from grebeproxy.net.log_line import log_line
from grebeproxy.net.manual_overrides import Calls, ManualOverrides
from grebeproxy.net.router.discovery import Discovery
from grebeproxy.net.router.options import RouterOptions
from grebeproxy.policy import interface as api


class Overrides(Discovery):
    """Keeps new requests from engines that operators have disabled."""

    def __init__(self, options: RouterOptions, now: float) -> None:
        super().__init__(options, now)
        self._overrides = ManualOverrides()

    def _knows_engine(self, engine: str) -> bool:
        """Whether an engine is in the engine list or is disabled by a manual override."""
        location = self._locations.get(engine)
        return engine in self._overrides.disabled() or (location is not None and not location.gone)

    def _override(self, engine: str, disabled: bool) -> bool:
        """Disable or enable an engine. Returns ``False`` if too many engines are disabled."""
        done = self._overrides.set(engine, disabled)
        self._save_overrides()
        self._apply_overrides()
        return done

    def _merge_overrides(self, calls: Calls) -> None:
        """Merge in the overrides that another process of this router has written."""
        self._overrides.merge(calls)
        if self._overrides.calls != calls:
            self._save_overrides()
        self._apply_overrides()

    def _save_overrides(self) -> None:
        self._effects.append(SaveOverrides(dict(self._overrides.calls)))

    def _apply_overrides(self) -> None:
        """Apply the set of disabled engines if it has changed."""
        disabled = self._overrides.disabled()
        if disabled == self._disabled_engines:
            return
        names = ",".join(sorted(disabled)) or "none"
        self._effects.append(LogLine(log_line("router.engines.disabled", engines=names)))
        for engine in disabled - self._disabled_engines:
            self._retire_links(engine)
        self._disabled_engines = disabled
        self._module_events.append(api.ManualOverridesChanged(disabled))
