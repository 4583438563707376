"""An attempt whose client left while its request was blocked ends without an error in the event loop."""

from __future__ import annotations

import asyncio
import math
from typing import Any

from http_gateway.policy.events import Outcome
from tests.support.loopback import async_test, wait_until
from tests.support.upstream import SlowReadingEndpoint, read_to_end


@async_test
async def test_attempt_that_is_dropped_as_writing_resumes_causes_no_loop_error() -> None:
    """Asyncio reports the loss of the connection twice if it is aborted within `resume_writing`."""
    errors: list[dict[str, Any]] = []
    asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
    endpoint = SlowReadingEndpoint()
    endpoint_socket = await endpoint.accept_request(2**20, math.inf)
    await wait_until(lambda: endpoint.attempt.connection is not None)
    endpoint.driver.is_client_waiting = False
    await read_to_end(endpoint_socket)
    await endpoint.driver.wait_for_ends(1)
    await asyncio.sleep(0.05)
    assert endpoint.driver.ends[0].outcome is Outcome.NOT_SENT
    assert errors == []
