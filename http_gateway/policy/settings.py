"""Settings of one gateway, as the policy uses them.

All times are whole microseconds. `http_gateway.settings_reader` maps the field names of the protocol to the
names used here.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from http_gateway.policy.time_units import US_PER_S


class InvalidSettingsError(ValueError):
    """A setting has a value that the policy cannot work with."""

    def __init__(self, setting: str, requirement: str, request_class: str | None = None) -> None:
        self.setting = setting
        self.requirement = requirement
        self.request_class = request_class
        suffix = "" if request_class is None else f" (class {request_class!r})"
        super().__init__(f"{setting} must {requirement}{suffix}")


class Idempotency(Enum):
    """What executing a request a second time does."""

    IDEMPOTENT = "idempotent"  # no further effect
    IDEMPOTENCY_KEY = "idempotency key"  # a group of endpoints drops repeats of the key for a while
    AT_MOST_ONCE = "at most once"  # it must not happen; anything unknown is read as this


class DeduplicationScope(Enum):
    """Which endpoints drop repeats of an idempotency key."""

    ALL = "all"
    ZONE = "zone"
    GROUP = "group"  # a deduplication group, the narrowest scope; anything unknown is read as this


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of request; raises `InvalidSettingsError`."""

    name: str
    latency_objective_us: int  # a response within this time counts with the full priority weight
    timeout_us: int  # a client waits no longer than this, all its attempts together
    idempotency: Idempotency = Idempotency.AT_MOST_ONCE
    deduplication_scope: DeduplicationScope = DeduplicationScope.GROUP
    deduplication_window_us: int = 0  # from the start of the first attempt that was possibly executed
    priority_weight: float = 1.0
    late_weight: float = 0.0  # fraction of the priority weight for a response after the latency objective

    def __post_init__(self) -> None:
        for name in ("latency_objective_us", "timeout_us"):
            if getattr(self, name) <= 0:
                raise InvalidSettingsError(name, "be above 0", self.name)
        if self.deduplication_window_us < 0:
            raise InvalidSettingsError("deduplication_window_us", "not be below 0", self.name)


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one gateway; raises `InvalidSettingsError`."""

    classes: tuple[RequestClass, ...]
    zone: str = ""
    gateway_count: int = 1  # gateways that send to the same endpoints
    gateway_index: int = 0  # the number of this gateway among them, from 0
    max_attempts: int = 3  # of one request
    hedging_allowed: bool = False  # a second attempt may start while the first is in flight
    cancellation_allowed: bool = False
    health_checks_allowed: bool = False
    retry_after_allowed: bool = False  # shed responses may have Retry-After
    max_retry_after_us: int = 0
    discovery_is_polled: bool = False  # discovery sends changes only when requested to
    drain_grace_us: int = 0  # attempts at a draining endpoint are tolerated for this long after notification
    load_reports_in_responses: bool = False
    load_reports_in_health_checks: bool = False
    key_affinity: bool = False  # an endpoint that has served a key lately does less work for it
    initial_capacity: float = 1.0  # least fraction of its capacity that a starting endpoint has
    slow_start_window_us: int = 0  # after this it has its full capacity
    overload_factor: float = 4.0  # sent more than this multiple of its present capacity
    overload_window_us: int = US_PER_S  # for this long, an endpoint that is warming up falls over
    connect_timeout_us: int = US_PER_S // 4
    weights_are_capacities: bool = False  # the weight of an endpoint is its capacity
    cross_zone_cost: float = 0.0
    health_check_cost: float = 0.0
    tenant_quotas_per_s: Mapping[str, float] = field(default_factory=dict)  # at this gateway, in requests
    over_quota_weight: float = 1.0  # fraction of the priority weight of a request over its tenant's quota

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
