"""The simulator's adapter: reads batches on standard input, writes replies on standard output."""

from __future__ import annotations

import sys

from http_gateway.simulator.instance_server import MalformedInputError, serve


def main() -> int:
    """Serve until the input ends; return the exit code, 1 after malformed input."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MalformedInputError as error:
        print(f"http_gateway.simulator: malformed input: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
