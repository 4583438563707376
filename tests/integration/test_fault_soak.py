"""A short soak of gateway processes under drawn faults breaks no rule.

The long run has 50 seeds: `python -m tests.soak --seeds 50`.
"""

from __future__ import annotations

import asyncio
from pathlib import Path

from tests.soak.run import run_soak
from tests.support.syscall_faults import build_library

SEEDS = (1, 2, 3, 4)
SECONDS = 12.0


def test_soak_breaks_no_rule(tmp_path: Path) -> None:
    async def run_all() -> dict[int, list[str]]:
        broken = {}
        for seed in SEEDS:
            folder = tmp_path / str(seed)
            folder.mkdir()
            result = await run_soak(seed, SECONDS, folder, library)
            assert result.request_count > 100
            broken[seed] = result.broken
        return broken

    library = build_library(tmp_path)
    assert asyncio.run(run_all()) == {seed: [] for seed in SEEDS}
