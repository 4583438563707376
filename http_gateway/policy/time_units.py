"""Conversion factors to microseconds, the time unit of the policy."""

from __future__ import annotations

US_PER_MS = 1_000
US_PER_S = 1_000_000
