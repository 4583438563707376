"""Runs the simulator adapter: batches of events on standard input, replies on standard output."""

from __future__ import annotations

import sys

from http_gateway.simulator.instance_server import MalformedInputError, serve


def main() -> int:
    """Serve until the input ends.

    Returns:
        The exit code: 0 at the end of the input, 1 after malformed input.
    """
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedInputError as error:
        print(f"http_gateway.simulator: malformed input: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
