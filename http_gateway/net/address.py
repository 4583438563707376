"""Addresses of the form `host:port`."""

from __future__ import annotations

import re

Address = tuple[str, int]

MAX_PORT = 65535

# An IP address, or a name that a resolver accepts.
_HOST = re.compile(r"\[[0-9A-Fa-f:.]+\]|(?!-)[A-Za-z0-9-]{1,63}(\.[A-Za-z0-9-]{1,63})*", re.ASCII)
_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)


class AddressError(ValueError):
    """A text is not an address of the form `host:port`."""

    def __init__(self, text: str) -> None:
        self.text = text
        super().__init__(f"{text!r} is not an address of the form host:port")


def parse_address(text: str, min_port: int = 1) -> Address:
    """Read an address.

    Args:
        text: The address as it is written; an IPv6 address stands in brackets.
        min_port: The lowest port to accept; 0 for a listener whose port the system may choose.

    Returns:
        The host, without brackets, and the port.

    Raises:
        AddressError: The text is not an address.
    """
    host, _, port = text.rpartition(":")
    if not _HOST.fullmatch(host) or not _PORT.fullmatch(port):
        raise AddressError(text)
    if not min_port <= int(port) <= MAX_PORT:
        raise AddressError(text)
    return host.strip("[]"), int(port)
