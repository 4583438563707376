"""Records sessions of the simulator protocol by running the scenarios against an adapter.

    python -m tests.support.record_session --folder FOLDER [--working-directory DIRECTORY] -- COMMAND ...

The command writes both directions of every session, as `NAME.input.jsonl` and `NAME.output.jsonl`. The
recorded sessions in `tests/data` are regression tests for the decisions of the policy. Record them again only
if a change of these decisions is intended.
"""

from __future__ import annotations

import argparse
import json
import subprocess
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from typing import IO, NamedTuple

from tests.support.session_model import SessionModel
from tests.support.session_scenario import Scenario, WireMessage
from tests.support.session_scenarios import SCENARIOS

EXIT_TIMEOUT_S = 10.0


class AdapterError(Exception):
    """The adapter exited early or with a failure."""


class RecordedSession(NamedTuple):
    """The bytes of a session in both directions."""

    input: bytes
    output: bytes


class Adapter:
    """A connection to a running simulator adapter."""

    def __init__(self, source: IO[bytes], sink: IO[bytes]) -> None:
        self._source = source
        self._sink = sink

    def exchange(self, batch: bytes) -> list[bytes]:
        """Send a batch of events to the adapter.

        Returns:
            The lines of the reply, the last of which is the acknowledgement.

        Raises:
            AdapterError: The output of the adapter ends before the acknowledgement.
        """
        self._sink.write(batch)
        self._sink.flush()
        reply = []
        for line in self._source:
            reply.append(line)
            if json.loads(line)["verb"] == "ack":
                return reply
        raise AdapterError("the adapter output ended before the acknowledgement of a batch")


@contextmanager
def running_adapter(command: Sequence[str], working_directory: Path) -> Iterator[Adapter]:
    """Run an adapter as a subprocess, and close its input at the end.

    Args:
        command: The command line of the adapter.
        working_directory: The directory in which the adapter runs.

    Yields:
        The running adapter.

    Raises:
        AdapterError: The adapter exits with a code other than 0.
        subprocess.TimeoutExpired: The adapter does not exit within `EXIT_TIMEOUT_S` of the end of its input.
    """
    with subprocess.Popen(
        command, cwd=working_directory, stdin=subprocess.PIPE, stdout=subprocess.PIPE
    ) as process:
        assert process.stdin is not None
        assert process.stdout is not None
        try:
            yield Adapter(process.stdout, process.stdin)
            process.stdin.close()
            exit_code = process.wait(EXIT_TIMEOUT_S)
        finally:
            process.kill()
    if exit_code != 0:
        raise AdapterError(f"the adapter failed with exit code {exit_code}")


def encode_batch(number: int, clock_us: int, events: Sequence[WireMessage]) -> bytes:
    """Encode a batch of events as the JSON lines of the simulator protocol."""
    messages = [{"verb": "frame", "clock": clock_us, "frame": number}, *events, {"verb": "eob"}]
    return b"".join(json.dumps(message, separators=(",", ":")).encode() + b"\n" for message in messages)


def record(scenario: Scenario, adapter: Adapter) -> RecordedSession:
    """Run a scenario against an adapter; return the recorded session."""
    model = SessionModel(scenario)
    sent, received = [], []
    for number, events in enumerate(model.batches(), start=1):
        batch = encode_batch(number, model.now_us, events)
        reply = adapter.exchange(batch)
        sent.append(batch)
        received.extend(reply)
        model.handle_reply(json.loads(line) for line in reply[:-1])
    return RecordedSession(b"".join(sent), b"".join(received))


def main() -> None:
    """Record every scenario with the adapter that the command line specifies."""
    parser = argparse.ArgumentParser(description="Record sessions of the simulator protocol.")
    parser.add_argument("--folder", type=Path, required=True)
    parser.add_argument("--working-directory", type=Path, default=Path.cwd())
    parser.add_argument("command", nargs="+")
    arguments = parser.parse_args()
    for scenario in SCENARIOS:
        with running_adapter(arguments.command, arguments.working_directory) as adapter:
            session = record(scenario, adapter)
        (arguments.folder / f"{scenario.name}.input.jsonl").write_bytes(session.input)
        (arguments.folder / f"{scenario.name}.output.jsonl").write_bytes(session.output)


if __name__ == "__main__":
    main()
