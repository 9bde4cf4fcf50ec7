"""Outlier ejection: hosts that fail far more requests than others get none.

One `HealthTable` covers the hosts of one pool as one entry host sees them. If a
request fails on two hosts, its task is considered faulty, and its failures count
against neither host. Ejection never exceeds the availability budget that the
caller passes in.
"""

from collections import OrderedDict
from collections.abc import Collection
from dataclasses import dataclass, field
from enum import StrEnum

# Time after which a recorded result counts half. A host with one result every 10 s
# still reaches a count of 4.8.
HALF_LIFE_MS = 30_000
# Conditions for an ejection: the decayed count of failures, their part of all results
# of the host, and that part relative to the rest of the pool. If all hosts of a pool
# fail equally often, the cause is faulty tasks or a faulty dependency.
MIN_FAILURES = 3.0
MIN_FAILURE_RATIO = 0.5
MIN_RATIO_TO_POOL = 2.0
# The back-off before the first probe doubles with each ejection or failed probe.
INITIAL_BACKOFF_MS = 5_000
MAX_BACKOFF_MS = 300_000
# Number of successful probes after which an ejected host returns to service.
PROBES_TO_RETURN = 3
# Time after which another probe may start if one has no result, for example because
# it was cancelled.
PROBE_TIMEOUT_MS = 60_000
# Number of failed requests whose hosts are remembered; bounds the memory.
MAX_FAILED_REQUESTS = 10_000


class EjectionState(StrEnum):
    """Whether a host gets requests or only probes."""

    ACTIVE = 'active'
    EJECTED = 'ejected'


@dataclass(slots=True, kw_only=True)
class HostHealth:
    """Recent results of one host; the counts halve every `HALF_LIFE_MS`.

    `ejections` is the number of ejections and failed probes since the host was
    last healthy. It determines the back-off.
    """

    successes: float = 0.0
    failures: float = 0.0
    counted_ms: int = 0
    ejection_state: EjectionState = EjectionState.ACTIVE
    ejections: int = 0
    probe_after_ms: int = 0
    probe_request: str | None = None
    probe_started_ms: int = 0
    probe_successes: int = 0
    failed_probe: str | None = None


@dataclass(slots=True, kw_only=True)
class HealthTable:
    """Health of the hosts of one pool, and hosts on which recent requests failed."""

    health_by_host: dict[str, HostHealth] = field(default_factory=dict)
    failures_by_request: OrderedDict[str, dict[str, int]] = field(
        default_factory=OrderedDict
    )


def _decayed_health(table: HealthTable, host_id: str, now_ms: int) -> HostHealth:
    """Returns the health of a host, with its counts decayed up to now."""
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
    """Records that a request succeeded on a host.

    Earlier failures of the request on other hosts still count, because the success
    shows that the task is not faulty.
    """
    health = _decayed_health(table, host_id, now_ms)
    health.successes += 1
    table.failures_by_request.pop(request_id, None)
    if health.probe_request == request_id:
        health.probe_request = None
        health.probe_successes += 1
        if health.probe_successes >= PROBES_TO_RETURN:
            _return_to_service(health)


def _return_to_service(health: HostHealth) -> None:
    health.ejection_state = EjectionState.ACTIVE
    health.successes = health.failures = 0.0
    health.probe_successes = 0


def record_failure(
    table: HealthTable, host_id: str, request_id: str, now_ms: int
) -> None:
    """Records that a request failed on a host.

    A failure on a second host shows that the task is faulty. This failure is then
    not counted, and that of the first host is no longer counted.
    """
    health = _decayed_health(table, host_id, now_ms)
    failed_ms_by_host = table.failures_by_request.setdefault(request_id, {})
    if host_id in failed_ms_by_host:
        _end_probe(health, request_id)
        return
    if len(failed_ms_by_host) == 1:
        _discount_first(table, request_id, failed_ms_by_host, now_ms)
    is_faulty_task = bool(failed_ms_by_host)
    failed_ms_by_host[host_id] = now_ms
    table.failures_by_request.move_to_end(request_id)
    while len(table.failures_by_request) > MAX_FAILED_REQUESTS:
        table.failures_by_request.popitem(last=False)
    was_probe = _end_probe(health, request_id)
    if is_faulty_task:
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


def _discount_first(
    table: HealthTable,
    request_id: str,
    failed_ms_by_host: dict[str, int],
    now_ms: int,
) -> None:
    for host_id, failed_ms in failed_ms_by_host.items():
        health = _decayed_health(table, host_id, now_ms)
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
    """Returns whether a host fails far more than its pool and may be ejected.

    `unavailable_count` is the count of `_availability`, which includes hosts that
    are unavailable for any reason.
    """
    if unavailable_count + 1 > max_unavailable:
        return False
    health = _decayed_health(table, host_id, now_ms)
    if (
        health.ejection_state is not EjectionState.ACTIVE
        or health.failures < MIN_FAILURES
    ):
        return False
    failure_ratio = health.failures / (health.failures + health.successes)
    pool_failure_ratio = _failure_ratio_of_others(table, host_id, now_ms)
    return (
        failure_ratio >= MIN_FAILURE_RATIO
        and failure_ratio >= MIN_RATIO_TO_POOL * pool_failure_ratio
    )


def _failure_ratio_of_others(table: HealthTable, host_id: str, now_ms: int) -> float:
    """Returns the failure ratio of the other active hosts, or 0 without failures."""
    failures = successes = 0.0
    for other_id in table.health_by_host:
        other = _decayed_health(table, other_id, now_ms)
        if other_id != host_id and other.ejection_state is EjectionState.ACTIVE:
            failures += other.failures
            successes += other.successes
    return failures / (failures + successes) if failures else 0.0


def eject(table: HealthTable, host_id: str, now_ms: int) -> None:
    """Ejects a host until probes succeed.

    A host that was healthy for at least `MAX_BACKOFF_MS` starts again with the
    initial back-off.
    """
    health = _decayed_health(table, host_id, now_ms)
    if now_ms - health.probe_after_ms > MAX_BACKOFF_MS:
        health.ejections = 0
    health.ejection_state = EjectionState.EJECTED
    health.failed_probe = None
    _start_backoff(health, now_ms)


def _start_backoff(health: HostHealth, now_ms: int) -> None:
    backoff_ms = INITIAL_BACKOFF_MS * 2 ** min(health.ejections, 16)
    health.ejections += 1
    health.probe_successes = 0
    health.probe_request = None
    health.probe_after_ms = now_ms + min(backoff_ms, MAX_BACKOFF_MS)


def is_routable(table: HealthTable, host_id: str) -> bool:
    """Returns whether a host may get requests other than probes."""
    health = table.health_by_host.get(host_id)
    return health is None or health.ejection_state is EjectionState.ACTIVE


def begin_probe(table: HealthTable, host_id: str, request_id: str, now_ms: int) -> bool:
    """Makes a request the probe of an ejected host, if a probe is due.

    A host has one probe at a time. The request must be idempotent, and it must not
    have failed before, since a faulty task would say nothing about the host.
    """
    health = table.health_by_host.get(host_id)
    if health is None or health.ejection_state is not EjectionState.EJECTED:
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
    """Removes the health of all hosts except the given ones."""
    for host_id in set(table.health_by_host) - set(host_ids):
        del table.health_by_host[host_id]
