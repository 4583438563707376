"""Runs the soak over many seeds: python -m tests.soak --first-seed 1 --seeds 50 --seconds 12."""

from __future__ import annotations

import argparse
import asyncio
import tempfile
from pathlib import Path

from tests.soak.run import SoakResult, run_soak
from tests.support.process_memory import BYTES_PER_MB
from tests.support.syscall_faults import build_library


async def run_seeds(first_seed: int, seeds: int, seconds: float, at_once: int) -> list[SoakResult]:
    """Run the soaks and print each result as it comes."""
    capacity = asyncio.Semaphore(at_once)
    with tempfile.TemporaryDirectory() as folder:
        library = build_library(Path(folder))

        async def run_seed(seed: int) -> SoakResult:
            async with capacity:
                seed_folder = Path(folder) / str(seed)
                seed_folder.mkdir()
                result = await run_soak(seed, seconds, seed_folder, library)
            load = f"{'crowd, ' if result.has_crowd else ''}peak {result.peak_bytes / BYTES_PER_MB:.1f} MB"
            print(f"seed {seed}: {load}, {result.request_count} requests, {result.ends}", end="")
            print(f", broken {len(result.broken)}")
            print("".join(f"  {text}\n" for text in result.broken[:10]), end="", flush=True)
            return result

        return list(await asyncio.gather(*(run_seed(first_seed + number) for number in range(seeds))))


def main() -> int:
    """Run the command line; return 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--at-once", type=int, default=1)
    arguments = parser.parse_args()
    results = asyncio.run(
        run_seeds(arguments.first_seed, arguments.seeds, arguments.seconds, arguments.at_once)
    )
    broken = [result.seed for result in results if result.broken]
    requests = sum(result.request_count for result in results)
    print(f"{len(results)} seeds, {requests} requests, seeds with a broken rule: {broken}")
    return 1 if broken else 0


if __name__ == "__main__":
    raise SystemExit(main())
