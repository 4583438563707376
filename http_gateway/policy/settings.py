"""Settings of one gateway in the form that the policy uses.

All times are integers in microseconds. `http_gateway.settings_reader` converts the field names of the
protocol to the names used here.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from http_gateway.policy.time_units import US_PER_S


class InvalidSettingsError(ValueError):
    """A setting has a value that the policy does not support.

    Attributes:
        setting: The name of the setting.
        requirement: The condition that its value must meet.
        request_class: The name of the request class that has the setting; None for a setting of the gateway.
    """

    def __init__(self, setting: str, requirement: str, request_class: str | None = None) -> None:
        self.setting = setting
        self.requirement = requirement
        self.request_class = request_class
        suffix = "" if request_class is None else f" (class {request_class!r})"
        super().__init__(f"{setting} must {requirement}{suffix}")


class Idempotency(Enum):
    """The effect of executing a request a second time."""

    IDEMPOTENT = "idempotent"  # A second execution has no further effect.
    # Endpoints of the deduplication scope ignore a repeated idempotency key during the deduplication window.
    IDEMPOTENCY_KEY = "idempotency key"
    # The request must not be executed twice. An unknown value in the settings is read as this one.
    AT_MOST_ONCE = "at most once"


class DeduplicationScope(Enum):
    """The endpoints that share one record of idempotency keys and ignore repeats of a key."""

    ALL = "all"
    ZONE = "zone"
    # A deduplication group, the narrowest scope. An unknown value in the settings is read as this one.
    GROUP = "group"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Settings of one request class.

    Raises:
        InvalidSettingsError: A value is missing or out of its range.
    """

    name: str
    latency_objective_us: int  # A response within this time counts with the full priority weight.
    timeout_us: int  # The longest time that a client waits, including all attempts.
    idempotency: Idempotency = Idempotency.AT_MOST_ONCE
    deduplication_scope: DeduplicationScope = DeduplicationScope.GROUP
    # The deduplication window starts with the first attempt that was possibly executed.
    deduplication_window_us: int = 0
    priority_weight: float = 1.0
    # A response after the latency objective counts with this fraction of the priority weight.
    late_weight: float = 0.0

    def __post_init__(self) -> None:
        for name in ("latency_objective_us", "timeout_us"):
            if getattr(self, name) <= 0:
                raise InvalidSettingsError(name, "be above 0", self.name)
        if self.deduplication_window_us < 0:
            raise InvalidSettingsError("deduplication_window_us", "not be below 0", self.name)


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one gateway.

    Raises:
        InvalidSettingsError: A value is missing or out of its range.
    """

    classes: tuple[RequestClass, ...]
    zone: str = ""
    gateway_count: int = 1  # The number of gateways that send requests to the same endpoints.
    gateway_index: int = 0  # The index of this gateway among all gateways, starting at 0.
    max_attempts: int = 3  # The maximum number of attempts of one request.
    hedging_allowed: bool = False  # A second attempt may start while the first one is in flight.
    cancellation_allowed: bool = False
    health_checks_allowed: bool = False
    retry_after_allowed: bool = False  # The response to a shed request may have a Retry-After header.
    max_retry_after_us: int = 0
    discovery_is_polled: bool = False  # Discovery sends changes of the endpoint list only on request.
    # The gateway must stop sending attempts to an endpoint within this time after the notification that the
    # endpoint is draining.
    drain_grace_us: int = 0
    load_reports_in_responses: bool = False
    load_reports_in_health_checks: bool = False
    key_affinity: bool = False  # An endpoint does less work for a key that it has served recently.
    initial_capacity: float = 1.0  # The minimum capacity of a new endpoint, relative to its full capacity.
    slow_start_window_us: int = 0  # The time from the start of an endpoint to its full capacity.
    # An endpoint that is warming up fails if the work that it receives within overload_window_us is more than
    # overload_factor times the work that it can do in that time at its current capacity.
    overload_factor: float = 4.0
    overload_window_us: int = US_PER_S
    connect_timeout_us: int = US_PER_S // 4
    weights_are_capacities: bool = False  # The listed weight of an endpoint is its capacity.
    cross_zone_cost: float = 0.0
    health_check_cost: float = 0.0
    # The quota of each tenant at this gateway, in requests per second, keyed by the name of the tenant.
    tenant_quotas_per_s: Mapping[str, float] = field(default_factory=dict)
    # A request over the quota of its tenant counts with this fraction of its priority weight.
    over_quota_weight: float = 1.0

    def __post_init__(self) -> None:
        if not self.classes:
            raise InvalidSettingsError("classes", "name at least one class")
        for name in ("gateway_count", "max_attempts"):
            if getattr(self, name) < 1:
                raise InvalidSettingsError(name, "be at least 1")
        if not 0 < self.initial_capacity <= 1:
            raise InvalidSettingsError("initial_capacity", "be above 0 and at most 1")
        for name in ("overload_factor", "overload_window_us"):
            if getattr(self, name) <= 0:
                raise InvalidSettingsError(name, "be above 0")
        for name in ("max_retry_after_us", "slow_start_window_us", "drain_grace_us", "connect_timeout_us"):
            if getattr(self, name) < 0:
                raise InvalidSettingsError(name, "not be below 0")
