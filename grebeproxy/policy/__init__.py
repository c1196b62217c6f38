"""The decision module: which engine runs a query and when, whether it is retried, and what is rejected.

``Choice`` is the only entry point; ``interface`` defines the settings, events and actions that ``Choice``
exchanges with its caller. The decision module does no input or output and reads no clock. Each module is a
layer on the ones before:

- ``estimators``, ``hash_ring``, ``records``, ``state``, ``engine_tracking``, ``query_tracking``: the state,
  without decisions;
- ``rules``: the conditions that every attempt must meet;
- ``health``: which engines are ejected;
- ``subset``: which engines this router works with;
- ``placement``: which engine is best for a query;
- ``release``: which query is sent next;
- ``lifecycle``: acceptance, retries and final answers;
- ``choice``: the entry point, which combines all layers.
"""

from grebeproxy.policy.choice import Choice

__all__ = ["Choice"]
