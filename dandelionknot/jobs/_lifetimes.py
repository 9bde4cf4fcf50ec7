"""Decides which lifetime of a backend server is its latest one.

A backend server may start again under its id. Facts about its lifetimes, such as the
records of a former leader and entries of the registry, arrive in any order, and the
clock of its host may be set back between two lifetimes. So neither the order of arrival
nor the start times show for certain which lifetime is the latest one. The answer of the
backend server does: an answer to a call that was made after another lifetime was known
to have begun shows that this other one has ended. Start times decide only if the
backend server does not answer.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from dandelionknot.events import Event
from dandelionknot.jobs import _crashes, _late_starts
from dandelionknot.jobs._generated import BackendReport, HoldReport
from dandelionknot.jobs._leases import max_former_lease_ms, max_later_lease_ms
from dandelionknot.jobs._state import (
    BackendState,
    Lifetime,
    TaskPhase,
    TaskState,
    rack_of,
    reassign,
)

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# Why tasks of an earlier lifetime are requeued.
RESTARTED = 'backend server restarted'
# Why an entry of a lifetime that has ended is ignored.
OTHER_ANSWERED = 'another lifetime has answered since'


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
    known_born_ms = scheduler.known_born_ms_by_id.setdefault(backend_id, born_ms)
    backend.follows_another = known_born_ms != born_ms
    backend.known_at_begin = not scheduler.planned_ms
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
    reason = _reason_to_ignore(scheduler, backend, report)
    if not reason and backend and backend.born_ms not in (0, report.born_ms):
        if _is_contested(scheduler, backend, report, now_ms):
            _ask(backend, report, now_ms)
            reason = 'the backend server has to show first that it has started again'
        else:
            _replace(scheduler, backend, report.born_ms, now_ms)
            backend = None
    if reason:
        _note_ignored(scheduler, report, reason)
        return
    if backend is None:
        backend = _registered(scheduler, report, now_ms)
    elif backend.report is None or backend.report.draining != report.draining:
        if report.draining:
            scheduler.note(Event.BACKEND_DRAINING, _fields(backend, report))
    backend.leaving = report.draining
    backend.born_ms = report.born_ms or backend.born_ms
    backend.host_id = backend.host_id or report.host_id
    # A long-running task might be placed on it before moves are planned next.
    backend.borrowed = backend.host_id in scheduler.capacity.homes_by_host_id
    backend.address, backend.address_lent = report.address, False
    backend.entry_number = max(backend.entry_number, report.entry_number)
    backend.report = report


def _reason_to_ignore(
    scheduler: Scheduler, backend: BackendState | None, report: BackendReport
) -> str:
    """Returns why an entry must not be applied, or an empty text."""
    if backend is not None and backend.born_ms and not report.born_ms:
        # Another writer's entry. It names no lifetime, so it shows no restart.
        return 'the entry does not state the start of the process'
    if Lifetime(report.backend_id, report.born_ms) in scheduler.ended_lifetimes:
        return OTHER_ANSWERED
    if (
        backend is not None
        and report.born_ms == backend.born_ms
        and 0 < report.entry_number < backend.entry_number
    ):
        return 'a later entry of the same lifetime is known'
    return ''


def _is_contested(
    scheduler: Scheduler, backend: BackendState, report: BackendReport, now_ms: int
) -> bool:
    """Whether an entry of another lifetime leaves open which one is the later.

    The write of an entry may be carried out after a later lifetime has begun. Its start
    time counts only against a lifetime that this leader has reached and lost, or that
    runs nothing.
    """
    if backend.lifetime in scheduler.ended_lifetimes:
        return False
    if backend.reachable:
        return True
    if backend.lapses_at_ms is not None and now_ms >= backend.lapses_at_ms:
        return False
    if report.born_ms < backend.born_ms:
        return True
    return bool(backend.tasks_by_name) and not backend.fenced


def _ask(backend: BackendState, report: BackendReport, now_ms: int) -> None:
    """Keeps an entry of another lifetime until the backend server has answered.

    A lifetime that only records of a former leader name has no address. It is asked at
    that of the entry, where another backend server may listen by now.
    """
    if backend.contested_by is None or backend.contested_by.born_ms != report.born_ms:
        backend.contested_since_ms = now_ms
    backend.contested_by = report
    if not backend.address:
        backend.address, backend.address_lent = report.address, True


def answered(
    scheduler: Scheduler,
    backend: BackendState,
    report: HoldReport,
    sent_ms: int,
    now_ms: int,
    unix_ms: int,
) -> None:
    """Ends all other lifetimes of a backend server that has answered as this one.

    `sent_ms` is the local time of the call. Only lifetimes that were known by then have
    begun before the answer. Until its first answer, a late call to an earlier lifetime
    may have given it the longest lease, as its deadline is on another clock.
    """
    longest_ms = max_later_lease_ms(scheduler.hold_max_ms)
    is_young = unix_ms - backend.born_ms < _late_starts.LATE_CALL_MS + longest_ms
    if not backend.fenced and (
        backend.follows_another or (backend.known_at_begin and is_young)
    ):
        backend.leased_until_ms = now_ms + longest_ms
    backend.address_lent = False
    for former in scheduler.former_backends:
        if former.backend_id == backend.backend_id:
            scheduler.ended_lifetimes.add(former.lifetime)
            _move_runs(scheduler, former, backend, report)
            scheduler.requeue_tasks(former, RESTARTED)
    contested = backend.contested_by
    if contested is not None and sent_ms > backend.contested_since_ms:
        backend.contested_by = None
        _set_ended(scheduler, contested, OTHER_ANSWERED)


def take_over_runs(
    scheduler: Scheduler,
    backend: BackendState,
    report: HoldReport,
    now_ms: int,
) -> None:
    """Keeps the runs that have begun in another lifetime than the known one.

    A backend server may start again without its leader noticing, and then accept starts
    that were meant for the former lifetime. `report` is the answer of the other one.
    """
    other = _later_state(scheduler, backend, report.born_ms, now_ms)
    _move_runs(scheduler, backend, other, report)


def _later_state(
    scheduler: Scheduler, backend: BackendState, born_ms: int, now_ms: int
) -> BackendState:
    """Returns the state of a lifetime that takes over runs of the known one."""
    lifetime = Lifetime(backend.backend_id, born_ms)
    later = _former(scheduler, lifetime)
    if later is None:
        later = _new_state(scheduler, *lifetime, now_ms)
        lapses_at_ms = later_lapses_at_ms(scheduler, backend, now_ms)
        later.lapses_at_ms = later.leased_until_ms = lapses_at_ms
        later.host_id = backend.host_id
        # A list of hosts that was requested earlier may be from before its start.
        later.lost_at_ms = now_ms
        scheduler.former_backends.append(later)
    return later


def later_lapses_at_ms(scheduler: Scheduler, backend: BackendState, now_ms: int) -> int:
    """Returns the local time by which the lease of a later lifetime has expired.

    It is that without calls that are carried out late.
    """
    if not backend.fenced:
        # A former leader may have made them.
        return backend.lapses_at_ms or now_ms + max_former_lease_ms(
            scheduler.hold_max_ms
        )
    lost_at_ms = now_ms if backend.reachable else backend.lost_at_ms
    return lost_at_ms + max_later_lease_ms(scheduler.hold_max_ms)


def _move_runs(
    scheduler: Scheduler,
    source: BackendState,
    target: BackendState,
    report: HoldReport,
) -> None:
    """Moves runs from one lifetime to the later one in which they have begun.

    Those are the runs that its report lists, and those whose start it has accepted
    since, as the clock in the answer shows. The start of a run that was not answered is
    withdrawn.
    """
    listed = {(row.task_name, row.run) for row in report.running}
    listed |= {(row.task_name, row.run) for row in report.ended}
    for task in list(source.tasks_by_name.values()):
        if (task.name, task.run) in listed:
            _move_run(scheduler, task, target)
            task.unconfirmed = False
        elif task.in_later_lifetime:
            _move_run(scheduler, task, target)
        elif source.reachable and _is_unanswered(task):
            _move_run(scheduler, task, target)
            _withdraw_start(scheduler, task)


def _move_run(scheduler: Scheduler, task: TaskState, target: BackendState) -> None:
    """Moves a run to a later lifetime, in which it begins anew.

    Its time and progress in the former lifetime do not count. They would make it look
    slow, and its backend server would be avoided.
    """
    reassign(task, target)
    task.percent = 0
    task.confirmed_at_ms = task.progressed_at_ms = scheduler.planned_ms
    scheduler.mark_dirty(task.step.job)


def _withdraw_start(scheduler: Scheduler, task: TaskState) -> None:
    """Stops a run whose start may reach the lifetime to which it was moved.

    A stop that was sent to the former lifetime has no effect there.
    """
    task.stopping = False
    scheduler.stop(task, 'start not answered')


def _is_unanswered(task: TaskState) -> bool:
    """Whether this leader has sent the start of a run and has no answer."""
    return task.start_sent and not task.unconfirmed and task.phase is TaskPhase.PLACED


def _may_run_later(task: TaskState) -> bool:
    """Whether a later lifetime than the known one may have begun a run.

    A start names no lifetime. A try without an answer may reach any, even if another
    try was answered, and so may one that a former leader sent.
    """
    if task.in_later_lifetime or task.unconfirmed or _is_unanswered(task):
        return True
    backend_id = task.backend.backend_id if task.backend else ''
    start = task.late_starts_by_backend_id.get(backend_id)
    return start is not None and not start.is_assumed


def kept_beyond_lease(
    scheduler: Scheduler, backend: BackendState, now_ms: int
) -> list[TaskState]:
    """Returns the tasks that may still run although the lease has expired.

    The lease that was computed is that of the known lifetime.
    """
    lapses_at_ms = later_lapses_at_ms(scheduler, backend, now_ms)
    is_unreached = backend.follows_another and not backend.fenced
    may_be_up = not _late_starts.seems_down(
        scheduler, backend.backend_id, backend.host_id
    )
    if may_be_up and (backend.fenced or is_unreached):
        # Late calls may extend the lease of a later lifetime until it is reached.
        lapses_at_ms += _late_starts.LATE_CALL_MS
    return [
        task
        for task in backend.tasks_by_name.values()
        if (now_ms < lapses_at_ms and (is_unreached or _may_run_later(task)))
        or _late_starts.must_wait(scheduler, task, now_ms)
    ]


def _hand_over(scheduler: Scheduler, former: BackendState, later: BackendState) -> int:
    """Requeues the runs of a lifetime that has ended, unless a later one may have them.

    The later lifetime does not answer. It keeps those runs until it does or until its
    own lease has certainly expired. Starts without an answer are withdrawn there.
    Returns the number of runs that are kept.
    """
    kept = [task for task in former.tasks_by_name.values() if _may_run_later(task)]
    scheduler.requeue_tasks(former, RESTARTED, kept=kept)
    for task in kept:
        is_unanswered = _is_unanswered(task)
        _move_run(scheduler, task, later)
        if is_unanswered:
            _withdraw_start(scheduler, task)
    return len(kept)


def other_answered(
    scheduler: Scheduler, backend: BackendState, answered_born_ms: int, now_ms: int
) -> None:
    """Makes the lifetime current that has answered in place of the known one.

    `answered_born_ms` is 0 if another backend server has answered at its address.
    """
    contested, backend.contested_by = backend.contested_by, None
    if answered_born_ms:
        scheduler.ended_lifetimes.add(backend.lifetime)
    if contested is not None and answered_born_ms in (0, contested.born_ms):
        _replace(scheduler, backend, contested.born_ms, now_ms)
        apply_entry(scheduler, contested, now_ms)
        return
    if contested is not None:
        _set_ended(scheduler, contested, OTHER_ANSWERED)
    former = _former(scheduler, Lifetime(backend.backend_id, answered_born_ms))
    if former is not None:
        scheduler.former_backends.remove(former)
        scheduler.backends_by_id[backend.backend_id] = former
        former.address = backend.address


def not_answered(scheduler: Scheduler, backend: BackendState, now_ms: int) -> None:
    """Orders lifetimes by their start times, since the backend server is silent."""
    for former in scheduler.former_backends:
        if (
            former.backend_id == backend.backend_id
            and 0 < former.born_ms < backend.born_ms
        ):
            _hand_over(scheduler, former, backend)
    contested = backend.contested_by
    if contested is not None and contested.born_ms > backend.born_ms:
        _replace(scheduler, backend, contested.born_ms, now_ms)
        apply_entry(scheduler, contested, now_ms)


def address_reused(scheduler: Scheduler, backend: BackendState) -> None:
    """Drops an entry at whose address another backend server has answered.

    The known lifetime was asked there only because it has no address of its own.
    """
    backend.address, backend.address_lent = '', False
    contested, backend.contested_by = backend.contested_by, None
    if contested is not None:
        _set_ended(scheduler, contested, 'another backend server has its address')


def plan(scheduler: Scheduler, now_ms: int) -> None:
    """Applies entries that were kept until the lease of the known lifetime expired."""
    for backend in list(scheduler.backends_by_id.values()):
        report = backend.contested_by
        if report and not _is_contested(scheduler, backend, report, now_ms):
            apply_entry(scheduler, report, now_ms)


def _set_ended(scheduler: Scheduler, report: BackendReport, reason: str) -> None:
    """Records that the lifetime of an entry has ended, so that it is ignored."""
    scheduler.ended_lifetimes.add(Lifetime(report.backend_id, report.born_ms))
    _note_ignored(scheduler, report, reason)


def _note_ignored(scheduler: Scheduler, report: BackendReport, reason: str) -> None:
    scheduler.note(
        Event.BACKEND_ENTRY_IGNORED,
        {
            'backend_id': report.backend_id,
            'born_ms': report.born_ms,
            'entry_number': report.entry_number,
            'reason': reason,
        },
    )


def _replace(
    scheduler: Scheduler, backend: BackendState, born_ms: int, now_ms: int
) -> None:
    """Hands the tasks of a lifetime over to a later one that has replaced it.

    The later lifetime shows that no task runs in the former one any more.
    """
    del scheduler.backends_by_id[backend.backend_id]
    tasks = len(backend.tasks_by_name)
    later = _later_state(scheduler, backend, born_ms, now_ms)
    kept = _hand_over(scheduler, backend, later)
    scheduler.note(
        Event.BACKEND_REBORN,
        {
            'backend_id': backend.backend_id,
            'born_ms': born_ms,
            'tasks_lost': tasks - kept,
            'tasks_kept': kept,
        },
    )


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


def _fields(backend: BackendState, report: BackendReport) -> dict:
    return {
        'backend_id': backend.backend_id,
        'service': report.service,
        'availability_zone': report.availability_zone,
        'born_ms': report.born_ms,
        'host_id': report.host_id,
        'tasks': len(backend.tasks_by_name),
    }
