"""What clients may send, bad input too."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from http_gateway.net.frontend import listener
from http_gateway.net.http.reader import RequestReader
from http_gateway.policy.time_units import US_PER_MS
from tests.support.loopback import (
    LoopbackClient,
    async_test,
    endpoint_list,
    never_respond,
    request_and_never_read,
    request_bytes,
    reset_connection,
    respond_with,
    running_gateway,
    start_peers,
    wait_until,
)


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (b"GET /page-read HTTP/1.1\r\nHost: a\r\nX-Class: page-read\r\n\r\n", 400),  # no request id
        (b"POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413),
        (b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + bytes(65537), 413),
        (b"GET /a HTTP/1.1\r\nX-Long: " + b"a" * 20_000, 431),  # a head without an end
        (b"GET /a HTTP/1.1\r\n" + b"X-Pad: aaaaaaaaaaaaaa\r\n" * 1000 + b"\r\n", 431),
        (b"DELETE /page-read HTTP/1.1\r\nX-Request-Id: 1\r\n\r\n", 405),
        (b"GET /chapter-buy HTTP/1.1\r\nX-Request-Id: 1\r\n\r\n", 405),
        (b"GET /page-read HTTP/2.0\r\nX-Request-Id: 1\r\n\r\n", 505),
        (b"GET /page-read HTTP/1.1\r\nX-Request-Id: 1\r\nX-Request-Id: 2\r\n\r\n", 400),
        (b"GET /a HTTP/1.1\r\nX-Request-Id: 1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n", 400),
        (request_bytes() + b"\x00noise", 400),
        (request_bytes("chapter-buy", {}, b"1234") + b"56789\r\n\r\n", 400),  # longer than it respond_with
        (request_bytes(headers={"X-Class": "chapter-buy"}), 400),  # not the class of its path
        (request_bytes(headers={"X-Request-Id": "1" * 200}), 400),
        (request_bytes("coupon"), 400),
        *((request_bytes(headers={"X-Deadline": text}), 400) for text in ("soon", "-1", "nan", "inf", "0")),
    ],
    ids=lambda value: str(value)[:60],
)
@async_test
async def test_bad_input_is_answered_and_its_connection_closed(text: bytes, status: int) -> None:
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        client = await gateway.connect()
        client.writer.write(text)
        assert (await client.response()).status == status
        assert await client.read_until_closed() == b""
        assert (await gateway.request()).status == 200
        assert len(host.requests) == 1


@async_test
async def test_a_client_still_sending_too_much_gets_its_answer() -> None:
    async with running_gateway() as gateway:
        client = await gateway.connect()
        client.writer.write(b"POST /a HTTP/1.1\r\nContent-Length: 8000000\r\n\r\n" + bytes(8_000_000))
        await client.writer.drain()
        assert (await client.response()).status == 413
        assert await client.read_until_closed() == b""


@async_test
async def test_a_request_that_never_ends_is_not_waited_for(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "RECEIVE_TIME", 0.2)
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        client = await gateway.connect()
        assert (await client.request()).status == 200
        client.writer.write(request_bytes()[:30])
        assert (await client.response()).status == 408
        assert await client.read_until_closed() == b""


@async_test
async def test_a_silent_connection_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "RECEIVE_TIME", 0.2)
    async with running_gateway() as gateway:
        client = await gateway.connect()
        assert await client.read_until_closed() == b""
        await wait_until(lambda: not gateway.frontend.connections)


@async_test
async def test_the_first_request_s_time_runs_from_the_connection_s_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(listener, "RECEIVE_TIME", 10.0)
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        client = await gateway.connect()
        await wait_until(lambda: gateway.frontend.connections)
        (connection,) = gateway.frontend.connections
        due = connection.due
        client.writer.write(request_bytes()[:30])
        await wait_until(lambda: connection._requests.has_partial_message)
        assert connection.due == due
        client.writer.write(request_bytes()[30:])
        await client.response()
        client.writer.write(request_bytes()[:30])  # a later one has a time of its own
        await wait_until(lambda: connection._requests.has_partial_message)
        assert due < connection.due < asyncio.get_running_loop().time() + 10.0


@async_test
async def test_each_of_a_chain_of_requests_has_its_own_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each read ends one request and begins the next."""
    monkeypatch.setattr(listener, "RECEIVE_TIME", 0.6)
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        client = await gateway.connect()
        client.writer.write(request_bytes()[:30])
        for _ in range(10):
            await asyncio.sleep(0.15)
            client.writer.write(request_bytes()[30:] + request_bytes()[:30])
            assert (await client.response()).status == 200


