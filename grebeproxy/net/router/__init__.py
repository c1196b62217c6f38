"""The router's state machine: ``step`` takes what happened and returns the effects to carry out.

It holds the requests, attempts, pages of results, connections to engines and the state of the change log, and
asks the decision module what to do. It does no input or output, reads no clock and knows no wire protocol.

``Router`` is a chain of classes, one a module, from the lowest layer up. Each has one job and the state for
it, and uses the layers below:

- ``core``: settings, the current time, timers, and the outputs of a step
- ``serving``: whether the router accepts connections and requests
- ``answers``: open requests, and the one final answer of each
- ``engine_table``: which engines listen where, and which connections to them are open
- ``engine_links``: connections to engines are opened, written to and closed
- ``attempts``: sent to an engine, answered page by page, abandoned
- ``clients``: connections admitted and closed, requests accepted, rejected and abandoned
- ``discovery``: the change log is followed and applied
- ``overrides``: engines disabled by operators
- ``reload``: a configuration that was read again takes effect
- ``shutdown``: standby and graceful shutdown
- ``admin``: operators' connections and calls
- ``decisions``: the decision module is asked, and its actions are carried out
- ``state_machine``: ``Router``, with ``start`` and ``step``
"""

from grebeproxy.net.router.decisions import DecisionModuleFactory, DecisionModule
from grebeproxy.net.router.options import RouterOptions
from grebeproxy.net.router.state_machine import Router

__all__ = ["DecisionModuleFactory", "DecisionModule", "Router", "RouterOptions"]
