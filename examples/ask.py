"""Sends one query to a router and prints the answer.

python examples/ask.py examples/config.json lookup "SELECT n FROM ops_3.t"
"""

from __future__ import annotations

import secrets
import socket
import sys
from pathlib import Path

import msgpack
import orjson

CONNECT_TIMEOUT = 10.0  # seconds
REQUEST, MESSAGE_ID = 0, 1  # MessagePack-RPC: the message type of a request, and the id of the only one


def main(path: str, query_class: str, statement: str) -> None:
    """Send one statement as the first tenant of the configuration, and print its answer."""
    configuration = orjson.loads(Path(path).read_bytes())
    host, port = configuration["listen"].split(":")
    fields = {
        "txn": secrets.token_hex(8),
        "limit": "2000",
        "team": configuration["settings"]["orgs"][0]["name"],
        "cpu": "80.0",
        "mb": "64",
    }
    if query_class == "load":
        fields |= {"unique": secrets.token_hex(16), "item": secrets.token_hex(8)}
    with socket.create_connection((host, int(port)), timeout=CONNECT_TIMEOUT) as connection:
        connection.sendall(msgpack.packb([REQUEST, MESSAGE_ID, query_class, [fields, statement.encode()]]))
        unpacker = msgpack.Unpacker()
        while data := connection.recv(65536):
            unpacker.feed(data)
            for _, _, error, result in unpacker:
                print(result[0].decode() if error is None else f"{error[0]}: {error[1]}", end="\n")
                return
    sys.exit("the router closed the connection without an answer")


if __name__ == "__main__":
    main(*sys.argv[1:4])
