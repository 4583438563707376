"""How long before a time limit the policy acts, so that the limit holds for a process that is held up."""

from __future__ import annotations

from http_gateway.policy.settings import RequestClass
from http_gateway.policy.time_units import US_PER_MS

# A gateway process may be held up for this long between reading its clock and writing.
MAX_HOLD_UP_US = 150 * US_PER_MS
# The protocol allows this much time beyond each limit.
LIMIT_SLACK_US = 50 * US_PER_MS
NETWORK_MARGIN_US = 15 * US_PER_MS  # network latency in both directions and delays of the event loop
HOLD_UP_MARGIN_US = MAX_HOLD_UP_US - LIMIT_SLACK_US + NETWORK_MARGIN_US
# A class with a short timeout would otherwise have no time left for its attempts.
MAX_RESPONSE_MARGIN_FRACTION = 0.25


def response_margin_us(request_class: RequestClass) -> int:
    """Return the time between the deadline of a request and the end of its client's timeout.

    A final answer that is decided at the deadline still reaches the client in time if the process is held up
    before it writes the answer. The margin depends on the timeout of the class, not on that of the request: a
    request with less time left than the margin is shed, because its answer might come too late.

    Args:
        request_class: The class of the request.

    Returns:
        The margin in microseconds.
    """
    return min(HOLD_UP_MARGIN_US, round(MAX_RESPONSE_MARGIN_FRACTION * request_class.timeout_us))
