"""What the policy derives from the endpoint list, computed anew from all endpoints.

The policy follows each change instead. Tests compare both.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Collection
from dataclasses import dataclass
from hashlib import blake2b

from http_gateway.policy.endpoint import Endpoint, EndpointId
from http_gateway.policy.settings import Settings
from http_gateway.policy.subsetting import GATEWAYS_PER_ENDPOINT, MIN_SUBSET_SIZE
from http_gateway.policy.zone_weights import zone_weights

MAX_PLAUSIBLE_CAPACITY = 1e6


@dataclass(frozen=True)
class ReferenceWeights:
    """The derived state of one gateway."""

    members: list[EndpointId]
    fallbacks: list[EndpointId]
    slice_count: int
    zone_weights: dict[str, float]
    relative_demand: dict[EndpointId, float]
    warm_capacity: dict[str, float]  # by machine type
    all_warm: bool


def compute_weights(endpoints: Collection[Endpoint], settings: Settings, now_us: int) -> ReferenceWeights:
    """Compute the derived state of a gateway from all ready endpoints."""
    members, fallbacks, slice_count = _choose_subset(endpoints, settings)
    fractions = {endpoint.id: _capacity_fraction(endpoint, settings, now_us) for endpoint in endpoints}
    zone_capacity: defaultdict[str, float] = defaultdict(float)
    total_capacity: defaultdict[str, float] = defaultdict(float)
    warm_capacity: defaultdict[str, float] = defaultdict(float)
    demand: defaultdict[str, float] = defaultdict(float)
    count_weights = zone_weights(Counter(endpoint.zone for endpoint in endpoints), settings)
    for endpoint in endpoints:
        capacity = _capacity(endpoint, settings)
        zone_capacity[endpoint.zone] += fractions[endpoint.id]
        total_capacity[endpoint.machine_type] += capacity
        warm_capacity[endpoint.machine_type] += capacity if fractions[endpoint.id] == 1 else 0
        demand[endpoint.machine_type] += capacity * count_weights[endpoint.zone]
    relative_demand = {
        endpoint.id: _capacity(endpoint, settings)
        * count_weights[endpoint.zone]
        * total_capacity[endpoint.machine_type]
        / demand[endpoint.machine_type]
        * slice_count
        for endpoint in endpoints
    }
    return ReferenceWeights(
        members,
        fallbacks,
        slice_count,
        zone_weights(zone_capacity, settings),
        relative_demand,
        dict(warm_capacity),
        all_warm=min(fractions.values(), default=1) == 1,
    )


def _choose_subset(
    endpoints: Collection[Endpoint], settings: Settings
) -> tuple[list[EndpointId], list[EndpointId], int]:
    total = len(endpoints)
    slice_count = max(1, min(settings.gateway_count // GATEWAYS_PER_ENDPOINT, total // MIN_SUBSET_SIZE))
    round_number, slice_index = divmod(settings.gateway_index, slice_count)
    shuffled = sorted((endpoint.id for endpoint in endpoints), key=lambda id_: _hash(round_number, id_))
    first, end = slice_index * total // slice_count, (slice_index + 1) * total // slice_count
    return shuffled[first:end], shuffled[end:] + shuffled[:first], slice_count


def _hash(round_number: int, endpoint_id: EndpointId) -> int:
    digest = blake2b(f"{round_number} {endpoint_id}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _capacity_fraction(endpoint: Endpoint, settings: Settings, now_us: int) -> float:
    window_us, started_at_us = settings.slow_start_window_us, endpoint.started_at_us
    if not started_at_us or now_us >= started_at_us + window_us:
        return 1.0
    initial = settings.initial_capacity
    return initial + (1 - initial) * max(0, now_us - started_at_us) / window_us


def _capacity(endpoint: Endpoint, settings: Settings) -> float:
    is_plausible = 1 / MAX_PLAUSIBLE_CAPACITY <= endpoint.weight <= MAX_PLAUSIBLE_CAPACITY
    return endpoint.weight if settings.weights_are_capacities and is_plausible else 1.0
