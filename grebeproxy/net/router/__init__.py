"""The router's state and its one reducer: ``step`` takes what happened and gives the effects to carry out.

It owns requests, attempts, pages, connections to engines and the state of the change log, and asks the
decision module what to do. It does no input or output, reads no clock and names no wire. Each part is a layer
on the one before: base, answers, links, attempts, clients, discovery, operating, reducer.
"""

from grebeproxy.net.router.reducer import Decide, Module, Router

__all__ = ["Decide", "Module", "Router"]
