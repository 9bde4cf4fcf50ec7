"""Which hosts get no requests because they fail what others can do.

One `HealthTable` covers the hosts of one pool as one entry host sees them. A
task that fails on two hosts is taken for a bad task and held against neither.
Ejection never exceeds the availability budget that the caller passes in.
"""

from collections import OrderedDict
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum

# At one result in 10 s a host still gathers a count of 4.8.
HALF_LIFE_MS = 30_000
LEAST_FAILURES = 3.0
LEAST_FAILED_SHARE = 0.5
# A pool in which every host fails as often has bad tasks or a bad dependency.
LEAST_RATIO_TO_POOL = 2.0
FIRST_BACKOFF_MS = 5_000
MAX_BACKOFF_MS = 300_000
PROBES_TO_RETURN = 3
# A probe without any result, for instance a cancelled one, is given up then.
PROBE_TIMEOUT_MS = 60_000
MAX_FAILED_REQUESTS = 10_000


class Standing(StrEnum):
    """Whether a host gets requests."""

    ACTIVE = 'active'
    EJECTED = 'ejected'


@dataclass(slots=True, kw_only=True)
class HostHealth:
    """Recent results of one host; the counts halve every `HALF_LIFE_MS`.

    `ejections` counts ejections and failed probes since the host was last
    healthy and sets the back-off.
    """

    successes: float = 0.0
    failures: float = 0.0
    counted_ms: int = 0
    standing: Standing = Standing.ACTIVE
    ejections: int = 0
    probe_after_ms: int = 0
    probe_request: str | None = None
    probe_started_ms: int = 0
    probe_successes: int = 0
    failed_probe: str | None = None


@dataclass(slots=True, kw_only=True)
class HealthTable:
    """Health of the hosts of one pool, and the hosts that recent requests failed on."""

    health_by_host: dict[str, HostHealth] = field(default_factory=dict)
    failures_by_request: OrderedDict[str, dict[str, int]] = field(
        default_factory=OrderedDict
    )


def _health(table: HealthTable, host_id: str, now_ms: int) -> HostHealth:
    health = table.health_by_host.get(host_id)
    if health is None:
        health = table.health_by_host[host_id] = HostHealth(counted_ms=now_ms)
    factor = _decay(health.counted_ms, now_ms)
    health.successes *= factor
    health.failures *= factor
    health.counted_ms = now_ms
    return health


def _decay(from_ms: int, now_ms: int) -> float:
    return 0.5 ** (max(now_ms - from_ms, 0) / HALF_LIFE_MS)


def record_success(
    table: HealthTable, host_id: str, request_id: str, now_ms: int
) -> None:
    """Counts a request that a host answered.

    Earlier failures of the request on other hosts stay counted: the task was
    good.
    """
    health = _health(table, host_id, now_ms)
    health.successes += 1
    table.failures_by_request.pop(request_id, None)
    if health.probe_request == request_id:
        health.probe_request = None
        health.probe_successes += 1
        if health.probe_successes >= PROBES_TO_RETURN:
            _return_to_service(health)


def _return_to_service(health: HostHealth) -> None:
    health.standing = Standing.ACTIVE
    health.successes = health.failures = 0.0
    health.probe_successes = 0


def record_failure(
    table: HealthTable, host_id: str, request_id: str, now_ms: int
) -> None:
    """Counts a request that failed on a host.

    The second host on which a request fails shows a bad task: this failure is
    not counted and that of the first host is taken back.
    """
    health = _health(table, host_id, now_ms)
    failed_ms_by_host = table.failures_by_request.setdefault(request_id, {})
    if host_id in failed_ms_by_host:
        _end_probe(health, request_id)
        return
    if len(failed_ms_by_host) == 1:
        _excuse_first(table, request_id, failed_ms_by_host, now_ms)
    is_bad_task = bool(failed_ms_by_host)
    failed_ms_by_host[host_id] = now_ms
    table.failures_by_request.move_to_end(request_id)
    while len(table.failures_by_request) > MAX_FAILED_REQUESTS:
        table.failures_by_request.popitem(last=False)
    was_probe = _end_probe(health, request_id)
    if is_bad_task:
        return
    health.failures += 1
    if was_probe:
        health.failed_probe = request_id
        _start_backoff(health, now_ms)


