"""An asyncio protocol that receives into one buffer for all connections."""

from __future__ import annotations

import asyncio

# Each read is handled before the next one, so one buffer is enough; asyncio would allocate 256 KiB a read.
_BUFFER_BYTES = 64 * 1024
_BUFFER = memoryview(bytearray(_BUFFER_BYTES))


class SharedBufferProtocol(asyncio.BufferedProtocol):
    """A protocol whose received bytes are valid only during the call of `on_data`."""

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read."""
        return _BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Pass the bytes that were read to `on_data`."""
        self.on_data(_BUFFER[:nbytes])

    def on_data(self, data: memoryview) -> None:
        """Handle received bytes, which have to be copied to be kept."""
        raise NotImplementedError
