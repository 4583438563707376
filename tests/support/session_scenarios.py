"""The scenarios of the recorded sessions, which together cover every message of the simulator protocol."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from tests.support.session_model import SessionModel
from tests.support.session_scenario import (
    CONNECT_FAILED,
    ERROR,
    OK,
    REJECTED,
    RESET,
    TIMEOUT,
    UNKNOWN,
    US_PER_MS,
    ClassTraffic,
    Fault,
    RatePhase,
    Scenario,
    SimulatedEndpoint,
    Step,
)


def _request_class(name: str, effect: str, group: str = "all", **fields: Any) -> dict[str, Any]:
    return {
        "name": name,
        "effect": effect,
        "group": group,
        "onTime": 120 * US_PER_MS,
        "giveUp": 500 * US_PER_MS,
        "keyTtl": 300 * US_PER_MS,
        "worth": 3.0,
        "lateWorth": 0.0,
        "stream": False,
        **fields,
    }


CLASSES = [
    _request_class("page", "idempotent", lateWorth=0.2),
    _request_class("purchase", "at_most_once", worth=8.0),
    _request_class("renewal-all", "deduplicated"),
    _request_class("renewal-zone", "deduplicated", "zone", worth=5.0),
    _request_class("renewal-cell", "deduplicated", "cell", worth=4.0),
    _request_class("feed", "idempotent", stream=True, worth=2.0),
    _request_class("novelty", "an effect of a later version"),
]

SETUP: dict[str, Any] = {
    "balancers": 3,
    "classes": CLASSES,
    "clientHabits": {"marksRetry": True},
    "family": "proxy",
    "familyInfo": {"warmKeys": False},
    "fees": {"crossZone": 0.03, "probe": 0.01},
    "invariants": {
        "answerSlack": 20 * US_PER_MS,
        "coldFrom": 0.15,
        "fall": 600 * US_PER_MS,
        "fallMultiple": 3.0,
        "rampTime": 2_000 * US_PER_MS,
        "stopSendingWithin": 100 * US_PER_MS,
    },
    "locality": "north",
    "permissions": {
        "cancelling": True,
        "dialTimeout": 100 * US_PER_MS,
        "maxAttempts": 4,
        "maxRetryAfter": 2_000 * US_PER_MS,
        "mayDuplicate": True,
        "probes": True,
        "retryAfter": True,
    },
    "registryMode": "automatic",
    "report": {"fields": [], "how": "silent"},
    "tick": 5 * US_PER_MS,
    "weightSource": "silent",
    "zones": ["north", "south"],
}

PAGE_TRAFFIC = ClassTraffic("page", 5.0, 400 * US_PER_MS, retries=True)
PURCHASE_TRAFFIC = ClassTraffic("purchase", 3.0, 400 * US_PER_MS)
RENEWAL_TRAFFIC = tuple(
    ClassTraffic(f"renewal-{scope}", 2.0, 400 * US_PER_MS, has_key=True) for scope in ("all", "zone", "cell")
)
FEED_TRAFFIC = ClassTraffic("feed", 1.5, 400 * US_PER_MS, is_stream=True)
UNLISTED_CLASS_TRAFFIC = ClassTraffic("unlisted", 0.7, 300 * US_PER_MS)
UNKNOWN_EFFECT_TRAFFIC = ClassTraffic("novelty", 0.7, 300 * US_PER_MS)

SESSION_DURATION_US = 3_200 * US_PER_MS


def _at_ms(time_ms: int, change: Callable[[SessionModel], None]) -> Step:
    return Step(time_ms * US_PER_MS, change)


def _fault(
    outcome: int, from_ms: int, until_ms: int, probability: float = 1.0, class_name: str | None = None
) -> Fault:
    return Fault(outcome, from_ms * US_PER_MS, until_ms * US_PER_MS, probability, class_name)


def _mixed_endpoints() -> list[SimulatedEndpoint]:
    faults = {
        0: (_fault(ERROR, 1500, 2400, 0.8, "purchase"),),
        2: (_fault(RESET, 100, 700, 0.8),),
        5: (_fault(TIMEOUT, 1000, 2000, 0.5),),
    }
    return [
        SimulatedEndpoint(
            70_000 + number,
            zone=("north", "south")[number % 2],
            machine_type=("small", "large")[number // 4],
            group=number // 2,
            rating=1.0 + number // 4,
            workers=1 + number // 4,
            faults=faults.get(number, ()),
        )
        for number in range(7)
    ]


def _added_endpoint() -> SimulatedEndpoint:
    return SimulatedEndpoint(70_020, zone="south", machine_type="large", group=None)


ENDPOINT_LISTS = Scenario(
    name="endpoint_lists",
    seed=11,
    duration_us=SESSION_DURATION_US,
    gateway_count=3,
    setup={
        **SETUP,
        "weightSource": "nominal",
        "fees": {"crossZone": 0.0, "probe": 0.01},
        "invariants": {**SETUP["invariants"], "coldFrom": 0.1, "fall": 400 * US_PER_MS, "fallMultiple": 1.5},
    },
    endpoints=_mixed_endpoints,
    traffic=(PAGE_TRAFFIC, PURCHASE_TRAFFIC, *RENEWAL_TRAFFIC, UNKNOWN_EFFECT_TRAFFIC),
    rates=(RatePhase(0, 170.0),),
    steps=(
        _at_ms(300, lambda model: model.list_endpoint(70_001, "LAME")),
        _at_ms(450, lambda model: model.list_endpoint(70_001, "OUT")),
        _at_ms(600, lambda model: model.restart_endpoint(70_001)),
        _at_ms(600, lambda model: model.restart_endpoint(70_005)),
        _at_ms(800, lambda model: model.send_complete_list(70_002)),
        _at_ms(950, lambda model: model.send_list_failure()),
        _at_ms(1050, lambda model: model.list_endpoint(70_004, "NAPPING")),
        _at_ms(1200, lambda model: model.list_endpoint(70_004, "IN", "a kind of a later version")),
        _at_ms(1300, lambda model: model.restart_endpoint(70_006)),
        _at_ms(1400, lambda model: model.add_endpoint(_added_endpoint())),
        _at_ms(1550, lambda model: model.restart_gateway(1)),
        _at_ms(1700, lambda model: model.retire_gateway(2)),
        _at_ms(1900, lambda model: model.move_endpoint(70_005, "north", 0)),
        _at_ms(2000, lambda model: model.configure_gateway(2)),
        _at_ms(2200, lambda model: model.restart_endpoint(70_002)),
        _at_ms(2500, lambda model: model.send_complete_list()),
        _at_ms(2700, lambda model: model.list_endpoint(70_000, "IN", "disk")),
    ),
)


def _overloaded_endpoints() -> list[SimulatedEndpoint]:
    unresponsive = _fault(TIMEOUT, 400, 2000, 1.0, "page")
    refusing = _fault(CONNECT_FAILED, 1900, 2300)
    return [
        SimulatedEndpoint(91, service_time_us=24 * US_PER_MS, workers=1, queue_limit=1),
        SimulatedEndpoint(92, service_time_us=24 * US_PER_MS, workers=1, queue_limit=30, faults=(refusing,)),
        SimulatedEndpoint(
            93, service_time_us=30 * US_PER_MS, workers=1, queue_limit=2, faults=(unresponsive,)
        ),
        SimulatedEndpoint(94, service_time_us=24 * US_PER_MS, workers=1, queue_limit=12),
    ]


OVERLOAD = Scenario(
    name="overload",
    seed=12,
    duration_us=SESSION_DURATION_US,
    gateway_count=2,
    setup={
        **SETUP,
        "balancers": 2,
        "registryMode": "subscribe",
        "permissions": {**SETUP["permissions"], "mayDuplicate": False},
        "realms": [
            {"name": "choir", "allowancePerS": 100.0, "share": 0.8},
            {"name": "band", "allowancePerS": 3.0, "share": 0.2},
        ],
        "overShareWorth": 0.2,
    },
    endpoints=_overloaded_endpoints,
    traffic=(PAGE_TRAFFIC, PURCHASE_TRAFFIC, RENEWAL_TRAFFIC[0]),
    rates=(
        RatePhase(0, 90.0),
        RatePhase(500 * US_PER_MS, 340.0),
        RatePhase(1_400 * US_PER_MS, 90.0),
    ),
    tenants=("choir", "choir", "band"),
    steps=(
        _at_ms(1500, lambda model: model.send_list_failure()),
        _at_ms(1700, lambda model: model.restart_endpoint(91)),
        _at_ms(2900, lambda model: model.list_endpoint(94, "LAME")),
    ),
    failing_watches=2,
)


def _faulty_endpoints() -> list[SimulatedEndpoint]:
    faults: dict[int, tuple[Fault, ...]] = {
        1: (_fault(TIMEOUT, 300, 2800, 0.6),),
        2: (_fault(ERROR, 200, 1400, 0.7), _fault(UNKNOWN, 1400, 2800, 0.7)),
        3: (_fault(CONNECT_FAILED, 200, 900), _fault(REJECTED, 1600, 2600, 0.7)),
        4: (_fault(RESET, 200, 2800, 0.6),),
        5: (_fault(ERROR, 200, 2800, 0.8, "page"),),
        6: (_fault(RESET, 200, 2000, 0.5),),
    }
    return [
        SimulatedEndpoint(
            400 + number,
            zone=("north", "south")[number % 2],
            group=number // 2,
            service_time_us=(12 + 3 * number) * US_PER_MS,
            faults=faults.get(number, ()),
        )
        for number in range(8)
    ]


def _health_check(gateway: int, endpoint_id: int, outcome: int) -> dict[str, Any]:
    return {
        "verb": "probeResult",
        "gateway": gateway,
        "rc": outcome,
        "duration": 9 * US_PER_MS,
        "host": endpoint_id,
        "feedback": {"inflight": 3, "util": 0.4} if outcome == OK else None,
    }


PEER_MESSAGE = {"verb": "peerData", "gateway": 1, "from": 0, "bytes": "68692037"}
UNKNOWN_EVENT = {"verb": "a verb of a later version", "gateway": 0, "corr": 1001}
EXPIRY_OF_UNKNOWN_REQUEST = {"verb": "expired", "gateway": 0, "corr": 4_000_000_000}

REQUEST_CLASSES = Scenario(
    name="request_classes",
    seed=13,
    duration_us=SESSION_DURATION_US,
    gateway_count=2,
    setup={
        **SETUP,
        "balancers": 40,
        "familyInfo": {"warmKeys": True},
        "report": {"fields": ["inflight", "util"], "how": "piggyback"},
    },
    endpoints=_faulty_endpoints,
    traffic=(
        PAGE_TRAFFIC,
        PURCHASE_TRAFFIC,
        *RENEWAL_TRAFFIC,
        FEED_TRAFFIC,
        UNLISTED_CLASS_TRAFFIC,
        UNKNOWN_EFFECT_TRAFFIC,
    ),
    rates=(RatePhase(0, 170.0),),
    steps=(
        _at_ms(700, lambda model: model.send(_health_check(0, 403, CONNECT_FAILED))),
        _at_ms(1000, lambda model: model.send(_health_check(1, 403, OK))),
        _at_ms(1000, lambda model: model.send(_health_check(0, 402, UNKNOWN))),
        _at_ms(1100, lambda model: model.send(PEER_MESSAGE)),
        _at_ms(1200, lambda model: model.send(UNKNOWN_EVENT)),
        _at_ms(1300, lambda model: model.send(EXPIRY_OF_UNKNOWN_REQUEST)),
        _at_ms(1900, lambda model: model.restart_endpoint(405)),
    ),
    disconnect_probability=0.08,
)

SCENARIOS = (ENDPOINT_LISTS, OVERLOAD, REQUEST_CLASSES)
