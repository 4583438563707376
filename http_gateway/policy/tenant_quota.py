"""Tenant quotas: which requests exceed the quota of their tenant at this gateway."""

from __future__ import annotations

from collections.abc import Mapping

from http_gateway.policy.events import RequestArrived
from http_gateway.policy.time_units import US_PER_S

BURST_S = 5  # A tenant may accumulate its unused quota for this many seconds.


class _TokenBucket:
    __slots__ = ("refilled_at_us", "tokens")

    def __init__(self, tokens: float) -> None:
        self.tokens = tokens  # One token stands for one request.
        self.refilled_at_us = 0


class TenantQuotas:
    """Token buckets, one for each tenant with a quota.

    Args:
        quotas_per_s: The quota of each tenant, in requests per second.
    """

    def __init__(self, quotas_per_s: Mapping[str, float]) -> None:
        self._quotas_per_s = quotas_per_s
        self._buckets = {tenant: _TokenBucket(quota * BURST_S) for tenant, quota in quotas_per_s.items()}

    def is_over_quota(self, request: RequestArrived, now_us: int) -> bool:
        """Count a request and return whether its tenant is over its quota.

        A client retry takes no token, but it is over quota if no token is left.
        """
        bucket = self._buckets.get(request.tenant)
        if bucket is None:
            return False
        rate_per_s = self._quotas_per_s[request.tenant]
        tokens = bucket.tokens + rate_per_s * (now_us - bucket.refilled_at_us) / US_PER_S
        tokens = min(rate_per_s * BURST_S, tokens)
        bucket.tokens = max(0.0, tokens - (not request.is_client_retry))
        bucket.refilled_at_us = now_us
        return tokens < 1
