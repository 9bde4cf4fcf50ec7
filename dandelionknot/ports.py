"""Ports of the entry fleet to the platform and to backend servers.

A port is a set of async functions that an adapter provides as closures over its
connections. Tasks see only these functions and the classes of the schema. A failed
call returns a `PortError`.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from result import Result

from dandelionknot.errors import PortError, PortErrorKind
from dandelionknot.messages import (
    HostList,
    LeaseGrant,
    LeaseRenewal,
    LeaseReport,
    StoredList,
    StoredValue,
    TaskReport,
    TaskStart,
    UsageReport,
    WriteRequest,
    WriteResult,
)

__all__ = ['BackendPort', 'PlatformPort', 'PortError', 'PortErrorKind']


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformPort:
    """The platform's key-value service and its host list, which may be out of date.

    `read` returns revision 0 and an empty value for an absent key. `watch(prefix,
    revision, wait_ms)` returns as soon as a value under the prefix is newer than the
    revision, with only the newer values and the keys deleted since. After `wait_ms`
    without a change it returns no values. The revision counts all writes to the
    service.
    """

    read: Callable[[str], Awaitable[Result[StoredValue, PortError]]]
    list: Callable[[str], Awaitable[Result[StoredList, PortError]]]
    compare_and_swap: Callable[
        [WriteRequest], Awaitable[Result[WriteResult, PortError]]
    ]
    watch: Callable[[str, int, int], Awaitable[Result[StoredList, PortError]]]
    grant_lease: Callable[[int], Awaitable[Result[LeaseGrant, PortError]]]
    renew_lease: Callable[[str], Awaitable[Result[LeaseGrant, PortError]]]
    list_hosts: Callable[[], Awaitable[Result[HostList, PortError]]]


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendPort:
    """Calls to one backend server; each answer contains a new start token.

    If `stop` arrives before a task has started, the server refuses to start the task.
    """

    start: Callable[[TaskStart], Awaitable[Result[TaskReport, PortError]]]
    status: Callable[[str, int], Awaitable[Result[TaskReport, PortError]]]
    renew: Callable[[LeaseRenewal], Awaitable[Result[LeaseReport, PortError]]]
    usage: Callable[[], Awaitable[Result[UsageReport, PortError]]]
    stop: Callable[[str], Awaitable[Result[TaskReport, PortError]]]
    checkpoint: Callable[[str], Awaitable[Result[TaskReport, PortError]]]
    throttle: Callable[[str, int], Awaitable[Result[TaskReport, PortError]]]
    drain: Callable[[bool], Awaitable[Result[UsageReport, PortError]]]
    reboot: Callable[[], Awaitable[Result[UsageReport, PortError]]]
