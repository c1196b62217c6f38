"""Failure detection: each period one member is pinged directly, and then through other members."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from grebeproxy.membership.context import Context
from grebeproxy.membership.dissemination import Dissemination
from grebeproxy.membership.member_table import MemberTable
from grebeproxy.membership.model import Fact, State
from grebeproxy.membership.probe_order import ProbeOrder

# Part of a period after which an unanswered probe has failed. It is below 1, so that the failure is known
# before the next probe begins.
PROBE_DEADLINE = 0.95


@dataclass(slots=True)
class Probe:
    """The probe of the current period."""

    number: int
    target: str
    ping_reqs_sent: int = 0
    nacks_missing: int = 0  # number of ping-reqs that no nack has answered yet
    answered: bool = False


class Prober:
    """Probes the members in turn, and suspects each member that does not answer."""

    def __init__(
        self, context: Context, table: MemberTable, dissemination: Dissemination, order: ProbeOrder
    ) -> None:
        self._context = context
        self._table = table
        self._dissemination = dissemination
        self._order = order
        self._probe: Probe | None = None

    def cancel(self) -> None:
        """Drop the current probe after a pause of this process, which may have missed the answer."""
        self._probe = None

    def probe_next(self) -> None:
        """Timer: probe the next member."""
        context = self._context
        timeout_factor = context.health.timeout_factor
        period = context.config.period * timeout_factor
        context.timers.schedule(context.now + period, self.probe_next)
        target = self._next_target()
        if target is None:
            return
        probe = Probe(next(context.numbers), target.name)
        self._probe = probe
        self._dissemination.send_probe(target, probe.number)
        timeout = context.config.timeout * timeout_factor
        context.timers.schedule(context.now + timeout, partial(self._on_timeout, probe))
        deadline = context.now + period * PROBE_DEADLINE
        context.timers.schedule(deadline, partial(self._on_deadline, probe))

    def on_ack(self, number: int) -> None:
        """Record an ack, sent by the target itself or by a member that has pinged it."""
        probe = self._probe
        if probe is None or number != probe.number or probe.answered:
            return
        probe.answered = True
        self._context.resuming = False
        self._context.health.improve()

    def on_nack(self, number: int) -> None:
        """Record a nack: a member that was sent a ping-req had no answer from the target."""
        probe = self._probe
        if probe is not None and number == probe.number:
            probe.nacks_missing = max(0, probe.nacks_missing - 1)

    def _next_target(self) -> Fact | None:
        target = self._pop_target()
        if target is None:
            self._order.begin_round(fact.name for fact in self._table.others())
            target = self._pop_target()
        return target

    def _pop_target(self) -> Fact | None:
        """Return the next target of this round, skipping the members that have failed or left."""
        while (name := self._order.pop()) is not None:
            fact = self._table.facts.get(name)
            if fact is not None and fact.state < State.DEAD and name != self._table.me.name:
                return fact
        return None

    def _on_timeout(self, probe: Probe) -> None:
        """Request indirect pings if the target has not answered the direct ping."""
        if probe is not self._probe or probe.answered or probe.target not in self._table.facts:
            return
        others = self._table.others()
        helpers = [fact for fact in others if fact.state is State.ALIVE and fact.name != probe.target]
        count = min(self._context.config.helpers, len(helpers))
        for helper in self._context.rng.sample(helpers, count):
            probe.ping_reqs_sent += 1
            probe.nacks_missing += 1
            self._dissemination.send_ping_req(helper.address, probe.number, probe.target)

    def _on_deadline(self, probe: Probe) -> None:
        """Suspect the target if it has not answered at all.

        Missing nacks worsen the health score, because they may mean that messages are lost at this router.
        """
        if probe is not self._probe or probe.answered:
            return
        self._probe = None
        self._context.health.degrade(probe.nacks_missing if probe.ping_reqs_sent else 1)
        self._table.suspect(probe.target)
