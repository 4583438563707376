"""The receiving end of a connection, on one buffer for all connections."""

from __future__ import annotations

import asyncio

# One for all reads, as each is used up before the next; asyncio would allocate 256 KiB for each of them.
_BUFFER = memoryview(bytearray(64 * 1024))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """A protocol whose received bytes are valid only during the call that hands them over."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """The buffer for the next read."""
        return _BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Hand over what was read."""
        self.on_data(_BUFFER[:nbytes])

    def on_data(self, data: memoryview) -> None:
        """Take received bytes, which have to be copied to be kept."""
        raise NotImplementedError
