"""Parsing of network addresses of the form `host:port`."""

from __future__ import annotations

import re

Address = tuple[str, int]

MAX_PORT = 65535

# An IPv4 address, an IPv6 address in brackets, or a host name that the resolver accepts: each of its labels
# has 1 to 63 characters.
_HOST = re.compile(r"\[[0-9A-Fa-f:.]+\]|(?!-)[A-Za-z0-9-]{1,63}(\.[A-Za-z0-9-]{1,63})*", re.ASCII)
_PORT = re.compile(r"[0-9]{1,5}", re.ASCII)


class AddressError(ValueError):
    """Raised for a text that is not an address of the form `host:port`."""

    def __init__(self, text: str) -> None:
        self.text = text
        super().__init__(f"{text!r} is not an address of the form host:port")


def parse_address(text: str, min_port: int = 1) -> Address:
    """Parse an address of the form `host:port`.

    Args:
        text: The address; an IPv6 host is enclosed in brackets.
        min_port: The lowest valid port. 0 suits a listener, for which port 0 lets the system choose.

    Returns:
        The host, without brackets, and the port.

    Raises:
        AddressError: The text is not an address, or its port is out of range.
    """
    host, _, port = text.rpartition(":")
    if not _HOST.fullmatch(host) or not _PORT.fullmatch(port):
        raise AddressError(text)
    if not min_port <= int(port) <= MAX_PORT:
        raise AddressError(text)
    return host.strip("[]"), int(port)
