"""Membership: which routers run, which have failed, and which may act while their views differ.

``Membership`` is a state machine without I/O: ``step(now, events)`` returns the effects to carry out.
"""

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
    NoticeKind,
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
    "NoticeKind",
    "Send",
    "View",
    "ViewChanged",
    "Wake",
    "Woken",
]
