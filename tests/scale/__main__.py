"""Prints what single events cost in milliseconds of processor time: python -m tests.scale."""

from __future__ import annotations

import argparse

from tests.scale.costs import COSTS
from tests.scale.list_stream import STREAMS, measure

DEFAULT_SIZES = (200, 3200, 23_000)


def main() -> int:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=DEFAULT_SIZES, metavar="ENDPOINTS")
    sizes = parser.parse_args().sizes
    print("| milliseconds of processor time | " + " | ".join(f"{size:,}" for size in sizes) + " |")
    for name, cost_ms in COSTS.items():
        print(f"| {name} | " + " | ".join(f"{cost_ms(size):.3f}" for size in sizes) + " |", flush=True)
    print("| longest stop of the event loop, and time until all is applied |")
    for name, (stream, has_list) in STREAMS.items():
        usages = [measure(size, stream, has_list) for size in sizes]
        cells = " | ".join(f"{usage.longest_stop_ms:.1f}, {usage.total_ms:.0f}" for usage in usages)
        print(f"| {name} | {cells} |", flush=True)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
