"""What a router's settings come to, and the state that all parts of the decision module share."""

from __future__ import annotations

from random import Random

from grebeproxy.policy.interface import Action, QueryClass, Settings


class RouterState:
    """The router's settings and what is derived from them, its clock, and the actions of the moment."""

    # Derived from the settings; they may change while the router runs.
    settings: Settings
    many_routers: bool  # this router's share of an engine is less than a query
    max_class_threads: int  # threads of the class with the most
    lowest_rank: int  # rank of the class with the loosest objective
    tightest_class: QueryClass  # the class with the tightest objective, rank 0
    min_objective: float  # its latency objective in seconds, the unit of most times here
    rank_weight: list[float]  # by rank, from 1 down to 0
    priority_gap: float  # between neighbouring classes at full load
    max_backlog: float  # seconds of queued work that are allowed under load
    load_lock_time: float  # seconds for which a load is assumed to lock its data set
    sweep_interval: float  # seconds between sweeps while queries are queued
    warmup_slot_time: float  # seconds in a slot of a warming engine's budget
    random: Random

    def __init__(self, now: float) -> None:
        self.now = now  # clock time of the events being processed
        self.started_at = now
        self.actions: list[Action] = []  # of the events being processed
        self.timer_armed = False

    def draw_if_many(self) -> float:
        """A random number from 0 to 1 with many routers, else 0 without a draw."""
        return self.random.random() if self.many_routers else 0.0
