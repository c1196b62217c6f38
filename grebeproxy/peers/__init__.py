"""Membership, duties and replicated records of routers; imported only if an operator file enables them."""

from grebeproxy.peers.node import Node
from grebeproxy.peers.operator_file import OperatorFileError, PeersConfig, load, parse
from grebeproxy.peers.runtime import Peers

__all__ = ["Node", "OperatorFileError", "Peers", "PeersConfig", "load", "parse"]
