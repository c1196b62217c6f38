"""The router's state machine: ``step`` takes events and returns the effects to carry out.

The state machine holds the requests, attempts, pages of results, connections to engines and the state of the
change log, and asks the decision module what to do. It does no input or output, reads no clock and knows no
wire protocol.

``Router`` is built by inheritance from a chain of classes, one per module. Each class has one job and the
state for that job, and uses the classes below it. The modules, from the lowest layer up:

- ``core``: settings, the current time, timers, and the outputs of a step
- ``serving``: whether the router accepts connections and requests
- ``answers``: open requests, and the one final answer to each
- ``engine_table``: the engines' addresses, and the open connections to engines
- ``engine_links``: opens, writes to and closes connections to engines
- ``attempts``: sends attempts to engines, collects the pages of answers, abandons attempts
- ``clients``: admits and closes clients' connections; accepts, rejects and abandons requests
- ``discovery``: follows the change log and applies its events
- ``overrides``: keeps new requests from engines that operators have disabled
- ``reload``: applies a configuration that was read again
- ``shutdown``: standby and graceful shutdown
- ``admin``: operators' connections and calls
- ``decisions``: asks the decision module and carries out its actions
- ``state_machine``: ``Router``, with ``start`` and ``step``
"""

from grebeproxy.net.router.decisions import DecisionModuleFactory, DecisionModule
from grebeproxy.net.router.options import RouterOptions
from grebeproxy.net.router.state_machine import Router

__all__ = ["DecisionModuleFactory", "DecisionModule", "Router", "RouterOptions"]
