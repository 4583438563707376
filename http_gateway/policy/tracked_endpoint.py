"""The state that a gateway keeps for one endpoint.

It consists of the endpoint's description, circuit breakers, concurrency limit, load and warm-up bucket.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from http_gateway.policy.circuit_breaker import CircuitBreaker, RequestClassBreaker
from http_gateway.policy.concurrency_limit import ConcurrencyLimit
from http_gateway.policy.endpoint import Endpoint, EndpointId
from http_gateway.policy.load_score import FAILURE_WINDOW_PER_GATEWAY_US, LoadScore
from http_gateway.policy.open_breakers import OpenBreakerCounts
from http_gateway.policy.pending_request import Attempt
from http_gateway.policy.settings import RequestClass
from http_gateway.policy.token_bucket import WarmUpBucket

# The place of an endpoint in the order from which subsets are cut: a hash and the id of the endpoint.
SubsetKey = tuple[int, EndpointId]


@dataclass(slots=True, eq=False)
class TrackedEndpoint:
    """The state of one endpoint since its latest start; a restarted endpoint gets a new instance."""

    endpoint: Endpoint
    random: Random
    breaker: CircuitBreaker
    load: LoadScore
    warm_up_bucket: WarmUpBucket
    open_breakers: OpenBreakerCounts
    subset_key: SubsetKey
    concurrency: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    class_breakers: dict[str, RequestClassBreaker] = field(default_factory=dict)  # keyed by class name

    @classmethod
    def create(
        cls,
        endpoint: Endpoint,
        random: Random,
        bucket: WarmUpBucket,
        open_breakers: OpenBreakerCounts,
        gateway_count: int = 1,
    ) -> TrackedEndpoint:
        """Create the state of an endpoint that is new in the list or has restarted.

        Args:
            endpoint: The endpoint as listed.
            random: The source of jitter for the circuit breakers.
            bucket: The token bucket that limits requests during the warm-up.
            open_breakers: The counts in which the circuit breakers are included while they are open.
            gateway_count: The number of gateways that send to the endpoint. Each of them observes only a
                part of the endpoint's failures. The time for which a failure affects the load score is
                therefore proportional to this number.

        Returns:
            The state, without any recorded load or failure.
        """
        load = LoadScore(FAILURE_WINDOW_PER_GATEWAY_US * gateway_count)
        breaker = CircuitBreaker(random, open_breakers.endpoints)
        return cls(endpoint, random, breaker, load, bucket, open_breakers, (0, endpoint.id))

    @property
    def id(self) -> EndpointId:
        """The id of the endpoint."""
        return self.endpoint.id

    def update(self, endpoint: Endpoint) -> None:
        """Replace the description after a list change that is not a restart."""
        self.endpoint = endpoint

    def set_subset_key(self, key: SubsetKey) -> None:
        """Set the place of the endpoint in the order from which subsets are cut."""
        self.subset_key = key

    def stop_counting_breakers(self) -> None:
        """Take the circuit breakers out of the counts, as the endpoint is no longer ready."""
        self.breaker.stop_counting()
        for class_breaker in self.class_breakers.values():
            class_breaker.stop_counting()

    def load_score(self, now_us: int) -> float:
        """Return the current load score; of two endpoints, the one with the lower score is preferred."""
        return self.load.score(self.concurrency.in_flight, now_us)

    def class_breaker(self, request_class: RequestClass) -> RequestClassBreaker:
        """Return the circuit breaker of a request class, creating it on first use."""
        breaker = self.class_breakers.get(request_class.name)
        if breaker is None:
            open_count = self.open_breakers.of_class(request_class.name)
            breaker = RequestClassBreaker(self.random, open_count)
            self.class_breakers[request_class.name] = breaker
        return breaker

    def admits(self, request_class: RequestClass, now_us: int) -> bool:
        """Return whether the concurrency limit and both circuit breakers admit a request of this class."""
        # The breaker of a class is not created here, since most endpoints that are examined get no request.
        class_breaker = self.class_breakers.get(request_class.name)
        return (
            self.concurrency.has_capacity
            and self.breaker.admits(now_us)
            and (class_breaker is None or class_breaker.admits(now_us))
        )

    def record_response(self, request_class: RequestClass, attempt: Attempt, now_us: int) -> None:
        """Report a response to the circuit breakers.

        The result of an attempt may have been recorded while it was in flight, for example as a failure
        because it was slow. Its response is then not recorded as a success at the endpoint's circuit breaker.
        It is still recorded at the class breaker, because it shows that the endpoint answers this class.
        """
        if not attempt.is_result_recorded:
            self.breaker.record_success(attempt.is_probe)
        is_class_probe = attempt.is_class_probe and not attempt.is_result_recorded
        self.class_breaker(request_class).record_response(now_us, is_class_probe)
