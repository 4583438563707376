"""Which servers a balancer keeps to, and what part of its work each is meant to get; no clock and no I/O."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from math import log

from whinrouter.host import Host
from whinrouter.interface import ServerId, Settings

FAN_IN = 20  # balancers that share a server, where there are more
LEAST_SUBSET = 4  # servers that a balancer keeps to at least

_HIGHEST = 2**64


def rank(key: str, server: ServerId) -> int:
    """A number that is random, but the same everywhere for this key and server."""
    return int.from_bytes(blake2b(f"{key} {server}".encode(), digest_size=8).digest(), "big")


def by_key(key: str, hosts: Iterable[Host]) -> list[Host]:
    """Servers in the order in which they serve a key; over all keys, each stands first as its weight says."""
    return sorted(hosts, key=lambda host: -log((rank(key, host.info.id) + 1) / _HIGHEST) / host.weight)


@dataclass(frozen=True, slots=True)
class Subset:
    """What a balancer keeps to."""

    own: list[Host]
    others: list[Host]  # in the order in which they stand in
    slices: int  # one in so many balancers keeps to a server


def zone_weights(capacity: Mapping[str, float], settings: Settings) -> dict[str, float]:
    """The part of this balancer's work that is meant for each unit of capacity, by zone.

    Where crossing zones has its price, work stays in its zone as far as the zone has its part of the fleet's
    capacity; the rest goes where there is more than that. All zones are taken to ask for the same. With few
    balancers that is rough, as one zone may have one more of them: so much of the work goes wherever it can.
    """
    total, here = sum(capacity.values()), settings.zone
    if settings.cross_zone_price <= 0 or here not in capacity:
        return dict.fromkeys(capacity, 1 / total if total else 0.0)
    equal = total / len(capacity)
    spare = {zone: max(0.0, held - equal) for zone, held in capacity.items() if zone != here}
    away = max(0.0, equal - capacity[here]) / equal * total
    meant = {zone: away * more / (sum(spare.values()) or 1) for zone, more in spare.items()}
    meant[here] = total - away
    rough = 1 / settings.balancers
    return {
        zone: (rough * held + (1 - rough) * meant[zone]) / held / total for zone, held in capacity.items()
    }


def weigh(warmth: Mapping[Host, float], settings: Settings) -> None:
    """Set what part of this balancer's work is meant for each server, per unit of its warmth."""
    capacity: dict[str, float] = {}
    for host, part in warmth.items():
        capacity[host.info.zone] = capacity.get(host.info.zone, 0.0) + part
    weights = zone_weights(capacity, settings)
    for host in warmth:
        host.weight = weights[host.info.zone]


def subset(hosts: Collection[Host], settings: Settings) -> Subset:
    """The servers that a balancer keeps to, and the others.

    Hundreds of balancers with a connection each fill every server's table, and the rest cannot connect.
    Balancers in turn cut the same shuffled ring into equal slices, so each server serves as many of them.
    """
    known = len(hosts)
    slices = max(1, min(settings.balancers // FAN_IN, known // LEAST_SUBSET))
    turn, place = divmod(settings.rank, slices)
    ring = sorted(hosts, key=lambda host: rank(str(turn), host.info.id))
    first, end = place * known // slices, (place + 1) * known // slices
    for number, host in enumerate(ring):
        host.own = first <= number < end
    return Subset(ring[first:end], ring[end:] + ring[:first], slices)
