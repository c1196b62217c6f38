"""Addresses on loopback for engines, routers and servers of a run."""

from __future__ import annotations

import socket

Address = tuple[str, int]  # IPv4 host and port

LOOPBACK_HOST = "127.0.0.1"
HOSTS_PER_OCTET = 250
HOSTS_PER_GROUP = HOSTS_PER_OCTET * HOSTS_PER_OCTET
FIRST_ENGINE_GROUP = 40  # 127.40.0.0/16 and the following ones
DISCARD_PORT = 9


def loopback_host(group: int, index: int) -> str:
    """A host of ``127.<group>.0.0/16``; a group has 62,500 hosts, and a larger ``index`` wraps around."""
    third_octet = index // HOSTS_PER_OCTET % HOSTS_PER_OCTET
    return f"127.{group}.{third_octet}.{index % HOSTS_PER_OCTET + 1}"


def engine_addresses(count: int) -> list[Address]:
    """Distinct addresses for engines that nothing connects to."""
    return [
        (loopback_host(FIRST_ENGINE_GROUP + index // HOSTS_PER_GROUP, index), DISCARD_PORT)
        for index in range(count)
    ]


def free_address(kind: socket.SocketKind) -> Address:
    """An address on 127.0.0.1 whose port is free now, for a stream or a datagram socket."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((LOOPBACK_HOST, 0))
        return LOOPBACK_HOST, int(probe.getsockname()[1])


def address_text(address: Address) -> str:
    """The address as ``host:port``."""
    host, port = address
    return f"{host}:{port}"
