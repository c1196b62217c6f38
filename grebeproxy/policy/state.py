"""Values derived from a router's settings, and the state that all parts of the decision module share."""

from __future__ import annotations

from random import Random

from grebeproxy.policy.interface import Action, QueryClass, Settings


class RouterState:
    """The router's settings and values derived from them, its clock, and the actions of the current call."""

    # The settings, and values derived from them. All may change while the router runs.
    settings: Settings
    many_routers: bool  # True if this router's share of an engine is less than a query
    max_class_threads: int  # threads of the class with the most
    lowest_rank: int  # rank of the class with the loosest objective
    tightest_class: QueryClass  # the class with the tightest objective, rank 0
    min_objective: float  # latency objective of the tightest class in seconds, the unit of most times here
    rank_weight: list[float]  # weights by rank, from 1 down to 0
    priority_gap: float  # difference of priority between neighbouring classes at full load
    max_backlog: float  # seconds of queued work that are allowed under load
    load_lock_time: float  # seconds for which a load is assumed to lock its data set
    sweep_interval: float  # seconds between sweeps while queries are queued
    warmup_slot_time: float  # seconds of one slot of a warming engine's budget
    random: Random

    def __init__(self, now: float) -> None:
        self.now = now  # clock time of the events being processed
        self.started_at = now
        self.actions: list[Action] = []  # actions in answer to the events being processed
        self.timer_armed = False

    def draw_if_many(self) -> float:
        """Draw a random number from 0 to 1 if there are many routers, else return 0 without a draw."""
        return self.random.random() if self.many_routers else 0.0
