"""Tells which backend servers get starts, and why the others do not."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dandelionknot.jobs._state import BackendState

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler


def is_usable(scheduler: Scheduler, backend: BackendState, now_ms: int) -> bool:
    """Whether a backend server gets starts now."""
    report = backend.report
    return (
        report is not None
        and backend.fenced
        and backend.reachable
        and backend.contested_by is None
        and not is_closed(scheduler, backend)
        and not backend.isolated_tasks
        and backend.avoid_until_ms <= now_ms
        and backend.full_until_ms <= now_ms
    )


def is_closed(scheduler: Scheduler, backend: BackendState) -> bool:
    """Whether a backend server gets no starts because it or its host is to go away."""
    report = backend.report
    return (
        report is None
        or report.draining
        or backend.cordoned
        or backend.moving
        or backend.ending
        or report.availability_zone in scheduler.excluded_zones
    )


def unusable_counts(scheduler: Scheduler, service: str, now_ms: int) -> dict[str, int]:
    """Returns how many backend servers of a service get no starts, by the reason."""
    counts: dict[str, int] = {}
    for backend in scheduler.backends_by_id.values():
        if backend.report is None or backend.report.service != service:
            continue
        if not is_usable(scheduler, backend, now_ms):
            reason = unusable_reason(scheduler, backend)
            counts[reason] = counts.get(reason, 0) + 1
    return counts


def unusable_reason(scheduler: Scheduler, backend: BackendState) -> str:
    """Returns the first reason for which a backend server is not usable."""
    report = backend.report
    holds_by_reason = {
        'not reached': not (backend.fenced and backend.reachable),
        'another lifetime is registered': backend.contested_by is not None,
        'draining': report is not None and report.draining,
        'cordoned': backend.cordoned,
        'host is moved': backend.moving,
        'ends by an order': backend.ending,
        'isolated task': backend.isolated_tasks > 0,
        'zone excluded': report is not None
        and report.availability_zone in scheduler.excluded_zones,
    }
    return next((r for r, holds in holds_by_reason.items() if holds), 'paused')
