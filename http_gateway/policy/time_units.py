"""Conversion factors for the policy's unit of time, the microsecond."""

from __future__ import annotations

US_PER_MS = 1_000
US_PER_S = 1_000_000
