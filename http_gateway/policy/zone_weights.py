"""Zone preference: what part of a gateway's work is meant for the endpoints of each zone."""

from __future__ import annotations

from collections.abc import Mapping

from http_gateway.policy.settings import Settings


def zone_weights(capacity: Mapping[str, float], settings: Settings) -> dict[str, float]:
    """The part of this gateway's work that is meant for each unit of capacity, by zone.

    Where crossing zones has a cost, work stays in its zone as far as the zone has its part of the fleet's
    capacity, and the remainder goes to zones with more. All zones are taken to have the same traffic.
    With few gateways that is rough, since one zone may have one more of them, so a part of the work that
    shrinks with their number goes to all zones alike.
    """
    total, local = sum(capacity.values()), settings.zone
    if settings.cross_zone_cost <= 0 or local not in capacity:
        return dict.fromkeys(capacity, 1 / total if total else 0.0)
    even_part = total / len(capacity)
    spare = {zone: max(0.0, size - even_part) for zone, size in capacity.items() if zone != local}
    total_spare = sum(spare.values()) or 1
    leaving = max(0.0, even_part - capacity[local]) / even_part * total
    preferred = {zone: leaving * size / total_spare for zone, size in spare.items()}
    preferred[local] = total - leaving
    spread = 1 / settings.gateway_count
    return {
        zone: (spread * size + (1 - spread) * preferred[zone]) / size / total
        for zone, size in capacity.items()
    }
