"""Indirect pings, which this router sends at the request of other members."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial

from grebeproxy.membership.context import Context
from grebeproxy.membership.dissemination import Dissemination
from grebeproxy.membership.member_table import MemberTable
from grebeproxy.membership.model import Address, Message

# Most indirect pings in flight: this multiple of the configured fleet, plus the extra number.
MAX_RELAYS_FACTOR = 2
EXTRA_RELAYS = 8


@dataclass(slots=True)
class Relay:
    """A ping that another member has requested."""

    requester: Address
    request_number: int  # number of the ping-req
    answered: bool = False


class PingRelays:
    """Pings the target of each ping-req, and answers the ping-req with an ack or a nack."""

    def __init__(self, context: Context, table: MemberTable, dissemination: Dissemination) -> None:
        self._context = context
        self._table = table
        self._dissemination = dissemination
        self._relays: dict[int, Relay] = {}
        self._max_relays = MAX_RELAYS_FACTOR * context.config.fleet + EXTRA_RELAYS

    def clear(self) -> None:
        """Drop all indirect pings after a pause of this process, which may have missed the answers."""
        self._relays.clear()

    def on_ping_req(self, message: Message) -> None:
        """Ping the target of a ping-req, unless too many indirect pings are in flight."""
        target = self._table.facts.get(message.target)
        if target is None or len(self._relays) >= self._max_relays:
            return
        context = self._context
        number = next(context.numbers)
        self._relays[number] = Relay(message.sender.address, message.number)
        self._dissemination.send_ping(target, number)
        context.timers.schedule(context.now + context.config.timeout, partial(self._on_timeout, number))

    def on_ack(self, number: int) -> None:
        """Forward the target's ack to the member that requested the ping."""
        relay = self._relays.get(number)
        if relay is not None and not relay.answered:
            relay.answered = True
            self._dissemination.send_ack(relay.requester, relay.request_number)

    def _on_timeout(self, number: int) -> None:
        relay = self._relays.pop(number, None)
        if relay is not None and not relay.answered:
            self._dissemination.send_nack(relay.requester, relay.request_number)