@async_test
async def test_a_client_idle_for_long_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "IDLE_TIME", 0.2)
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        client = await gateway.connect()
        assert (await client.request()).status == 200
        assert await client.read_until_closed() == b""


@async_test
async def test_too_many_requests_ahead_are_turned_away() -> None:
    """The one in work has its own answer: it may have run, and a refusal would say that it had not."""
    async with start_peers(never_respond) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        client = await gateway.connect()
        client.writer.write(request_bytes("chapter-buy"))
        await wait_until(lambda: host.requests)
        client.writer.write(b"".join(request_bytes("chapter-buy") for _ in range(50)))
        await wait_until(lambda: any(other._crowded for other in gateway.frontend.connections))
        await respond_with()(host.requests[0], host.request_writers[0])
        text = await client.read_until_closed()
        assert [part[:3] for part in text.split(b"HTTP/1.1 ")[1:]] == [b"200", b"429"]
        assert len(host.requests) == 1


@async_test
async def test_what_waits_is_bounded_over_all_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listener, "MAX_BUFFERED", 100_000)
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        clients = [await gateway.connect() for _ in range(2)]
        text = request_bytes("chapter-buy", {}, bytes(60_000))
        for client in clients:
            client.writer.write(text[:-1])
        await wait_until(lambda: sum(other._deaf for other in gateway.frontend.connections) == 1)
        assert gateway.frontend.buffered <= 100_000
        for client in clients:
            client.writer.write(text[-1:])
        assert {(await client.response()).status for client in clients} == {200, 429}
        assert gateway.frontend.buffered == 0


@async_test
async def test_over_the_limit_a_connection_is_closed_at_once() -> None:
    async with (
        start_peers(never_respond) as (host,),
        running_gateway(host.endpoint_entry(), max_connections=2) as gateway,
    ):
        busy: list[LoopbackClient] = []
        for _ in range(2):  # each at work before the next comes: an idle one would make room
            busy.append(await gateway.connect())
            busy[-1].writer.write(request_bytes())
            await wait_until(lambda: len(host.requests) == len(busy))
        with contextlib.suppress(ConnectionError):
            assert await (await gateway.connect()).read_until_closed() == b""
        await wait_until(lambda: len(gateway.frontend.connections) == 2)


@async_test
async def test_those_who_send_nothing_keep_nobody_out() -> None:
    async with (
        start_peers(respond_with()) as (host,),
        running_gateway(host.endpoint_entry(), max_connections=3) as gateway,
    ):
        silent_ones = [await gateway.connect() for _ in range(20)]
        assert (await gateway.request()).status == 200
        assert len(gateway.frontend.connections) <= 3
        for client in silent_ones:
            client.close()


@async_test
async def test_a_rejected_request_has_one_answer() -> None:
    """Its time to arrive may run out while the connection lingers."""
    async with running_gateway() as gateway:
        client = await gateway.connect()
        client.writer.write(b"POST /a HTTP/1.1\r\n")
        await wait_until(
            lambda: any(other._requests.has_partial_message for other in gateway.frontend.connections)
        )
        (connection,) = gateway.frontend.connections
        client.writer.write(b"nonsense\r\n\r\n")
        assert (await client.response()).status == 400
        connection.run_out()
        assert await client.read_until_closed() == b""


