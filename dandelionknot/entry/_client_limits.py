"""Limits on callers and operators of an entry host."""

from dataclasses import dataclass

from dandelionknot._request_limits import (
    BYTES_PER_MB,
    COPIES_OF_BODY,
    LARGE_SHARE,
    Port,
    RequestLimits,
    RequestTable,
)
from dandelionknot.settings import EntrySettings

# Share of the memory for all requests that are not answered yet.
REQUESTS_SHARE = 0.15
# Share of the descriptors for callers. The others are for backend servers and peers.
CALLERS_SHARE = 0.5
MAX_OPERATOR_CONNECTIONS = 64
# Largest change of an operator.
MAX_CHANGE_BYTES = 4 * 1024 * 1024
# Time without a request after which a connection is closed.
IDLE_TIMEOUT_MS = 60_000


@dataclass(slots=True, frozen=True)
class EntryPorts:
    """The HTTP ports of an entry host, and the table of their requests."""

    table: RequestTable
    callers: Port
    operators: Port

    @classmethod
    def from_settings(cls, settings: EntrySettings) -> 'EntryPorts':
        """Returns the ports without connections."""
        budget = int(settings.memory_mb * BYTES_PER_MB * REQUESTS_SHARE)
        # One body of the largest size that the settings permit is always read.
        largest = max(settings.max_body_bytes, MAX_CHANGE_BYTES)
        budget = max(budget, int(largest * COPIES_OF_BODY / LARGE_SHARE) + 1)
        table = RequestTable(
            RequestLimits(budget_bytes=budget, idle_timeout_ms=IDLE_TIMEOUT_MS)
        )
        connections = int(settings.max_fds * CALLERS_SHARE)
        return cls(
            table=table,
            callers=table.add_port('callers', connections, settings.max_body_bytes),
            operators=table.add_port(
                'operators', MAX_OPERATOR_CONNECTIONS, MAX_CHANGE_BYTES
            ),
        )
