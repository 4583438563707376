"""Totals over the ready endpoints, kept up to date with each endpoint that is added, removed or warmed up.

Every total is a sum of integers. Adding and removing an endpoint is therefore exact, so after any number of
changes a total is the sum over the endpoints that are left, whatever their order was.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum, auto

from http_gateway.policy.endpoint import Endpoint, EndpointId
from http_gateway.policy.settings import Settings

MAX_PLAUSIBLE_CAPACITY = 1e6  # a listed capacity above this, or below its inverse, is treated as an error
# Capacities are added up as multiples of 1 / CAPACITY_UNITS. Every plausible capacity is a whole number of
# units, as the lowest bit of a float above 1e-6 is worth at least 2 ** -72.
CAPACITY_UNITS = 2**72

# An endpoint that is not warm, ordered by its start: start time in microseconds, id, and list entry.
_WarmUpEntry = tuple[int, EndpointId, Endpoint]


class WarmUpStage(Enum):
    """How far an endpoint has warmed up."""

    NOT_STARTED = auto()  # its start time is in the future
    WARMING_UP = auto()
    WARM = auto()


def warm_up_stage(endpoint: Endpoint, settings: Settings, now_us: int) -> WarmUpStage:
    """Return how far an endpoint has warmed up.

    Args:
        endpoint: The endpoint as listed.
        settings: The settings, with the slow start window and the initial capacity.
        now_us: The current time in microseconds.
    """
    window_us, started_at_us = settings.slow_start_window_us, endpoint.started_at_us
    has_slow_start = window_us > 0 and settings.initial_capacity < 1
    if not has_slow_start or not started_at_us or now_us >= started_at_us + window_us:
        return WarmUpStage.WARM
    return WarmUpStage.WARMING_UP if now_us >= started_at_us else WarmUpStage.NOT_STARTED


def full_capacity(endpoint: Endpoint, settings: Settings) -> float:
    """Return the capacity of a warm endpoint relative to others; 1 if no plausible capacity is listed."""
    weight = endpoint.weight
    if settings.weights_are_capacities and 1 / MAX_PLAUSIBLE_CAPACITY <= weight <= MAX_PLAUSIBLE_CAPACITY:
        return weight
    return 1.0


@dataclass(slots=True)
class _ZoneTotals:
    """The endpoints of one zone."""

    endpoint_count: int = 0
    not_started_count: int = 0
    warming_up_count: int = 0
    warming_up_started_at_sum_us: int = 0  # sum of the start times of the endpoints that are warming up

    def add_warming_up(self, started_at_us: int) -> None:
        """Add an endpoint that is warming up."""
        self.warming_up_count += 1
        self.warming_up_started_at_sum_us += started_at_us

    def remove_warming_up(self, started_at_us: int) -> None:
        """Remove an endpoint that was warming up."""
        self.warming_up_count -= 1
        self.warming_up_started_at_sum_us -= started_at_us


@dataclass(slots=True)
class _MachineTypeTotals:
    """The full capacities of the endpoints of one machine type, in units of 1 / `CAPACITY_UNITS`."""

    warm_units: int = 0
    units_by_zone: dict[str, int] = field(default_factory=dict)

    def add_units(self, zone: str, units: int) -> None:
        """Add an endpoint of a zone, warm or not."""
        self.units_by_zone[zone] = self.units_by_zone.get(zone, 0) + units

    def remove_units(self, zone: str, units: int) -> None:
        """Remove an endpoint of a zone, and the zone with its last endpoint."""
        self.units_by_zone[zone] -= units
        if not self.units_by_zone[zone]:  # every endpoint has more than 0 units
            del self.units_by_zone[zone]


class CapacityTotals:
    """Counts and capacities of the ready endpoints by zone and by machine type.

    Args:
        settings: The settings, with slow start and the meaning of the listed weights.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._now_us = 0
        self._zones: dict[str, _ZoneTotals] = {}
        self._machine_types: dict[str, _MachineTypeTotals] = {}
        self._changed_machine_types: set[str] = set()
        self._not_started: list[_WarmUpEntry] = []
        self._warming_up: list[_WarmUpEntry] = []
        self._revision = 0

    @property
    def revision(self) -> int:
        """A number that changes whenever an endpoint is added or removed."""
        return self._revision

    @property
    def all_warm(self) -> bool:
        """Whether every endpoint was warm at the time of the last call of `advance`."""
        return not self._warming_up and not self._not_started

    def advance(self, now_us: int) -> None:
        """Move the time of the totals forward, and account for the endpoints that have warmed up since.

        Args:
            now_us: The current time in microseconds; never earlier than in the previous call.
        """
        self._now_us = now_us
        for endpoint in _remove_started_until(self._not_started, now_us):
            self._zones[endpoint.zone].not_started_count -= 1
            self._add_warming_up(endpoint)
        for endpoint in _remove_started_until(self._warming_up, now_us - self._settings.slow_start_window_us):
            self._zones[endpoint.zone].remove_warming_up(endpoint.started_at_us)
            self._machine_types[endpoint.machine_type].warm_units += self._units(endpoint)
            self._changed_machine_types.add(endpoint.machine_type)

    def add(self, endpoint: Endpoint) -> None:
        """Add a ready endpoint."""
        self._mark_changed(endpoint)
        units = self._units(endpoint)
        machine_type = self._machine_types.get(endpoint.machine_type)
        if machine_type is None:
            machine_type = self._machine_types[endpoint.machine_type] = _MachineTypeTotals()
        machine_type.add_units(endpoint.zone, units)
        zone = self._zones.get(endpoint.zone)
        if zone is None:
            zone = self._zones[endpoint.zone] = _ZoneTotals()
        zone.endpoint_count += 1
        match self._stage(endpoint):
            case WarmUpStage.WARM:
                machine_type.warm_units += units
            case WarmUpStage.WARMING_UP:
                self._add_warming_up(endpoint)
            case WarmUpStage.NOT_STARTED:
                zone.not_started_count += 1
                insort(self._not_started, _warm_up_entry(endpoint))

    def remove(self, endpoint: Endpoint) -> None:
        """Remove an endpoint that was added with this list entry."""
        self._mark_changed(endpoint)
        units = self._units(endpoint)
        machine_type = self._machine_types[endpoint.machine_type]
        zone = self._zones[endpoint.zone]
        match self._stage(endpoint):
            case WarmUpStage.WARM:
                machine_type.warm_units -= units
            case WarmUpStage.WARMING_UP:
                zone.remove_warming_up(endpoint.started_at_us)
                _remove_entry(self._warming_up, endpoint)
            case WarmUpStage.NOT_STARTED:
                zone.not_started_count -= 1
                _remove_entry(self._not_started, endpoint)
        machine_type.remove_units(endpoint.zone, units)
        if not machine_type.units_by_zone:
            del self._machine_types[endpoint.machine_type]
        zone.endpoint_count -= 1
        if not zone.endpoint_count:
            del self._zones[endpoint.zone]

    def endpoints_by_zone(self) -> dict[str, int]:
        """Return the number of endpoints in each zone."""
        return {name: zone.endpoint_count for name, zone in self._zones.items()}

    def capacity_by_zone(self) -> dict[str, float]:
        """Return the capacity of each zone at the time of the last call of `advance`.

        The unit is one warm endpoint. The listed capacities do not count here.
        """
        return {name: self._zone_capacity(zone) for name, zone in self._zones.items()}

    def capacity_by_type_and_zone(self, machine_type: str) -> Mapping[str, float]:
        """Return the full capacity of the endpoints of a machine type, by zone."""
        units_by_zone = self._machine_types[machine_type].units_by_zone
        return {zone: units / CAPACITY_UNITS for zone, units in units_by_zone.items()}

    def warm_capacity(self, machine_type: str) -> float | None:
        """Return the capacity of the warm endpoints of a machine type; None if it has no endpoint at all."""
        totals = self._machine_types.get(machine_type)
        return None if totals is None else totals.warm_units / CAPACITY_UNITS

    def take_changed_machine_types(self) -> set[str]:
        """Return the machine types whose totals have changed since the last call."""
        changed, self._changed_machine_types = self._changed_machine_types, set()
        return changed

    def _zone_capacity(self, zone: _ZoneTotals) -> float:
        cold_count = zone.not_started_count + zone.warming_up_count
        warm_count = zone.endpoint_count - cold_count
        if not cold_count:
            return float(warm_count)
        initial = self._settings.initial_capacity
        age_sum_us = zone.warming_up_count * self._now_us - zone.warming_up_started_at_sum_us
        gained = (1 - initial) * (age_sum_us / self._settings.slow_start_window_us)
        return warm_count + initial * cold_count + gained

    def _stage(self, endpoint: Endpoint) -> WarmUpStage:
        return warm_up_stage(endpoint, self._settings, self._now_us)

    def _units(self, endpoint: Endpoint) -> int:
        return int(full_capacity(endpoint, self._settings) * CAPACITY_UNITS)

    def _add_warming_up(self, endpoint: Endpoint) -> None:
        self._zones[endpoint.zone].add_warming_up(endpoint.started_at_us)
        insort(self._warming_up, _warm_up_entry(endpoint))

    def _mark_changed(self, endpoint: Endpoint) -> None:
        self._revision += 1
        self._changed_machine_types.add(endpoint.machine_type)


def _warm_up_entry(endpoint: Endpoint) -> _WarmUpEntry:
    return endpoint.started_at_us, endpoint.id, endpoint


def _remove_entry(entries: list[_WarmUpEntry], endpoint: Endpoint) -> None:
    # Ids are unique, so the comparison never reaches the list entry.
    del entries[bisect_left(entries, _warm_up_entry(endpoint))]


def _remove_started_until(entries: list[_WarmUpEntry], until_us: int) -> list[Endpoint]:
    """Remove and return the endpoints that started at a time or earlier, in the order of their start."""
    end = bisect_right(entries, until_us, key=lambda entry: entry[0])
    due = [endpoint for _, _, endpoint in entries[:end]]
    del entries[:end]
    return due
