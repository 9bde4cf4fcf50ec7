"""Decides which lifetime of a backend server is its latest one.

A backend server may start again under its id. Facts about its lifetimes, such as the
records of a former leader and entries of the registry, arrive in any order, so the
start times of the lifetimes decide and not the order of arrival. A lifetime with a
later start time shows that no task of an earlier one runs any more.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from dandelionknot.events import Event
from dandelionknot.jobs import _crashes
from dandelionknot.jobs._generated import BackendReport
from dandelionknot.jobs._leases import max_former_lease_ms
from dandelionknot.jobs._state import BackendState, Lifetime, rack_of

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# Why tasks of an earlier lifetime are requeued.
RESTARTED = 'backend server restarted'


def restored(
    scheduler: Scheduler, backend_id: str, born_ms: int, now_ms: int
) -> BackendState:
    """Returns the state of the lifetime on which a former leader placed a task.

    An unknown lifetime is added. Its tasks may run until the longest lease that a
    former leader can have given has expired. The records may name several lifetimes of
    one backend server, if the former leader ended while it requeued the tasks of the
    earlier one.
    """
    known = scheduler.backends_by_id.get(backend_id)
    if known is not None and known.born_ms == born_ms:
        return known
    backend = _former(scheduler, Lifetime(backend_id, born_ms))
    if backend is not None:
        return backend
    backend = _new_state(scheduler, backend_id, born_ms, now_ms)
    if known is None:
        scheduler.backends_by_id[backend_id] = backend
    elif known.born_ms < born_ms and not _is_in_use(known):
        scheduler.former_backends.append(known)
        scheduler.backends_by_id[backend_id] = backend
    else:
        scheduler.former_backends.append(backend)
    return backend


def _is_in_use(backend: BackendState) -> bool:
    """Whether more than records of a former leader is known of a lifetime."""
    return backend.report is not None or backend.fenced


def _former(scheduler: Scheduler, lifetime: Lifetime) -> BackendState | None:
    return next(
        (state for state in scheduler.former_backends if state.lifetime == lifetime),
        None,
    )


def _new_state(
    scheduler: Scheduler, backend_id: str, born_ms: int, now_ms: int
) -> BackendState:
    lapses_at_ms = now_ms + max_former_lease_ms(scheduler.hold_max_ms)
    backend = BackendState(backend_id, born_ms, lapses_at_ms)
    backend.last_sign_ms = scheduler.restored_signs_ms.get(backend.lifetime, 0)
    return backend


def sign_restored(scheduler: Scheduler, lifetime: Lifetime, sign_ms: int) -> None:
    """Restores the local time of a sign of life of a lifetime that was lost since."""
    signs_ms = scheduler.restored_signs_ms
    signs_ms[lifetime] = max(sign_ms, signs_ms.get(lifetime, 0))
    known = scheduler.backends_by_id.get(lifetime.backend_id)
    if known is None or known.lifetime != lifetime:
        known = _former(scheduler, lifetime)
    if known is not None:
        known.last_sign_ms = max(known.last_sign_ms, sign_ms)


def note_replaced(scheduler: Scheduler, reports: Iterable[BackendReport]) -> None:
    """Records which lifetimes with stored runs have ended before this term.

    It is called with all entries of the registry, before the first is applied.
    """
    states_by_id: dict[str, list[BackendState]] = {}
    for state in [*scheduler.backends_by_id.values(), *scheduler.former_backends]:
        states_by_id.setdefault(state.backend_id, []).append(state)
    _crashes.unreached_lost(
        scheduler,
        (
            (state, rack_of(report))
            for report in reports
            for state in states_by_id.get(report.backend_id, [])
            if 0 < state.born_ms < report.born_ms
        ),
    )


def apply_entry(scheduler: Scheduler, report: BackendReport, now_ms: int) -> None:
    """Adds or updates the lifetime that an entry of the registry is of."""
    backend = scheduler.backends_by_id.get(report.backend_id)
    if backend is not None:
        reason = _reason_to_ignore(backend, report, now_ms)
        if reason:
            scheduler.note(
                Event.BACKEND_ENTRY_IGNORED,
                {'backend_id': report.backend_id, 'reason': reason},
            )
            return
        if backend.born_ms not in (0, report.born_ms):
            _replace(scheduler, backend, report.born_ms)
            backend = None
    if backend is None:
        backend = _registered(scheduler, report, now_ms)
    elif backend.report is None or backend.report.draining != report.draining:
        if report.draining:
            scheduler.note(Event.BACKEND_DRAINING, _fields(backend, report))
    backend.leaving = report.draining
    backend.born_ms = report.born_ms or backend.born_ms
    backend.host_id = backend.host_id or report.host_id
    backend.entry_number = max(backend.entry_number, report.entry_number)
    backend.report = report
    _end_earlier(scheduler, backend)


def _reason_to_ignore(backend: BackendState, report: BackendReport, now_ms: int) -> str:
    """Returns why an entry must not be applied, or an empty text."""
    if backend.born_ms and not report.born_ms:
        # Another writer's entry. It names no lifetime, so it shows no restart.
        return 'the entry does not state the start of the process'
    if _may_be_outdated(backend, report, now_ms):
        return 'the entry may be of a former lifetime, written late'
    if report.born_ms == backend.born_ms and (
        0 < report.entry_number < backend.entry_number
    ):
        return 'a later entry of the same lifetime is known'
    return ''


def _may_be_outdated(backend: BackendState, report: BackendReport, now_ms: int) -> bool:
    """Whether an entry may be of an earlier lifetime than the known one.

    A write of a former lifetime may be carried out late. If the clock of the host was
    set back, the later lifetime has the earlier start time. Only the backend server
    itself can tell then, or the end of its lease.
    """
    if not 0 < report.born_ms < backend.born_ms:
        return False
    return backend.lapses_at_ms is None or now_ms < backend.lapses_at_ms


def _replace(scheduler: Scheduler, backend: BackendState, born_ms: int) -> None:
    """Requeues the tasks of a lifetime that a later one has replaced.

    The later lifetime shows that no task runs in the former one any more.
    """
    del scheduler.backends_by_id[backend.backend_id]
    scheduler.note(
        Event.BACKEND_REBORN,
        {
            'backend_id': backend.backend_id,
            'born_ms': born_ms,
            'tasks_lost': len(backend.tasks_by_name),
        },
    )
    scheduler.requeue_tasks(backend, RESTARTED)


def _registered(
    scheduler: Scheduler, report: BackendReport, now_ms: int
) -> BackendState:
    """Returns the state of a lifetime whose first entry was read.

    It exists already if records of a former leader have named it after another one.
    """
    backend = _former(scheduler, Lifetime(report.backend_id, report.born_ms))
    if backend is None:
        backend = _new_state(scheduler, report.backend_id, report.born_ms, now_ms)
    else:
        scheduler.former_backends.remove(backend)
    scheduler.backends_by_id[report.backend_id] = backend
    scheduler.note(Event.BACKEND_APPEARED, _fields(backend, report))
    return backend


def _end_earlier(scheduler: Scheduler, backend: BackendState) -> None:
    """Requeues the tasks of all earlier lifetimes of a registered backend server."""
    for former in scheduler.former_backends:
        if (
            former.backend_id == backend.backend_id
            and 0 < former.born_ms < backend.born_ms
        ):
            scheduler.requeue_tasks(former, RESTARTED)


def _fields(backend: BackendState, report: BackendReport) -> dict:
    return {
        'backend_id': backend.backend_id,
        'service': report.service,
        'availability_zone': report.availability_zone,
        'born_ms': report.born_ms,
        'host_id': report.host_id,
        'tasks': len(backend.tasks_by_name),
    }
