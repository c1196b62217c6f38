"""Routers that know each other: off unless an operator file switches it on, and not imported until then."""

from grebeproxy.peers.runtime import Peers
from grebeproxy.peers.node import Node
from grebeproxy.peers.operator_file import OperatorFileError, PeersConfig, load, parse

__all__ = ["Node", "OperatorFileError", "Peers", "PeersConfig", "load", "parse"]
