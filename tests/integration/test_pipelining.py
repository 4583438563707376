"""Tests of several requests on one client connection."""

from __future__ import annotations

from tests.support.loopback import (
    async_test,
    never_respond,
    request_and_never_read,
    request_bytes,
    respond_with,
    running_gateway,
    start_peers,
    wait_until,
)


@async_test
async def test_pipelined_requests_over_the_limit_are_rejected() -> None:
    """The endpoint may have executed the request in flight, which therefore still gets its own response."""
    async with (
        start_peers(never_respond) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        client.writer.write(request_bytes("chapter-buy"))
        await wait_until(lambda: endpoint.requests)
        client.writer.write(b"".join(request_bytes("chapter-buy") for _ in range(50)))
        await wait_until(lambda: any(other.is_over_limit for other in gateway.frontend.connections))
        await respond_with()(endpoint.requests[0], endpoint.request_writers[0])
        responses = await client.read_until_closed()
        assert [response[:3] for response in responses.split(b"HTTP/1.1 ")[1:]] == [b"200", b"429"]
        assert len(endpoint.requests) == 1


@async_test
async def test_pipelined_requests_are_answered_in_order() -> None:
    async with (
        start_peers(respond_with()) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        client.writer.write(
            b"".join(request_bytes() for _ in range(3)) + b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n"
        )
        responses = await client.read_until_closed()
        assert responses.count(b"HTTP/1.1 200 OK") == 4
        assert len(endpoint.requests) == 3


@async_test
async def test_requests_are_not_handled_while_the_client_reads_no_responses() -> None:
    async with (
        start_peers(respond_with(body=bytes(60_000))) as (endpoint,),
        running_gateway(endpoint.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        await request_and_never_read(client, endpoint)
        client.close()
