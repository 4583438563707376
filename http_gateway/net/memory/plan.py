"""Divides the memory limit of the process among everything that peers make the gateway hold.

The sum of all parts is at most the limit. `docs/capacity.md` explains the costs.
"""

from __future__ import annotations

from dataclasses import dataclass

KIB = 1024
BYTES_PER_MB = 1_000_000  # the smaller reading of the unit, as limits may be meant in either

# Memory of one open connection, with its socket, transport, protocol and parser. A connect in progress also
# has a task.
CLIENT_CONNECTION_BYTES = 4608
ENDPOINT_CONNECTION_BYTES = 4608
# Memory of one endpoint of the list: its entry, its circuit breakers and its statistics.
ENDPOINT_BYTES = 2560
REQUEST_ID_BYTES = 128  # memory of the id of a request that may have been executed
# Memory of one request in flight beside its message: its state in policy and dispatcher, attempts and timers.
REQUEST_STATE_BYTES = 6 * KIB
# Memory that a document of discovery takes while it is decoded, as a multiple of its bytes.
DOCUMENT_COST_FACTOR = 7
# What the process takes after its start whatever its peers do: code that is loaded late, statistics, log
# lines, the receive buffer, and blocks that the allocator cannot reuse.
WORKING_SET_BYTES = 2_500_000
# Share of the memory for messages that the allocator may waste.
FRAGMENTATION_FRACTION = 0.2
# Least memory for the messages of each direction, so that a gateway with a wrong limit still serves requests.
MIN_MESSAGE_BYTES = 256 * KIB
MIN_CONNECTIONS = 16
# Resident memory at the start, if the system does not report it.
DEFAULT_RESIDENT_BYTES = 24_000_000
# Shares of the memory that is left for peers.
CONNECTIONS_FRACTION = 0.6
REQUEST_IDS_FRACTION = 0.05
DOCUMENT_FRACTION = 0.14
# File descriptors that are kept free for everything but client and endpoint connections.
RESERVED_DESCRIPTORS = 32
MAX_LIST_GROWTH = 2  # multiple of its size at the start to which the endpoint list may always grow
MIN_ENDPOINTS = 1024  # which any gateway has to take
MAX_DOCUMENT_BYTES = 4 * KIB * KIB  # a list of a few thousand endpoints is smaller
MAX_REQUEST_IDS = 16_384  # a minute of requests at usual rates
MIN_REQUEST_IDS = 1024
MIN_DOCUMENT_BYTES = 192 * KIB  # a list of a thousand endpoints is smaller


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """What peers may make the gateway hold.

    Attributes:
        limit_bytes: The memory limit of the process.
        resident_bytes: The memory of the process before it has any peer.
        max_client_connections: Connections that clients may have open.
        max_endpoint_connections: Connections to endpoints that may be open or opening.
        max_document_bytes: The largest document that discovery may send, and the largest configuration file
            that is read again.
        max_request_ids: Ids of requests that may have been executed, which are remembered.
    """

    limit_bytes: int
    resident_bytes: int
    max_client_connections: int
    max_endpoint_connections: int
    max_document_bytes: int
    max_request_ids: int

    @property
    def connection_bytes(self) -> int:
        """Memory of all connections that may be open."""
        client_bytes = self.max_client_connections * CLIENT_CONNECTION_BYTES
        return client_bytes + self.max_endpoint_connections * ENDPOINT_CONNECTION_BYTES

    @property
    def document_bytes(self) -> int:
        """Memory of the largest document while it is decoded."""
        return self.max_document_bytes * DOCUMENT_COST_FACTOR

    def message_bytes(self, endpoint_count: int) -> int:
        """Return the memory for the messages of each direction.

        Args:
            endpoint_count: Endpoints in the list.
        """
        free_bytes = self._free_bytes - endpoint_count * ENDPOINT_BYTES
        return max(MIN_MESSAGE_BYTES, int(free_bytes * (1 - FRAGMENTATION_FRACTION)) // 2)

    def max_endpoints(self, endpoints_at_start: int) -> int:
        """Return how many endpoints the list may have, so that the least memory is left for messages.

        A list may always grow to twice its length at the start.

        Args:
            endpoints_at_start: Endpoints in the list of the configuration.
        """
        least_bytes = int(2 * MIN_MESSAGE_BYTES / (1 - FRAGMENTATION_FRACTION))
        affordable = max(0, self._free_bytes - least_bytes) // ENDPOINT_BYTES
        return max(MIN_ENDPOINTS, affordable, MAX_LIST_GROWTH * endpoints_at_start)

    @property
    def _free_bytes(self) -> int:
        """Memory that is left for messages and further endpoints."""
        fixed_bytes = self.resident_bytes + WORKING_SET_BYTES + self.connection_bytes + self.document_bytes
        return self.limit_bytes - fixed_bytes - self.max_request_ids * REQUEST_ID_BYTES


def plan_memory(
    limit_bytes: int, resident_bytes: int, max_descriptors: int, config_file_bytes: int = 0
) -> MemoryPlan:
    """Divide the memory limit.

    Args:
        limit_bytes: The memory limit of the process.
        resident_bytes: The memory of the process before it has any peer; 0 if it is unknown.
        max_descriptors: File descriptors that the process may open.
        config_file_bytes: Size of the configuration file, which contains the last endpoint list.

    Returns:
        The plan. A limit that is too small for any plan gives one with the least of everything.
    """
    resident_bytes = resident_bytes or DEFAULT_RESIDENT_BYTES
    peer_bytes = max(0, limit_bytes - resident_bytes - WORKING_SET_BYTES)
    pair_bytes = CLIENT_CONNECTION_BYTES + ENDPOINT_CONNECTION_BYTES
    affordable = max(MIN_CONNECTIONS, int(peer_bytes * CONNECTIONS_FRACTION) // pair_bytes)
    connections = max(1, min((max_descriptors - RESERVED_DESCRIPTORS) // 2, affordable))
    request_ids = int(peer_bytes * REQUEST_IDS_FRACTION) // REQUEST_ID_BYTES
    document_bytes = min(MAX_DOCUMENT_BYTES, int(peer_bytes * DOCUMENT_FRACTION) // DOCUMENT_COST_FACTOR)
    return MemoryPlan(
        limit_bytes,
        resident_bytes,
        max_client_connections=connections,
        max_endpoint_connections=connections,
        max_request_ids=max(MIN_REQUEST_IDS, min(MAX_REQUEST_IDS, request_ids)),
        max_document_bytes=max(MIN_DOCUMENT_BYTES, document_bytes, MAX_LIST_GROWTH * config_file_bytes),
    )
