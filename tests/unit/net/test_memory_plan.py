"""The parts of the memory plan stay under the limit together, down to the least memory."""

from __future__ import annotations

import pytest

from http_gateway.net.memory.plan import (
    ENDPOINT_BYTES,
    FRAGMENTATION_FRACTION,
    MAX_DOCUMENT_BYTES,
    MIN_DOCUMENT_BYTES,
    MIN_MESSAGE_BYTES,
    REQUEST_ID_BYTES,
    REQUEST_STATE_BYTES,
    WORKING_SET_BYTES,
    MemoryPlan,
    plan_memory,
)
from tests.support.process_memory import BYTES_PER_MB

RESIDENT_BYTES = 19_600_000
MAX_DESCRIPTORS = 1024
ENDPOINTS = 15
# Bytes of a list entry with an id, an address and a zone of usual length.
LIST_ENTRY_BYTES = 180
USUAL_REQUEST_BYTES = 2500  # a message with eight header fields and a short body, in memory


def planned_bytes(plan: MemoryPlan, endpoint_count: int) -> float:
    """Return the sum of all parts of a plan."""
    messages = 2 * plan.message_bytes(endpoint_count) / (1 - FRAGMENTATION_FRACTION)
    fixed = plan.resident_bytes + WORKING_SET_BYTES + plan.connection_bytes + plan.document_bytes
    fixed += plan.max_request_ids * REQUEST_ID_BYTES
    return fixed + messages + endpoint_count * ENDPOINT_BYTES


@pytest.mark.parametrize("memory_mb", [32, 48, 64, 192, 2048])
@pytest.mark.parametrize("max_descriptors", [256, MAX_DESCRIPTORS, 4096])
def test_parts_stay_under_the_limit_together(memory_mb: int, max_descriptors: int) -> None:
    plan = plan_memory(memory_mb * BYTES_PER_MB, RESIDENT_BYTES, max_descriptors)
    assert planned_bytes(plan, ENDPOINTS) <= memory_mb * BYTES_PER_MB


def test_least_memory_is_enough_for_all_descriptors_and_hundreds_of_requests() -> None:
    plan = plan_memory(32 * BYTES_PER_MB, RESIDENT_BYTES, MAX_DESCRIPTORS)
    assert plan.max_client_connections == plan.max_endpoint_connections == (MAX_DESCRIPTORS - 32) // 2
    assert plan.message_bytes(ENDPOINTS) > 150 * (REQUEST_STATE_BYTES + USUAL_REQUEST_BYTES)
    assert plan.max_document_bytes >= 1024 * LIST_ENTRY_BYTES


def test_endpoints_take_from_the_messages() -> None:
    plan = plan_memory(64 * BYTES_PER_MB, RESIDENT_BYTES, MAX_DESCRIPTORS)
    assert plan.message_bytes(1000) < plan.message_bytes(ENDPOINTS)
    assert planned_bytes(plan, 1000) <= 64 * BYTES_PER_MB


def test_limit_that_is_too_small_gives_the_least_of_everything() -> None:
    plan = plan_memory(16 * BYTES_PER_MB, RESIDENT_BYTES, MAX_DESCRIPTORS)
    assert plan.max_client_connections == 16
    assert plan.max_document_bytes == MIN_DOCUMENT_BYTES
    assert plan.message_bytes(ENDPOINTS) == MIN_MESSAGE_BYTES


def test_document_has_an_upper_limit() -> None:
    assert plan_memory(2048 * BYTES_PER_MB, 0, 4096).max_document_bytes == MAX_DOCUMENT_BYTES


def test_list_may_grow_to_twice_its_size_at_the_start() -> None:
    plan = plan_memory(32 * BYTES_PER_MB, RESIDENT_BYTES, MAX_DESCRIPTORS, config_file_bytes=600_000)
    assert plan.max_document_bytes >= 1_200_000
    assert plan.max_endpoints(3200) >= 6400


def test_gateway_with_the_least_memory_takes_a_thousand_endpoints() -> None:
    plan = plan_memory(32 * BYTES_PER_MB, RESIDENT_BYTES, MAX_DESCRIPTORS)
    max_endpoints = plan.max_endpoints(ENDPOINTS)
    assert max_endpoints >= 1024
    assert planned_bytes(plan, max_endpoints) <= 32 * BYTES_PER_MB
