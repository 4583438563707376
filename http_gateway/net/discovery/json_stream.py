"""Splits a stream of JSON documents, however they are spaced and wherever the stream is cut."""

from __future__ import annotations

import re

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024  # more than a list of thousands of endpoints

# Complete strings, so that brackets in them do not count; a lone quote begins a string that is incomplete.
_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[{}\[\]"]', re.DOTALL)


class JsonStreamError(ValueError):
    """The stream holds something that cannot be an object or a list."""


class JsonStream:
    """Finds the documents of a stream by their brackets."""

    def __init__(self) -> None:
        self._buffer = b""
        self._scanned = 0  # bytes of the buffer
        self._depth = 0

    @property
    def has_partial_document(self) -> bool:
        """Whether a document has begun and is incomplete."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Take received bytes; return the documents that are complete now. Raises `JsonStreamError`."""
        self._buffer += data
        complete, start, scanned = [], 0, len(self._buffer)
        for token in _TOKEN.finditer(self._buffer, self._scanned):
            mark = token.group()
            if mark == b'"':
                scanned = token.start()
                break
            if mark in (b"{", b"["):
                self._depth += 1
            elif mark in (b"}", b"]"):
                self._depth = max(0, self._depth - 1)
                if not self._depth:
                    complete.append(self._buffer[start : token.end()])
                    start = token.end()
        self._buffer, self._scanned = self._buffer[start:], scanned - start
        self._check_rest()
        return complete

    def _check_rest(self) -> None:
        if not self._depth:
            if self._buffer.strip():
                raise JsonStreamError("the stream holds neither an object nor a list")
            self._buffer, self._scanned = b"", 0
        if len(self._buffer) > MAX_DOCUMENT_BYTES:
            raise JsonStreamError(f"a document exceeds {MAX_DOCUMENT_BYTES} bytes")
