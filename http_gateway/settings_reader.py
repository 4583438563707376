"""Converts the settings object of the protocol to the settings of the policy.

A gateway reads the object from its configuration. A simulated instance receives it in its `configure`
message. Only this module knows the protocol's field names for settings.
"""

from __future__ import annotations

from http_gateway.json_fields import JsonFields
from http_gateway.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings
from http_gateway.policy.time_units import US_PER_S

_IDEMPOTENCY = {
    "idempotent": Idempotency.IDEMPOTENT,
    "deduplicated": Idempotency.IDEMPOTENCY_KEY,
    "at_most_once": Idempotency.AT_MOST_ONCE,
}
_DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.GROUP,
}
_CAPACITY_WEIGHT_SOURCES = ("nominal", "rough")  # weight sources that list capacities


def read_settings(value: object, path: str = "settings") -> Settings:
    """Convert a decoded settings object.

    Args:
        value: The decoded object; its times are integers in microseconds.
        path: The path of the object in its document, for error messages.

    Returns:
        The settings, with the default for each optional field that is missing or empty.

    Raises:
        FieldError: A field cannot be converted to its type.
        InvalidSettingsError: The policy does not support a value.
    """
    fields = JsonFields(value, path)
    permissions = fields.child("permissions")
    invariants = fields.child("invariants")
    fees = fields.child("fees")
    reports = fields.child("report").value("how")
    gateway_count = fields.integer("balancers", 1)
    over_quota_weight = fields.optional_number("overShareWorth")
    return Settings(
        classes=tuple(_read_request_class(entry) for entry in fields.children("classes")),
        zone=fields.text("locality"),
        gateway_count=gateway_count,
        gateway_index=fields.integer("rank"),
        max_attempts=permissions.integer("maxAttempts", 1),
        hedging_allowed=permissions.flag("mayDuplicate"),
        cancellation_allowed=permissions.flag("cancelling"),
        health_checks_allowed=permissions.flag("probes"),
        retry_after_allowed=permissions.flag("retryAfter"),
        max_retry_after_us=permissions.integer("maxRetryAfter"),
        discovery_is_polled=fields.value("registryMode") == "subscribe",
        drain_grace_us=invariants.integer("stopSendingWithin"),
        load_reports_in_responses=reports == "piggyback",
        load_reports_in_health_checks=reports in ("piggyback", "pull"),
        key_affinity=fields.child("familyInfo").flag("warmKeys"),
        initial_capacity=invariants.number("coldFrom", 1.0),
        slow_start_window_us=invariants.integer("rampTime"),
        overload_factor=invariants.number("fallMultiple", 1.0),
        overload_window_us=invariants.integer("fall", US_PER_S),
        connect_timeout_us=permissions.integer("dialTimeout", US_PER_S // 4),
        weights_are_capacities=fields.value("weightSource") in _CAPACITY_WEIGHT_SOURCES,
        cross_zone_cost=fees.number("crossZone"),
        health_check_cost=fees.number("probe"),
        tenant_quotas_per_s=_read_tenant_quotas(fields, gateway_count),
        over_quota_weight=1.0 if over_quota_weight is None else over_quota_weight,
    )


def _read_tenant_quotas(fields: JsonFields, gateway_count: int) -> dict[str, float]:
    """Return this gateway's equal share of each tenant's quota, in requests per second."""
    return {
        str(tenant.value("name")): tenant.number("allowancePerS") / gateway_count
        for tenant in fields.children("realms")
        if tenant.value("allowancePerS")
    }


def _read_request_class(fields: JsonFields) -> RequestClass:
    return RequestClass(
        name=str(fields.value("name")),
        latency_objective_us=fields.integer("onTime"),
        timeout_us=fields.integer("giveUp"),
        idempotency=_IDEMPOTENCY.get(str(fields.value("effect")), Idempotency.AT_MOST_ONCE),
        deduplication_scope=_DEDUPLICATION_SCOPES.get(str(fields.value("group")), DeduplicationScope.GROUP),
        deduplication_window_us=fields.integer("keyTtl"),
        priority_weight=fields.number("worth"),
        late_weight=fields.number("lateWorth"),
    )
