"""Addresses as they are written: host:port."""

from __future__ import annotations

import re

Address = tuple[str, int]

# An IP address, or a name that a resolver would take: anything else fails oddly, and at each connect.
_HOST = re.compile(r"\[[0-9A-Fa-f:.]+\]|(?!-)[A-Za-z0-9-]{1,63}(\.[A-Za-z0-9-]{1,63})*", re.ASCII)
_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)


def address(text: str, least_port: int = 1) -> Address:
    """Read an address; ValueError if it is none. A listener may leave the port to the system by a 0."""
    host, _, port = text.rpartition(":")
    if not _HOST.fullmatch(host) or not _PORT.fullmatch(port) or not least_port <= int(port) < 65536:
        raise ValueError(f"{text!r} is no address of the form host:port")
    return host.strip("[]"), int(port)
