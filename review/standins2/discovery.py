"""A discovery service: `GET /discovery/hosts?watch=1&from=REVISION` as PROTOCOL describes it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import math
import re
import time
from typing import Any

from standins2.gateways import CannotRunError
from standins2.record import Record

LINE_INTERVAL_S = 2.0  # PROTOCOL: as long as nothing changes, an empty line arrives every 2 s
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


def _chunk(content: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(content), content)


class Catalog:
    """The hosts that discovery knows, with a revision for each change."""

    def __init__(self) -> None:
        self.revision = 1
        self._entries: dict[str, dict[str, Any]] = {}
        self._changed_in: dict[str, int] = {}  # the latest change last

    def add(self, entry: dict[str, Any]) -> None:
        """Add a host."""
        self._change(entry)

    def start(self, entry: dict[str, Any]) -> None:
        """Add a host in a revision of its own."""
        self.revision += 1
        self.add(entry)

    def set_phase(self, host_ids: list[str], phase: str) -> None:
        """Change the phase of some hosts in one revision."""
        self.revision += 1
        for host_id in host_ids:
            self._change({**self._entries[host_id], "phase": phase})

    def _change(self, entry: dict[str, Any]) -> None:
        host_id = entry["id"]
        self._entries[host_id] = entry
        self._changed_in.pop(host_id, None)
        self._changed_in[host_id] = self.revision

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list."""
        members = [entry for entry in self._entries.values() if entry["phase"] != "Gone"]
        return {"revision": self.revision, "complete": True, "members": members}

    def changes(self, after: int) -> dict[str, Any]:
        """Return the entries that have changed after a revision."""
        members = []
        for host_id in reversed(self._changed_in):
            if self._changed_in[host_id] <= after:
                break
            members.append(self._entries[host_id])
        return {"revision": self.revision, "complete": False, "members": members}


class _Watch:
    """One open watch."""

    def __init__(self, writer: asyncio.StreamWriter, revision: int, serial: int) -> None:
        self.writer = writer
        self.revision = revision
        self.serial = serial
        self.last_line_at_s = 0.0
        self.is_silent = False

    def write(self, content: bytes) -> None:
        """Write a part of the list."""
        self.writer.write(_chunk(content))
        self.last_line_at_s = time.time()


class Discovery:
    """Serves a catalog; may answer calls late, and may let its open watches fall silent.

    Attributes:
        answer_after_s: How long a call waits in turn before it is answered.
        told_at_s: For each revision, the times at which it was written to a watch.
        watches: The open watches.
    """

    def __init__(self, name: str, catalog: Catalog, record: Record) -> None:
        self._name = name
        self._catalog = catalog
        self._record = record
        self._server: asyncio.Server | None = None
        self._call_count = 0
        self.answer_after_s = 0.0
        self.watches: list[_Watch] = []
        self.told_at_s: list[tuple[float, int, int]] = []

    @property
    def address(self) -> str:
        """The address on which it listens."""
        assert self._server is not None
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    def written_at_s(self, revision: int) -> float:
        """Return when a revision was first written to a watch; infinity if it was not."""
        return min((at_s for at_s, _, written in self.told_at_s if written >= revision), default=math.inf)

    def publish(self) -> None:
        """Write what has changed to all open watches that are not silent."""
        for watch in self.watches:
            if not watch.is_silent:
                self._write_list(watch, self._catalog.changes(watch.revision))

    def last_line_at_s(self) -> float:
        """Return when the latest line was written to the open watch.

        Raises:
            CannotRunError: There is not exactly one open watch.
        """
        if len(self.watches) != 1:
            raise CannotRunError(f"{self._name} has {len(self.watches)} open watches")
        return self.watches[0].last_line_at_s

    def silence(self) -> None:
        """Let all open watches fall silent: nothing more is written to them, and they stay open."""
        for watch in self.watches:
            watch.is_silent = True
            self._record.add(f"{self._name}: watch {watch.serial} falls silent")

    def stop_accepting(self) -> None:
        """Accept no further connection; the open ones stay open."""
        assert self._server is not None
        self._server.close()

    def close_connections(self) -> None:
        """Close the open watches."""
        for watch in self.watches:
            watch.writer.close()

    def _write_list(self, watch: _Watch, document: dict[str, Any]) -> None:
        watch.write(json.dumps(document).encode() + b"\n")
        watch.revision = document["revision"]
        self.told_at_s.append((time.time(), watch.serial, watch.revision))
        self._record.add(
            f"{self._name}: watch {watch.serial} is sent revision {watch.revision}"
            f" complete={document['complete']} members={len(document['members'])}"
        )

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self._call_count += 1
                serial = self._call_count
                found = re.search(rb"[?&]from=(\d+)", head)
                revision = int(found.group(1)) if found else 0
                self._record.add(f"{self._name}: call {serial} from={revision} begins")
                await asyncio.sleep(self.answer_after_s)
                if reader.at_eof():
                    self._record.add(f"{self._name}: call {serial} was given up before its answer")
                    break
                await self._watch(_Watch(writer, revision, serial))
        writer.close()

    async def _watch(self, watch: _Watch) -> None:
        self._record.add(f"{self._name}: call {watch.serial} from={watch.revision} is accepted")
        watch.writer.write(HEAD)
        if watch.revision == 0:
            self._write_list(watch, self._catalog.whole_list())
        else:
            self._write_list(watch, self._catalog.changes(watch.revision))
        self.watches.append(watch)
        try:
            while not watch.writer.is_closing():
                wait_s = watch.last_line_at_s + LINE_INTERVAL_S - time.time()
                if wait_s > 0 or watch.is_silent:
                    await asyncio.sleep(min(max(wait_s, 0.02), 0.02))
                    continue
                watch.write(b"\n")
                await watch.writer.drain()
        finally:
            self.watches.remove(watch)
            self._record.add(f"{self._name}: watch {watch.serial} has ended")
