"""Zone preference: the fraction of a gateway's work that is intended for the endpoints of each zone."""

from __future__ import annotations

from collections.abc import Mapping

from http_gateway.policy.settings import Settings


def zone_weights(capacity: Mapping[str, float], settings: Settings) -> dict[str, float]:
    """Compute the fraction of this gateway's work that is intended for one unit of capacity in each zone.

    If requests to other zones have a cost, work stays in the gateway's zone up to the zone's share of the
    total capacity. The rest goes to the zones with more than an even share of the capacity. This assumes that
    all zones receive the same traffic. With few gateways the assumption is inaccurate, because one zone may
    have one gateway more than another, so the fraction 1 / `gateway_count` of the work is distributed over
    all zones by capacity alone.

    Args:
        capacity: The total capacity of the endpoints in each zone.
        settings: The settings of this gateway.

    Returns:
        The weight of each zone. Weights multiplied by capacities add up to 1, unless there is no capacity.
    """
    total, local_zone = sum(capacity.values()), settings.zone
    if settings.cross_zone_cost <= 0 or local_zone not in capacity:
        return dict.fromkeys(capacity, 1 / total if total else 0.0)
    even_share = total / len(capacity)
    spare = {
        zone: max(0.0, zone_capacity - even_share)
        for zone, zone_capacity in capacity.items()
        if zone != local_zone
    }
    total_spare = sum(spare.values()) or 1
    overflow = max(0.0, even_share - capacity[local_zone]) / even_share * total
    preferred = {zone: overflow * zone_spare / total_spare for zone, zone_spare in spare.items()}
    preferred[local_zone] = total - overflow
    even_fraction = 1 / settings.gateway_count
    return {
        zone: (even_fraction * zone_capacity + (1 - even_fraction) * preferred[zone]) / zone_capacity / total
        for zone, zone_capacity in capacity.items()
    }
