"""Splits a byte stream into JSON documents, whatever their whitespace and the sizes of the chunks."""

from __future__ import annotations

import re

# A complete JSON string is one token, so that brackets inside it are not counted. A quotation mark that is a
# token by itself starts a string that is still incomplete.
_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[{}\[\]"]', re.DOTALL)


class JsonStreamError(ValueError):
    """Raised when a stream contains other data than JSON objects and arrays, or a document is too large."""


class JsonStreamSplitter:
    """Finds the ends of JSON documents in a stream by matching their brackets.

    Args:
        max_document_bytes: The largest document that is accepted.
    """

    def __init__(self, max_document_bytes: int) -> None:
        self._max_document_bytes = max_document_bytes
        self._buffer = b""
        self._scan_offset = 0  # bytes at the start of the buffer that have been searched for tokens
        self._depth = 0  # number of unclosed brackets

    @property
    def has_partial_document(self) -> bool:
        """Whether the beginning of a document has been received, but not its end."""
        return bool(self._buffer)

    @property
    def partial_document_bytes(self) -> int:
        """The number of bytes that have been received of a document without its end."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the documents that they complete.

        Args:
            data: The received bytes.

        Returns:
            The bytes of each complete document, in the order of the stream.

        Raises:
            JsonStreamError: The stream contains other data than objects and arrays, or a document is
                too large.
        """
        self._buffer += data
        documents: list[bytes] = []
        start = 0
        scan_offset = len(self._buffer)
        for token in _TOKEN.finditer(self._buffer, self._scan_offset):
            text = token.group()
            if text == b'"':
                scan_offset = token.start()
                break
            if text in (b"{", b"["):
                self._depth += 1
            elif text in (b"}", b"]"):
                self._depth = max(0, self._depth - 1)
                if not self._depth:
                    documents.append(self._buffer[start : token.end()])
                    start = token.end()
        self._buffer = self._buffer[start:]
        self._scan_offset = scan_offset - start
        self._check_remainder()
        return documents

    def discard(self) -> None:
        """Drop the incomplete document."""
        self._buffer = b""
        self._scan_offset = 0
        self._depth = 0

    def _check_remainder(self) -> None:
        if not self._depth:
            if self._buffer.strip():
                raise JsonStreamError("the stream contains data other than JSON objects and arrays")
            self._buffer = b""
            self._scan_offset = 0
        if len(self._buffer) > self._max_document_bytes:
            raise JsonStreamError(f"a JSON document exceeds {self._max_document_bytes} bytes")
