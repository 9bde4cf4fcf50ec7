"""Limits on the clients of a manager, from what the settings state for its machine."""

import resource
from dataclasses import dataclass

from dandelionknot._request_limits import (
    BYTES_PER_MB,
    Port,
    RequestLimits,
    RequestTable,
)
from dandelionknot.jobs._generated import ManagerLimits

# Memory of an open connection without a request (measured: 8 KB), and the share of the
# memory that all connections of callers may use.
CONNECTION_BYTES = 10_000
CONNECTIONS_SHARE = 0.1
# Share of the descriptors for callers. The others are for connections to the store and
# the backend servers, of which a leader of 180 backend servers has some hundred.
CALLERS_SHARE = 0.5
# Largest body of a health check, which needs none, and of a placement query, which
# holds a job.
MAX_READINESS_BODY_BYTES = 4096
MAX_QUERY_BYTES = 65_536


@dataclass(slots=True, frozen=True)
class ManagerPorts:
    """The ports of a manager in the table of its requests."""

    callers: Port
    readiness: Port
    metrics: Port


def request_limits(limits: ManagerLimits) -> RequestLimits:
    """Returns the limits that all ports share."""
    memory = int(limits.memory_mb * BYTES_PER_MB)
    return RequestLimits(
        budget_bytes=memory * limits.request_memory_percent // 100,
        max_header_bytes=limits.max_header_bytes,
        small_body_bytes=limits.small_body_bytes,
        chunks_per_s=limits.chunks_per_s,
        header_timeout_ms=limits.header_timeout_ms,
        stalled_timeout_ms=limits.stalled_timeout_ms,
        body_timeout_ms=limits.body_timeout_ms,
        idle_timeout_ms=limits.idle_timeout_ms,
        answer_timeout_ms=limits.answer_timeout_ms,
    )


def caller_connections(limits: ManagerLimits, max_fds: int) -> int:
    """Returns the most connections of callers, with `max_fds` open descriptors."""
    others = limits.readiness_connections + limits.metrics_connections
    free = int((max_fds - limits.file_fds) * CALLERS_SHARE) - others
    memory = limits.memory_mb * BYTES_PER_MB * CONNECTIONS_SHARE
    return max(1, min(free, int(memory / CONNECTION_BYTES)))


def add_ports(table: RequestTable, limits: ManagerLimits) -> ManagerPorts:
    """Adds the ports of a manager to the table of its requests."""
    # The system may allow fewer descriptors than the settings state.
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    max_fds = limits.max_fds
    if allowed != resource.RLIM_INFINITY:
        max_fds = min(max_fds, allowed)
    callers = caller_connections(limits, max_fds)
    return ManagerPorts(
        callers=table.add_port('callers', callers, limits.max_body_bytes),
        readiness=table.add_port(
            'readiness', limits.readiness_connections, MAX_READINESS_BODY_BYTES
        ),
        metrics=table.add_port('metrics', limits.metrics_connections, MAX_QUERY_BYTES),
    )
