"""Who is there, who has failed, and what each may do while they disagree. I/O-free."""

from grebeproxy.membership.model import (
    Condition,
    Config,
    Displaced,
    Effect,
    Event,
    LeaveRequested,
    Message,
    MessageReceived,
    Notice,
    Send,
    View,
    ViewChanged,
    Wake,
    Woken,
)
from grebeproxy.membership.swim import Membership


__all__ = [
    "Condition",
    "Config",
    "Displaced",
    "Effect",
    "Event",
    "LeaveRequested",
    "Membership",
    "Message",
    "MessageReceived",
    "Notice",
    "Send",
    "View",
    "ViewChanged",
    "Wake",
    "Woken",
]