@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 4\r\nTransfer-Encoding: chunked",
        b"Transfer-Encoding: chunked\r\nContent-Length: 4",
        b"Content-Length: 4\r\nContent-Length: 4",
        b"Content-Length: 4\r\nContent-Length: 9",
        b"Content-Length: 4, 4",
        b"Content-Length: +4",
        b"Content-Length: -4",
        b"Content-Length: ten",
        b"Content-Length:",
        b"Content-Length : 4",
        b"Content-Length: 99999999999999999999999",
        b"Transfer-Encoding: gzip, chunked",
        b"Transfer-Encoding: identity",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    ],
)
@async_test
async def test_a_length_told_oddly_reaches_no_host(framing: bytes) -> None:
    """What another parser reads as the body's end may be the start of a request that nobody checked."""
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        client = await gateway.connect()
        head = request_bytes("chapter-buy").split(b"\r\nContent-Length")[0] + b"\r\n" + framing
        client.writer.write(head + b"\r\n\r\n0\r\n\r\n" + request_bytes("chapter-buy"))
        assert (await client.response()).status in (400, 413)
        assert await client.read_until_closed() == b""
        await gateway.request()
        assert len(host.requests) == 1


@async_test
async def test_a_deadline_untold_or_too_long_is_the_class_s() -> None:
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        for deadline in ("", "1e9"):
            await gateway.request(headers={"X-Deadline": deadline})
            assert 10.0 < float(host.requests[-1].header(b"x-deadline") or 0) < 15.0


@async_test
async def test_noise_behind_a_request_in_work_ends_it() -> None:
    async with start_peers(never_respond) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        client = await gateway.connect()
        client.writer.write(request_bytes("chapter-buy"))
        await wait_until(lambda: host.requests)
        client.writer.write(b"\x00noise")
        assert (await client.response()).status == 400
        assert await client.read_until_closed() == b""
        await wait_until(lambda: host.closed and not gateway.dispatcher.in_flight_count)


@async_test
async def test_an_id_is_open_once_at_a_time() -> None:
    async with start_peers(never_respond) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        same = {"X-Request-Id": "77"}
        first, second = await gateway.connect(), await gateway.connect()
        first.writer.write(request_bytes("chapter-buy", same))
        await wait_until(lambda: host.requests)
        assert (await second.request("chapter-buy", same)).status == 400
        assert len(host.requests) == 1
        first.close()
        await wait_until(lambda: not gateway.frontend.open_ids)
        host.script = respond_with()
        answers = {(await gateway.request("chapter-buy", same)).status for _ in range(20)}
        assert 200 in answers  # now and after each answer
        assert 400 not in answers


@async_test
async def test_the_id_goes_on_though_a_client_would_strike_it_out() -> None:
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        await gateway.request(headers={"Connection": "x-request-id, x-other", "X-Other": "1"})
        assert host.requests[0].header(b"x-request-id")
        assert host.requests[0].header(b"x-other") is None


@async_test
async def test_a_trailer_is_no_header() -> None:
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        client = await gateway.connect()
        head = request_bytes("chapter-buy").split(b"\r\nContent-Length")[0]
        client.writer.write(
            head + b"\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n0\r\nX-Request-Id: 2\r\n\r\n"
        )
        assert (await client.response()).status == 200
        assert [name for name, _ in host.requests[0].headers].count(b"x-request-id") == 1
        assert host.requests[0].body == b"12"


@async_test
async def test_a_hint_is_believed_up_to_the_class_s_time() -> None:
    async with running_gateway() as gateway:
        for hint, cost in (("9" * 12, 15_000_000), ("9" * 5000, 0), ("-1", 0)):
            asked = gateway.frontend.parse_request(
                RequestReader().feed(request_bytes(headers={"X-Cost-Hint": hint}))[0]
            )
            assert asked.cost_us == cost


@async_test
async def test_the_class_may_stand_in_the_path_alone() -> None:
    async with (
        start_peers(reset_connection, respond_with()) as hosts,
        running_gateway(*(host.endpoint_entry() for host in hosts)) as gateway,
    ):
        answers = [(await gateway.request(headers={"X-Class": ""})).status for _ in range(3)]
        assert answers == [200, 200, 200]  # known as safe, it moves on


@async_test
async def test_requests_sent_ahead_are_answered_in_turn() -> None:
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        client = await gateway.connect()
        client.writer.write(
            b"".join(request_bytes() for _ in range(3)) + b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n"
        )
        text = await client.read_until_closed()
        assert text.count(b"HTTP/1.1 200 OK") == 4
        assert len(host.requests) == 3


