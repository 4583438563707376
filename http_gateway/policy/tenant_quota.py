"""Tenant quotas: which requests are over the share of their tenant at this gateway."""

from __future__ import annotations

from collections.abc import Mapping

from http_gateway.policy.events import RequestArrived
from http_gateway.policy.time_units import US_PER_S

BURST_S = 5  # seconds of its quota that a tenant may save up


class _QuotaBucket:
    __slots__ = ("refilled_at_us", "tokens")

    def __init__(self, tokens: float) -> None:
        self.tokens = tokens  # requests
        self.refilled_at_us = 0


class TenantQuotas:
    """A token bucket for each tenant with a quota."""

    def __init__(self, quotas_per_s: Mapping[str, float]) -> None:
        self._quotas_per_s = quotas_per_s
        self._buckets = {tenant: _QuotaBucket(quota * BURST_S) for tenant, quota in quotas_per_s.items()}

    def is_over_quota(self, request: RequestArrived, now_us: int) -> bool:
        """Count a request; return whether its tenant is over its quota. Client retries take no token."""
        bucket = self._buckets.get(request.tenant)
        if bucket is None:
            return False
        rate = self._quotas_per_s[request.tenant]
        tokens = bucket.tokens + rate * (now_us - bucket.refilled_at_us) / US_PER_S
        tokens = min(rate * BURST_S, tokens)
        bucket.tokens = max(0.0, tokens - (not request.is_client_retry))
        bucket.refilled_at_us = now_us
        return tokens < 1
