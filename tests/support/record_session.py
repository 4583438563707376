"""Records sessions of the simulator's wire: plays the scenarios against an adapter and writes both sides.

    python -m tests.support.record_session --folder FOLDER [--working-directory DIRECTORY] -- COMMAND ...

writes `NAME.input.jsonl` and `NAME.output.jsonl` of every scenario. The recorded sessions in `tests/data` pin
the decisions of the policy; record them anew only with an intended change of decisions.
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
    """The adapter ended early, or failed."""


class RecordedSession(NamedTuple):
    """Both sides of a session, as they were on the wire."""

    input: bytes
    output: bytes


class Adapter:
    """A running adapter of the simulator's wire."""

    def __init__(self, source: IO[bytes], sink: IO[bytes]) -> None:
        self._source = source
        self._sink = sink

    def exchange(self, batch: bytes) -> list[bytes]:
        """Send a batch; return the lines of the reply, the last of which acknowledges it.

        Raises `AdapterError` if the output ends before that.
        """
        self._sink.write(batch)
        self._sink.flush()
        reply = []
        for line in self._source:
            reply.append(line)
            if json.loads(line)["verb"] == "ack":
                return reply
        raise AdapterError("the output of the adapter ended inside a reply")


@contextmanager
def running_adapter(command: Sequence[str], working_directory: Path) -> Iterator[Adapter]:
    """Run an adapter; raises `AdapterError` if it does not end well after its input."""
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
        raise AdapterError(f"the adapter ended with exit code {exit_code}")


def encode_batch(number: int, clock_us: int, events: Sequence[WireMessage]) -> bytes:
    """Encode a batch as lines of the wire."""
    messages = [{"verb": "frame", "clock": clock_us, "frame": number}, *events, {"verb": "eob"}]
    return b"".join(json.dumps(message, separators=(",", ":")).encode() + b"\n" for message in messages)


def record(scenario: Scenario, adapter: Adapter) -> RecordedSession:
    """Play a scenario against an adapter; return both sides of the session."""
    model = SessionModel(scenario)
    sent, received = [], []
    for number, events in enumerate(model.batches(), start=1):
        batch = encode_batch(number, model.now_us, events)
        reply = adapter.exchange(batch)
        sent.append(batch)
        received.extend(reply)
        model.take_reply(json.loads(line) for line in reply[:-1])
    return RecordedSession(b"".join(sent), b"".join(received))


def main() -> None:
    """Record every scenario with the adapter that the command line names."""
    parser = argparse.ArgumentParser(description="Record sessions of the simulator's wire.")
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
