"""The computation of the view from the facts."""

from __future__ import annotations

from grebeproxy.membership.context import Context
from grebeproxy.membership.member_table import MemberTable
from grebeproxy.membership.model import Condition, State, View, ViewChanged
from grebeproxy.membership.suspicion import DISTRUST_SCORE


class ViewTracker:
    """Computes the view after each step, and reports each change of it."""

    def __init__(self, context: Context, table: MemberTable) -> None:
        name = context.config.name
        self.view = View(0, (name,), Condition.ALONE, context.now)
        self._context = context
        self._table = table
        self._changed_at = context.now  # time at which the members last changed or a member was suspected
        self._members: tuple[str, ...] = (name,)
        self._alive = 1  # number of members that are not suspected

    def update(self) -> None:
        """Report a new view if the members or the condition have changed."""
        if self._table.changed:  # Without this check, each message would cost a pass over all facts.
            self._table.changed = False
            self._count_members()
        members = self._members
        suspected = self._alive < len(members)
        if members != self.view.members or suspected:
            self._changed_at = self._context.now
        condition = self._condition(suspected)
        if members != self.view.members or condition is not self.view.condition:
            since = self.view.since if condition is self.view.condition else self._context.now
            self.view = View(self.view.epoch + 1, members, condition, since)
            self._context.effects.append(ViewChanged(self.view))

    def _count_members(self) -> None:
        facts = self._table.facts.values()
        self._members = tuple(sorted(fact.name for fact in facts if fact.state < State.DEAD))
        self._alive = sum(fact.state is State.ALIVE for fact in facts)

    def _condition(self, suspected: bool) -> Condition:
        context = self._context
        config = context.config
        if context.stopped or context.resuming or (self._alive == 1 and config.fleet > 1):
            return Condition.ALONE
        if 2 * self._alive <= config.fleet or context.health.score >= DISTRUST_SCORE:
            return Condition.MINORITY
        if suspected or context.now < self._changed_at + config.settle:
            return Condition.QUORATE
        return Condition.SETTLED
