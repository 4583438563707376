"""Asyncio protocol whose connections all receive into one shared buffer."""

from __future__ import annotations

import asyncio

# Each read is handled before the next one, so all connections can share one buffer. Without it, asyncio would
# allocate 256 KiB for each read.
RECEIVE_BUFFER_BYTES = 64 * 1024
_BUFFER = memoryview(bytearray(RECEIVE_BUFFER_BYTES))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """Protocol base class whose received bytes are valid only during the call of `on_data`."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the part of the shared buffer that the next read may fill."""
        return _BUFFER[: self.next_read_bytes()]

    def next_read_bytes(self) -> int:
        """Return how many bytes the next read may have."""
        return RECEIVE_BUFFER_BYTES

    def buffer_updated(self, nbytes: int) -> None:
        """Pass the bytes that were read to `on_data`."""
        self.on_data(_BUFFER[:nbytes])

    def on_data(self, data: memoryview) -> None:
        """Handle received bytes; they must be copied to be kept, because the next read overwrites them."""
        raise NotImplementedError
