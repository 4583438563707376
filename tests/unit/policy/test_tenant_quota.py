"""Tenant quotas: which requests are over the quota of their tenant."""

from __future__ import annotations

from http_gateway.policy.events import RequestArrived
from http_gateway.policy.tenant_quota import BURST_S, TenantQuotas
from http_gateway.policy.time_units import US_PER_S

QUOTA_PER_S = 2.0
BURST_REQUESTS = round(QUOTA_PER_S * BURST_S)


def request(tenant: str = "tenant", is_client_retry: bool = False) -> RequestArrived:
    return RequestArrived(1, "read", US_PER_S, is_client_retry=is_client_retry, tenant=tenant)


def quotas_after_burst(now_us: int = 0) -> TenantQuotas:
    """Return quotas whose only tenant has used up its whole burst."""
    quotas = TenantQuotas({"tenant": QUOTA_PER_S})
    assert not any(quotas.is_over_quota(request(), now_us) for _ in range(BURST_REQUESTS))
    return quotas


def test_request_beyond_the_burst_is_over_quota() -> None:
    assert quotas_after_burst().is_over_quota(request(), 0)


def test_quota_is_refilled_at_its_rate() -> None:
    quotas = quotas_after_burst()
    assert not quotas.is_over_quota(request(), round(US_PER_S / QUOTA_PER_S))
    assert quotas.is_over_quota(request(), round(US_PER_S / QUOTA_PER_S))


def test_unused_quota_accumulates_only_up_to_the_burst() -> None:
    assert quotas_after_burst(now_us=3600 * US_PER_S).is_over_quota(request(), 3600 * US_PER_S)


def test_client_retries_use_no_quota() -> None:
    quotas = TenantQuotas({"tenant": QUOTA_PER_S})
    for _ in range(2 * BURST_REQUESTS):
        assert not quotas.is_over_quota(request(is_client_retry=True), 0)
    assert not any(quotas.is_over_quota(request(), 0) for _ in range(BURST_REQUESTS))
    assert quotas.is_over_quota(request(is_client_retry=True), 0)


def test_tenant_without_a_quota_is_never_over_it() -> None:
    quotas = quotas_after_burst()
    assert not any(quotas.is_over_quota(request(tenant="other"), 0) for _ in range(100))
