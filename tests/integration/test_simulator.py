"""The simulator adapter, run as a program with messages of the simulator protocol as input."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import Any

import pytest

from http_gateway.policy.events import RequestArrived
from http_gateway.settings_reader import read_settings
from http_gateway.simulator.codec import decode_event

SETUP: dict[str, Any] = {
    "balancers": 2,
    "classes": [{"name": "page", "onTime": 100000, "giveUp": 400000, "effect": "idempotent", "surprise": 1}],
    "permissions": {"maxAttempts": 3, "mayDuplicate": False, "cancelling": True, "probes": False},
    "invariants": {"coldFrom": 0.2, "rampTime": 10000000, "fall": 1500000, "fallMultiple": 2.5},
    "registryMode": "automatic",
    "locality": "here",
    "a setting of a later version": {"enabled": True},
}
ENDPOINTS = [{"host": 7, "stageState": "IN", "group": 0, "regionPart": "here"}]

WireMessage = dict[str, Any]


def run_adapter(text: str) -> subprocess.CompletedProcess[str]:
    """Run the adapter with the text as its standard input."""
    command = [sys.executable, "-m", "http_gateway.simulator"]
    return subprocess.run(command, input=text, capture_output=True, text=True, timeout=60, check=False)


def batch(number: int, *events: WireMessage, clock_us: int = 1000) -> str:
    """Encode a batch of events, with its start and end messages, as lines of JSON."""
    lines = [{"verb": "frame", "clock": clock_us, "frame": number}, *events, {"verb": "eob"}]
    return "".join(json.dumps(line) + "\n" for line in lines)


def configure(
    gateway: int = 3, setup: WireMessage | None = None, endpoints: list[WireMessage] | None = None
) -> list[WireMessage]:
    """Return the events that configure an instance and give it an endpoint list."""
    return [
        {"verb": "configure", "gateway": gateway, "seed": 5, "setup": SETUP if setup is None else setup},
        {
            "verb": "discovery",
            "gateway": gateway,
            "how": "disk",
            "serial": 1,
            "elements": ENDPOINTS if endpoints is None else endpoints,
        },
    ]


def request(request_id: int = 11, gateway: int = 3) -> WireMessage:
    """Return the event of an arriving request."""
    return {"verb": "order", "gateway": gateway, "corr": request_id, "grade": "page", "expiresIn": 200000}


def attempt_end(request_id: int, code: int, completed: bool, endpoint_id: int = 7) -> WireMessage:
    """Return the event of the end of a first attempt."""
    return {
        "verb": "attemptEnd",
        "gateway": 3,
        "corr": request_id,
        "copy": 0,
        "host": endpoint_id,
        "rc": code,
        "duration": 900,
        "closed": completed,
        "feedback": None,
    }


def replies(text: str) -> list[WireMessage]:
    """Run the adapter and return the messages of its replies."""
    result = run_adapter(text)
    assert result.returncode == 0, result.stderr
    assert result.stderr == ""
    return [json.loads(line) for line in result.stdout.splitlines()]


def decisions(text: str) -> list[WireMessage]:
    """Run the adapter and return its actions, without timers."""
    return [reply for reply in replies(text) if reply["verb"] not in ("ack", "wakeMe")]


def verbs(text: str) -> list[str]:
    """Run the adapter and return the verbs of its actions, without timers."""
    return [decision["verb"] for decision in decisions(text)]


def test_empty_batch_is_acknowledged() -> None:
    assert replies(batch(1)) == [{"verb": "ack", "frame": 1}]


def test_request_is_forwarded_and_its_response_completes_it() -> None:
    text = batch(1, *configure()) + batch(2, request()) + batch(3, attempt_end(11, 10, True))
    attempt = next(reply for reply in replies(text) if reply["verb"] == "dispatch")
    assert (attempt["gateway"], attempt["corr"], attempt["host"]) == (3, 11, 7)
    assert verbs(text) == ["dispatch"]


def test_request_is_shed_without_an_endpoint() -> None:
    assert verbs(batch(1, *configure(endpoints=[])) + batch(2, request())) == ["refuse"]


def test_attempt_with_an_unknown_outcome_is_possibly_executed() -> None:
    classes = [dict(SETUP["classes"][0], effect="an effect of a later version")]
    text = batch(1, *configure(setup=SETUP | {"classes": classes})) + batch(2, request())
    assert verbs(text + batch(3, attempt_end(11, 99, False))) == ["dispatch", "giveUp"]


def test_endpoint_in_an_unknown_state_is_draining() -> None:
    endpoints = [dict(ENDPOINTS[0], stageState="NAPPING")]
    assert verbs(batch(1, *configure(endpoints=endpoints)) + batch(2, request())) == ["refuse"]


def test_instance_that_is_retired_and_configured_in_one_batch_is_reset() -> None:
    text = batch(1, *configure()) + batch(2, request())
    text += batch(3, {"verb": "retire", "gateway": 3}, *configure(endpoints=[]), request(12))
    assert verbs(text) == ["dispatch", "refuse"]


def test_unknown_event_is_ignored() -> None:
    assert verbs(batch(1, *configure(), {"verb": "a verb of a later version", "gateway": 3})) == []


def test_invalid_settings_fail_only_their_instance() -> None:
    text = batch(1, *configure(gateway=1, setup={}), *configure()) + batch(
        2, request(), request(12, gateway=1)
    )
    sent = decisions(text)
    assert [(reply["verb"], reply["gateway"]) for reply in sent] == [("exception", 1), ("dispatch", 3)]
    assert "classes" in sent[0]["msg"]


@pytest.mark.parametrize(
    ("event", "message"),
    [
        (
            {"verb": "order", "gateway": 3, "corr": 11, "grade": "page"},
            "MalformedEventError: order: expiresIn is missing",
        ),
        (
            {"verb": "attemptEnd", "gateway": 3, "corr": 11, "copy": 0, "host": 7, "rc": [10]},
            "MalformedEventError: attemptEnd: rc is not a code",
        ),
        (
            {"verb": "discovery", "gateway": 3, "how": "diff", "elements": [*ENDPOINTS, {"group": 1}]},
            "MalformedEventError: discovery: elements[1].host is missing",
        ),
        (
            {"verb": "discovery", "gateway": 3, "how": "diff", "elements": [{"host": 8, "readyAt": "noon"}]},
            "MalformedEventError: discovery: elements[0] cannot be read: "
            "invalid literal for int() with base 10: 'noon'",
        ),
        (
            {"verb": "configure", "gateway": 3, "seed": 5},
            "MalformedEventError: configure: setup is missing",
        ),
        (
            {"verb": "configure", "gateway": 3, "setup": SETUP},
            "MalformedEventError: configure: seed is missing",
        ),
    ],
    ids=["missing", "not a code", "missing in an entry", "wrong in an entry", "no settings", "no seed"],
)
def test_malformed_event_fails_its_instance_and_names_verb_and_field(
    event: WireMessage, message: str
) -> None:
    text = batch(1, *configure(), event) + batch(2, request())
    assert decisions(text) == [{"verb": "exception", "gateway": 3, "msg": message}]


def test_event_for_an_instance_that_is_not_configured_names_the_instance() -> None:
    message = "UnknownInstanceError: order: instance 3 is not configured"
    assert decisions(batch(1, request())) == [{"verb": "exception", "gateway": 3, "msg": message}]


def test_failed_instance_works_again_once_it_is_retired_and_configured() -> None:
    text = batch(1, request()) + batch(2, {"verb": "retire", "gateway": 3}, *configure(), request(12))
    assert verbs(text) == ["exception", "dispatch"]


@pytest.mark.parametrize(
    "text",
    [
        "nonsense\n",
        "[1]\n",
        '{"verb":"eob"}\n',
        '{"verb":"frame","frame":1}\n',
        batch(1).replace('{"verb": "eob"}\n', ""),
        batch(1, {"verb": "order"}),
    ],
)
def test_malformed_input_ends_the_adapter_with_one_error_line(text: str) -> None:
    result = run_adapter(text)
    assert result.returncode != 0
    assert result.stderr.startswith("http_gateway.simulator: malformed input: ")
    assert len(result.stderr.splitlines()) == 1


def test_adapter_exits_cleanly_at_the_end_of_input() -> None:
    assert run_adapter("").returncode == 0


def test_settings_give_each_gateway_its_part_of_a_tenants_quota() -> None:
    realms = [{"name": "choir", "allowancePerS": 75.0, "share": 0.3}, {"name": "band"}]
    settings = read_settings(SETUP | {"realms": realms, "overShareWorth": 0.1, "rank": 1})
    assert settings.tenant_quotas_per_s == {"choir": 37.5}
    assert (settings.over_quota_weight, settings.gateway_index, settings.gateway_count) == (0.1, 1, 2)


def test_decoded_request_has_its_tenant_and_its_retry_flag() -> None:
    event = decode_event(request() | {"tenant": "choir", "isRetry": True})
    assert isinstance(event, RequestArrived)
    assert (event.tenant, event.is_client_retry) == ("choir", True)


def test_endpoint_list_of_an_unknown_kind_is_read_as_changes() -> None:
    """Guards against a missed drain and against lost endpoints.

    Ignoring the list could miss the start of a drain. Reading it as a complete list would remove the
    endpoints that it does not contain.
    """
    update = {
        "verb": "discovery",
        "gateway": 3,
        "how": "a kind of a later version",
        "elements": [ENDPOINTS[0] | {"stageState": "LAME"}],
    }
    assert verbs(batch(1, *configure()) + batch(2, update, request())) == ["refuse"]
