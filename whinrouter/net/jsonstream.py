"""A stream of JSON texts: each is found by its brackets, however it is spaced and wherever it is cut."""

from __future__ import annotations

import re

MAX_TEXT = 4 * 1024 * 1024  # bytes; more than a list of thousands of hosts

# Whole strings, so that brackets in them don't count; a lone quote begins one whose end has not come.
_TOKEN = re.compile(rb'"(?:[^"\\]++|\\.)*+"|[{}\[\]"]', re.DOTALL)


class JsonStream:
    def __init__(self) -> None:
        self._rest = b""
        self._at = 0  # how far that has been looked through
        self._depth = 0

    @property
    def began(self) -> bool:
        """Whether a part of a text has come."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[bytes]:
        """Take what came; return the texts that are now whole. ValueError if it can't be one."""
        self._rest += data
        whole, start, seen = [], 0, len(self._rest)
        for token in _TOKEN.finditer(self._rest, self._at):
            mark = token.group()
            if mark == b'"':
                seen = token.start()
                break
            if mark in (b"{", b"["):
                self._depth += 1
            elif mark in (b"}", b"]"):
                self._depth = max(0, self._depth - 1)
                if not self._depth:
                    whole.append(self._rest[start : token.end()])
                    start = token.end()
        self._rest, self._at = self._rest[start:], seen - start
        if not self._depth:
            if self._rest.strip():
                raise ValueError("what came is neither an object nor a list")
            self._rest, self._at = b"", 0
        if len(self._rest) > MAX_TEXT:
            raise ValueError("a text has no end")
        return whole
