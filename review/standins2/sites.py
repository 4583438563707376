"""Settings of small deployments, with the figures of their site files."""

from __future__ import annotations

from typing import Any

from standins2.clients import RequestKind

KWELA_ZONES = ("harbour-road", "inanda-ridge", "stanger-street")
COLOMBO_ZONES = ("colombo-fort", "kandy-road", "negombo")

KWELA_KINDS = (
    RequestKind("warning-notice", "at_most_once", 1.1, "roads"),
    RequestKind("catchment-run", "deduplicated", 2.2, "roads"),
)
COLOMBO_KINDS = (
    RequestKind("lookup", "idempotent", 1.2, "fort"),
    RequestKind("report", "idempotent", 2.0, "fort"),
    RequestKind("certify", "at_most_once", 1.2, "kandy"),
    RequestKind("ingest", "deduplicated", 1.5, "kandy"),
)


def _request_class(
    name: str, effect: str, times_ms: tuple[int, int, int], worth: float, group: str
) -> dict[str, Any]:
    on_time, give_up, key_ttl = (1000 * time_ms for time_ms in times_ms)
    return {
        "name": name,
        "effect": effect,
        "onTime": on_time,
        "giveUp": give_up,
        "keyTtl": key_ttl,
        "group": group,
        "worth": worth,
        "lateWorth": 0.0,
        "stream": False,
    }


def kwela_forecast(rank: int, balancers: int) -> dict[str, Any]:
    """Return the settings of a gateway of kwela-forecast."""
    return {
        "balancers": balancers,
        "rank": rank,
        "classes": [
            _request_class("warning-notice", "at_most_once", (500, 2000, 5000), 3.0, "all"),
            _request_class("catchment-run", "deduplicated", (2000, 4000, 4000), 9.0, "all"),
        ],
        "family": "proxy",
        "fees": {"crossZone": 0.03, "lateFail": 0.023, "probe": 0.01, "waste": 0.015},
        "invariants": {
            "answerSlack": 20_000,
            "coldFrom": 0.15,
            "fall": 2_000_000,
            "fallMultiple": 3.0,
            "rampTime": 24_000_000,
            "stopSendingWithin": 250_000,
        },
        "locality": KWELA_ZONES[rank % 3],
        "permissions": {
            "cancelling": True,
            "connIdle": 60_000_000,
            "dialTimeout": 250_000,
            "maxAttempts": 4,
            "maxRetryAfter": 2_000_000,
            "mayDuplicate": True,
            "probes": True,
            "retryAfter": True,
        },
        "registryMode": "automatic",
        "report": {"fields": [], "how": "silent"},
        "weightSource": "silent",
        "zones": list(KWELA_ZONES),
    }


def colombo_records(rank: int, balancers: int) -> dict[str, Any]:
    """Return the settings of a gateway of colombo-records."""
    return {
        "balancers": balancers,
        "rank": rank,
        "classes": [
            _request_class("lookup", "idempotent", (300, 1200, 0), 1.0, "all"),
            _request_class("report", "idempotent", (400, 2000, 0), 5.0, "all"),
            _request_class("certify", "at_most_once", (400, 1200, 0), 5.0, "all"),
            _request_class("ingest", "deduplicated", (600, 1500, 1500), 8.0, "cell"),
        ],
        "family": "proxy",
        "fees": {"crossZone": 0.014, "lateFail": 0.024, "probe": 0.01, "waste": 0.15},
        "invariants": {
            "answerSlack": 20_000,
            "coldFrom": 0.13,
            "fall": 3_000_000,
            "fallMultiple": 3.0,
            "rampTime": 19_000_000,
            "stopSendingWithin": 750_000,
        },
        "locality": COLOMBO_ZONES[rank % 3],
        "permissions": {
            "cancelling": True,
            "connIdle": 10_000_000,
            "dialTimeout": 150_000,
            "maxAttempts": 5,
            "maxRetryAfter": 1_000_000,
            "mayDuplicate": True,
            "probes": True,
            "retryAfter": True,
        },
        "registryMode": "automatic",
        "report": {"fields": [], "how": "silent"},
        "weightSource": "rough",
        "zones": list(COLOMBO_ZONES),
    }


def tidal_register(rank: int, balancers: int) -> dict[str, Any]:
    """Return the settings of a gateway of tidal-register: colombo-records with lists that are asked for."""
    settings = colombo_records(rank, balancers)
    settings["registryMode"] = "subscribe"
    settings["permissions"] |= {"dialTimeout": 1_500_000}
    settings["invariants"] |= {"askEvery": 10_000_000, "coldFrom": 0.08, "rampTime": 9_000_000}
    return settings
