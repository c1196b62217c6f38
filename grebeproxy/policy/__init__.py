"""The decision module: which engine runs a query, when, whether it is tried again, what is turned away.

``Choice`` is its face, ``interface`` what it is told and what it answers. It does no input or output and
reads no clock. Each part is a layer on the one before: records (``books``), the rules of sending
(``rules``), the health of engines (``health``), placement (``placement``), the order of release
(``release``), the life of a query (``lifecycle``), and the whole (``choice``).
"""

from grebeproxy.policy.choice import Choice

__all__ = ["Choice"]
