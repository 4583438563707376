"""Splits a stream into JSON documents, whatever their layout and the sizes of the received pieces."""

from __future__ import annotations

import re

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024  # a list of thousands of endpoints is smaller

# Complete strings are tokens, so that brackets in them do not count; a single quote starts an incomplete one.
_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[{}\[\]"]', re.DOTALL)


class JsonStreamError(ValueError):
    """The stream contains something other than objects and lists, or a document that is too large."""


class JsonStream:
    """Finds the documents of a stream by their brackets."""

    def __init__(self) -> None:
        self._buffer = b""
        self._scanned = 0  # bytes of the buffer that contain no further token
        self._depth = 0  # open brackets

    @property
    def has_partial_document(self) -> bool:
        """Whether a document has begun and is incomplete."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Take received bytes and return the documents that are complete now.

        Raises:
            JsonStreamError: The stream contains neither an object nor a list, or a document is too large.
        """
        self._buffer += data
        documents: list[bytes] = []
        start = 0
        scanned = len(self._buffer)
        for token in _TOKEN.finditer(self._buffer, self._scanned):
            text = token.group()
            if text == b'"':
                scanned = token.start()
                break
            if text in (b"{", b"["):
                self._depth += 1
            elif text in (b"}", b"]"):
                self._depth = max(0, self._depth - 1)
                if not self._depth:
                    documents.append(self._buffer[start : token.end()])
                    start = token.end()
        self._buffer = self._buffer[start:]
        self._scanned = scanned - start
        self._check_remainder()
        return documents

    def _check_remainder(self) -> None:
        if not self._depth:
            if self._buffer.strip():
                raise JsonStreamError("the stream contains neither an object nor a list")
            self._buffer = b""
            self._scanned = 0
        if len(self._buffer) > MAX_DOCUMENT_BYTES:
            raise JsonStreamError(f"a document exceeds {MAX_DOCUMENT_BYTES} bytes")
