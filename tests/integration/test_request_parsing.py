"""Tests of request headers: ids, deadlines, classes, hints, and which headers are forwarded."""

from __future__ import annotations

from http_gateway.policy.events import RequestArrived
from tests.support.loopback import (
    async_test,
    never_respond,
    request_bytes,
    reset_connection,
    respond_with,
    running_gateway,
    start_peers,
    wait_until,
)
from tests.support.races import record_events


@async_test
async def test_missing_or_too_long_deadline_becomes_the_timeout_of_the_class() -> None:
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        for deadline in ("", "1e9"):
            await gateway.request(headers={"X-Deadline": deadline})
            assert 10.0 < float(endpoint.requests[-1].header(b"x-deadline") or 0) < 15.0


@async_test
async def test_id_of_a_request_in_flight_is_rejected() -> None:
    async with (
        start_peers(never_respond) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        same_id = {"X-Request-Id": "77"}
        first, second = await gateway.connect(), await gateway.connect()
        first.writer.write(request_bytes("chapter-buy", same_id))
        await wait_until(lambda: endpoint.requests)
        assert (await second.request("chapter-buy", same_id)).status == 400
        assert len(endpoint.requests) == 1
        first.close()
        await wait_until(lambda: not gateway.frontend.reserved_request_id_count)
        endpoint.script = respond_with()
        # The endpoint may have executed the request, so the disconnect does not make its id available again.
        statuses = {(await gateway.request("chapter-buy", same_id)).status for _ in range(20)}
        assert statuses == {400}
        assert len(endpoint.requests) == 1


@async_test
async def test_id_of_a_safe_request_in_flight_is_rejected_until_it_is_released() -> None:
    async with (
        start_peers(never_respond) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        same_id = {"X-Request-Id": "77"}
        first, second = await gateway.connect(), await gateway.connect()
        first.writer.write(request_bytes(headers=same_id))
        await wait_until(lambda: endpoint.requests)
        assert (await second.request(headers=same_id)).status == 400
        assert len(endpoint.requests) == 1
        first.close()
        await wait_until(lambda: not gateway.frontend.reserved_request_id_count)
        endpoint.script = respond_with()
        statuses = {(await gateway.request(headers=same_id)).status for _ in range(20)}
        assert 200 in statuses  # the id is released by the disconnect and by each response
        assert 400 not in statuses


@async_test
async def test_request_id_is_forwarded_even_if_listed_in_connection_header() -> None:
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        await gateway.request(headers={"Connection": "x-request-id, x-other", "X-Other": "1"})
        assert endpoint.requests[0].header(b"x-request-id")
        assert endpoint.requests[0].header(b"x-other") is None


@async_test
async def test_trailers_are_not_read_as_headers() -> None:
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        head = request_bytes("chapter-buy").split(b"\r\nContent-Length")[0]
        client.writer.write(
            head + b"\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n0\r\nX-Request-Id: 2\r\n\r\n"
        )
        assert (await client.response()).status == 200
        assert [name for name, _ in endpoint.requests[0].headers].count(b"x-request-id") == 1
        assert endpoint.requests[0].body == b"12"


@async_test
async def test_class_may_be_given_by_the_path_alone() -> None:
    async with (
        start_peers(reset_connection, respond_with()) as endpoints,
        running_gateway(*(endpoint.endpoint_entry() for endpoint in endpoints)) as gateway,
    ):
        statuses = [(await gateway.request(headers={"X-Class": ""})).status for _ in range(3)]
        # The class in the path is idempotent, so failed attempts are retried.
        assert statuses == [200, 200, 200]


@async_test
async def test_hints_of_a_request_reach_the_policy() -> None:
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        events = record_events(gateway)
        hints = {"X-Cost-Hint": "9000", "X-Key": "user:4", "X-Retry": "1", "X-Tenant": "acme"}
        assert (await gateway.request(headers=hints)).status == 200
        (arrived,) = (event for event in events if isinstance(event, RequestArrived))
        assert (arrived.class_name, arrived.cost_us, arrived.key) == ("page-read", 9000, "user:4")
        assert (arrived.is_client_retry, arrived.tenant) == (True, "acme")
