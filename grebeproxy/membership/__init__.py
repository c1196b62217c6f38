"""Who is there, who has failed, and what each may do while they disagree. I/O-free."""

from grebeproxy.membership.model import (
    Changed,
    Condition,
    Config,
    Displaced,
    Effect,
    Event,
    Heard,
    LeaveAsked,
    Message,
    Say,
    Told,
    View,
    Wake,
    Woken,
)
from grebeproxy.membership.swim import Membership

__all__ = [
    "Changed",
    "Condition",
    "Config",
    "Displaced",
    "Effect",
    "Event",
    "Heard",
    "LeaveAsked",
    "Membership",
    "Message",
    "Say",
    "Told",
    "View",
    "Wake",
    "Woken",
]