@async_test
async def test_a_body_is_asked_for_where_the_client_waits_for_leave() -> None:
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        client = await gateway.connect()
        head = request_bytes("chapter-buy", {"Expect": "100-continue"}, b"12")[:-2]
        client.writer.write(head)
        assert await client._reader.readline() == b"HTTP/1.1 100 Continue\r\n"
        await client._reader.readline()
        client.writer.write(b"12")
        assert (await client.response()).status == 200
        assert host.requests[0].body == b"12"


@async_test
async def test_up_waits_for_a_list() -> None:
    async with start_peers(respond_with()) as (host,), running_gateway() as gateway:
        client = await gateway.connect()
        client.writer.write(b"GET /up HTTP/1.1\r\n\r\n")
        assert (await client.response()).status == 503
        gateway.dispatcher.update_endpoints(endpoint_list(host.endpoint_entry()))
        client.writer.write(b"GET /up HTTP/1.1\r\n\r\n")
        assert (await client.response()).status == 200


@async_test
async def test_clients_that_ask_once_and_stay_take_no_room_from_others() -> None:
    """Where all clients together have fewer places than the gateway, idle connections would fill them."""
    places = 4
    async with (
        start_peers(respond_with()) as (host,),
        running_gateway(host.endpoint_entry(), max_connections=2 * places) as gateway,
    ):
        slow = await gateway.connect()
        text = request_bytes()
        slow.writer.write(text[:-1])
        await wait_until(
            lambda: any(other._requests.has_partial_message for other in gateway.frontend.connections)
        )
        stay = []
        for _ in range(3 * places):
            stay.append(await gateway.connect())
            assert (await stay[-1].request()).status == 200
            assert len(gateway.frontend.connections) <= places
        slow.writer.write(text[-1:])
        assert (await slow.response()).status == 200


@async_test
async def test_a_crowd_of_clients_leaves_descriptors_free() -> None:
    """The connection unused for longest makes room."""
    async with (
        start_peers(respond_with()) as (host,),
        running_gateway(host.endpoint_entry(), max_connections=4) as gateway,
    ):
        first, second = await gateway.connect(), await gateway.connect()
        assert (await first.request()).status == 200
        assert (await second.request()).status == 200
        third = await gateway.connect()
        assert (await third.request()).status == 200
        assert await first.read_until_closed() == b""


@async_test
async def test_hints_reach_the_module() -> None:
    async with running_gateway() as gateway:
        headers = {"X-Cost-Hint": "9000", "X-Key": "user:4", "X-Retry": "1", "X-Tenant": "acme"}
        asked = gateway.frontend.parse_request(RequestReader().feed(request_bytes(headers=headers))[0])
        assert (asked.class_name, asked.timeout_us, asked.cost_us) == ("page-read", 10_000 * US_PER_MS, 9000)
        assert (asked.key, asked.is_client_retry, asked.tenant) == ("user:4", True, "acme")
        senseless = {"X-Cost-Hint": "much", "X-Retry": "no"}
        asked = gateway.frontend.parse_request(RequestReader().feed(request_bytes(headers=senseless))[0])
        assert (asked.cost_us, asked.is_client_retry) == (0, False)


@async_test
async def test_answers_that_a_client_does_not_read_do_not_pile_up() -> None:
    async with (
        start_peers(respond_with(body=bytes(60_000))) as (host,),
        running_gateway(host.endpoint_entry()) as gateway,
    ):
        client = await gateway.connect()
        await request_and_never_read(client, host)
        client.close()


@async_test
async def test_a_request_that_has_begun_to_come_is_still_answered_at_the_end() -> None:
    async with start_peers(respond_with()) as (host,), running_gateway(host.endpoint_entry()) as gateway:
        client = await gateway.connect()
        text = request_bytes()
        client.writer.write(text[:30])
        await wait_until(
            lambda: any(other._requests.has_partial_message for other in gateway.frontend.connections)
        )
        gateway.frontend.begin_shutdown(asyncio.get_running_loop().time() + 60)
        gateway.frontend.stop_accepting()
        client.writer.write(text[30:])
        answer = await client.response()
        assert (answer.status, answer.keep_alive) == (200, False)
