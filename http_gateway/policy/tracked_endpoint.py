"""What a gateway knows of one endpoint: its description, breakers, concurrency, load and warm-up bucket."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from http_gateway.policy.circuit_breaker import CircuitBreaker, RequestClassBreaker
from http_gateway.policy.concurrency_limit import ConcurrencyLimit
from http_gateway.policy.endpoint import Endpoint, EndpointId
from http_gateway.policy.load_score import FAILURE_WINDOW_PER_GATEWAY_US, LoadScore
from http_gateway.policy.pending_request import Attempt
from http_gateway.policy.settings import RequestClass
from http_gateway.policy.token_bucket import WarmUpBucket


@dataclass(slots=True, eq=False)
class TrackedEndpoint:
    """One endpoint from one of its starts to the next."""

    endpoint: Endpoint
    random: Random
    breaker: CircuitBreaker
    load: LoadScore
    warm_up_bucket: WarmUpBucket
    concurrency: ConcurrencyLimit = field(default_factory=ConcurrencyLimit)
    class_breakers: dict[str, RequestClassBreaker] = field(default_factory=dict)  # by class name

    @classmethod
    def create(
        cls, endpoint: Endpoint, random: Random, bucket: WarmUpBucket, gateway_count: int = 1
    ) -> TrackedEndpoint:
        """Begin to track an endpoint that was listed or has restarted."""
        load = LoadScore(FAILURE_WINDOW_PER_GATEWAY_US * gateway_count)
        return cls(endpoint, random, CircuitBreaker(random), load, bucket)

    @property
    def id(self) -> EndpointId:
        """The endpoint's id."""
        return self.endpoint.id

    def update(self, endpoint: Endpoint) -> None:
        """Follow a change of the list that is not a restart."""
        self.endpoint = endpoint

    def load_score(self, now_us: int) -> float:
        """The present load; of two endpoints the one with the lower score is tried first."""
        return self.load.score(self.concurrency.in_flight, now_us)

    def class_breaker(self, request_class: RequestClass) -> RequestClassBreaker:
        """The breaker of a request class, made when it is first needed."""
        breaker = self.class_breakers.get(request_class.name)
        if breaker is None:
            breaker = self.class_breakers[request_class.name] = RequestClassBreaker(self.random)
        return breaker

    def admits(self, request_class: RequestClass, now_us: int) -> bool:
        """Whether limit and breakers admit a request of this class."""
        return (
            self.concurrency.has_capacity
            and self.breaker.admits(now_us)
            and self.class_breaker(request_class).admits(now_us)
        )

    def record_response(self, request_class: RequestClass, attempt: Attempt, now_us: int) -> None:
        """Record a response at the breakers; after a verdict only that its class is answered counts."""
        if not attempt.is_result_recorded:
            self.breaker.record_success(attempt.is_probe)
        is_class_probe = attempt.is_class_probe and not attempt.is_result_recorded
        self.class_breaker(request_class).record_response(now_us, is_class_probe)
