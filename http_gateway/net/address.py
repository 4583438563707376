"""Addresses as they are written: host:port."""

from __future__ import annotations

import re

Address = tuple[str, int]

MAX_PORT = 65535

# An IP address, or a name that a resolver would accept: anything else fails oddly, and at each connect.
_HOST = re.compile(r"\[[0-9A-Fa-f:.]+\]|(?!-)[A-Za-z0-9-]{1,63}(\.[A-Za-z0-9-]{1,63})*", re.ASCII)
_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)


class AddressError(ValueError):
    """A text that is not an address of the form host:port."""

    def __init__(self, text: str) -> None:
        super().__init__(f"{text!r} is not an address of the form host:port")


def parse_address(text: str, min_port: int = 1) -> Address:
    """Read an address; raises `AddressError`. Port 0 lets the system choose the port of a listener."""
    host, _, port = text.rpartition(":")
    if not _HOST.fullmatch(host) or not _PORT.fullmatch(port) or not min_port <= int(port) <= MAX_PORT:
        raise AddressError(text)
    return host.strip("[]"), int(port)
