"""Adapter for the simulator: translates its messages to the decision module's events, and actions back.

The adapter decides nothing, and holds no number that influences a decision. One ``Choice`` runs for each
simulated dispatcher. ``python -m grebeproxy.simulator_adapter`` serves on standard input and output.
"""

from grebeproxy.simulator_adapter.adapter import SimulatorAdapter
from grebeproxy.simulator_adapter.wire import SimulatorWireError

__all__ = ["SimulatorAdapter", "SimulatorWireError"]