def _end_probe(health: HostHealth, request_id: str) -> bool:
    if health.probe_request != request_id:
        return False
    health.probe_request = None
    return True


def _excuse_first(
    table: HealthTable,
    request_id: str,
    failed_ms_by_host: dict[str, int],
    now_ms: int,
) -> None:
    for host_id, failed_ms in failed_ms_by_host.items():
        health = _health(table, host_id, now_ms)
        health.failures = max(health.failures - _decay(failed_ms, now_ms), 0.0)
        if health.failed_probe == request_id:
            health.failed_probe = None
            health.ejections -= 1
            health.probe_after_ms = now_ms


def should_eject(
    table: HealthTable,
    host_id: str,
    unavailable_count: int,
    max_unavailable: int,
    now_ms: int,
) -> bool:
    """Tells whether a host fails far more than its pool and may be taken out.

    `unavailable_count` is that of `_availability`, for whatever reason hosts are
    unavailable.
    """
    if unavailable_count + 1 > max_unavailable:
        return False
    health = _health(table, host_id, now_ms)
    if health.standing is not Standing.ACTIVE or health.failures < LEAST_FAILURES:
        return False
    share = health.failures / (health.failures + health.successes)
    pool_share = _failed_share_of_others(table, host_id, now_ms)
    return share >= LEAST_FAILED_SHARE and share >= LEAST_RATIO_TO_POOL * pool_share


def _failed_share_of_others(table: HealthTable, host_id: str, now_ms: int) -> float:
    """Returns the failed share of the other active hosts, 0 without results."""
    failures = successes = 0.0
    for other_id in table.health_by_host:
        other = _health(table, other_id, now_ms)
        if other_id != host_id and other.standing is Standing.ACTIVE:
            failures += other.failures
            successes += other.successes
    return failures / (failures + successes) if failures else 0.0


def eject(table: HealthTable, host_id: str, now_ms: int) -> None:
    """Takes a host out of service until probes succeed.

    A host that was healthy for the longest back-off starts with the shortest.
    """
    health = _health(table, host_id, now_ms)
    if now_ms - health.probe_after_ms > MAX_BACKOFF_MS:
        health.ejections = 0
    health.standing = Standing.EJECTED
    health.failed_probe = None
    _start_backoff(health, now_ms)


def _start_backoff(health: HostHealth, now_ms: int) -> None:
    backoff_ms = FIRST_BACKOFF_MS * 2 ** min(health.ejections, 16)
    health.ejections += 1
    health.probe_successes = 0
    health.probe_request = None
    health.probe_after_ms = now_ms + min(backoff_ms, MAX_BACKOFF_MS)


def is_routable(table: HealthTable, host_id: str) -> bool:
    """Tells whether a host may get requests other than probes."""
    health = table.health_by_host.get(host_id)
    return health is None or health.standing is Standing.ACTIVE


def begin_probe(table: HealthTable, host_id: str, request_id: str, now_ms: int) -> bool:
    """Reserves the only probe of an ejected host for a request, if one is due.

    The request must be idempotent and must not have failed elsewhere; a bad
    task says nothing about the host.
    """
    health = table.health_by_host.get(host_id)
    if health is None or health.standing is not Standing.EJECTED:
        return False
    is_probing = health.probe_request is not None
    has_timed_out = now_ms - health.probe_started_ms > PROBE_TIMEOUT_MS
    if now_ms < health.probe_after_ms or (is_probing and not has_timed_out):
        return False
    if request_id in table.failures_by_request:
        return False
    health.probe_request = request_id
    health.probe_started_ms = now_ms
    return True


def retain_hosts(table: HealthTable, host_ids: Collection[str]) -> None:
    """Forgets hosts that left the pool."""
    for host_id in set(table.health_by_host) - set(host_ids):
        del table.health_by_host[host_id]
