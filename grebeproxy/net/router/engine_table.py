"""The table of engines: their addresses, and the open connections to them."""

from __future__ import annotations

from grebeproxy.net.events import Address
from grebeproxy.net.router.answers import Answers
from grebeproxy.net.router.options import RouterOptions
from grebeproxy.net.router.records import EngineLocation, Link


class EngineTable(Answers):
    """Holds the engines' addresses and the open connections to engines."""

    def __init__(self, options: RouterOptions, now: float) -> None:
        super().__init__(options, now)
        self._links: dict[int, Link] = {}
        self._links_by_engine: dict[str, list[Link]] = {}
        self._locations: dict[str, EngineLocation] = {}
        self._engine_by_address: dict[Address, str] = {}  # the engine that was last listed at each address
        self._disabled_engines: frozenset[str] = frozenset()  # engines that manual overrides disable

    def _set_location(self, engine: str, location: EngineLocation) -> None:
        """Record an engine's location, replacing the earlier one."""
        self._forget_location(engine)
        self._locations[engine] = location
        # An engine that has gone must not take back an address that another engine has now.
        if not location.gone or location.address not in self._engine_by_address:
            self._engine_by_address[location.address] = engine

    def _forget_location(self, engine: str) -> None:
        location = self._locations.pop(engine, None)
        if location is not None and self._engine_by_address.get(location.address) == engine:
            del self._engine_by_address[location.address]

    def _forget_if_gone(self, engine: str) -> None:
        """Delete the records of an engine that has gone and has no connections.

        This bounds memory, because new engines keep getting new ids.
        """
        if not self._links_by_engine.get(engine):
            self._links_by_engine.pop(engine, None)
            if engine in self._locations and self._locations[engine].gone:
                self._forget_location(engine)
