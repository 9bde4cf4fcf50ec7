"""Tracks starts without an answer that a backend server may still carry out.

The platform may carry out a call without an answer seconds later. In the lifetime of
the backend server to which a start was sent, a stop, a newer fencing token or the
deadline of the start bars it. A later lifetime under the same id has seen none of
these, so it carries the start out, unless it has accepted a call with a newer token.
Such a start is open for as long as that may happen. Its task

- waits until the backend server has answered, or until a run that it may have begun
  unseen has certainly ended (`must_wait`);
- is then bound to that backend server for a while (`allowed_backends`);
- is not acknowledged as done meanwhile (`withhold_end`).

Its backend server gets no acknowledgement meanwhile (`ends_to_acknowledge`). One that
the next lifetime carries out after the start would make it forget the end of that run.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from dandelionknot.jobs import _lifetimes, _strays, _usability
from dandelionknot.jobs._generated import Resources
from dandelionknot.jobs._leases import max_later_lease_ms
from dandelionknot.jobs._maintenance import UP, shows_end
from dandelionknot.jobs._state import (
    BackendState,
    JobState,
    LateStart,
    TaskPhase,
    TaskState,
    tasks_of,
)

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# Longest time after which the platform carries out a call without an answer.
LATE_CALL_MS = 12_000
# Longest time from the placement of a run until the last try of its start.
SENDING_MS = 3000
# Most ends that may wait to be acknowledged, since one report lists a limited number.
MAX_WITHHELD_ENDS = 250
# Time from the sending of a start until its first try counts as unanswered, and until
# its last try was made.
FIRST_TRY_MS = 150
TRIES_MS = 1150
# Longest pause of starts to a backend server that does not release its tasks. Servers
# whose tasks fail or make no progress are avoided for longer.
MAX_PAUSE_MS = 1000
# Time for which a task waits at the begin of a term if its start may be open, but no
# try without an answer is known, and its backend server seems to be down.
ASSUMED_WAIT_MS = 2000
# Fewest attempts that a failed task must have left to be bound to the backend server
# where it failed, so that one more failure there leaves one for another server.
MIN_ATTEMPTS_LEFT = 2
NO_RESOURCES = Resources()


def note_unanswered(
    scheduler: Scheduler, task: TaskState, backend: BackendState, tried_ms: int
) -> None:
    """Records that a try of a task's start, at a local time, was not answered."""
    until_ms = tried_ms + LATE_CALL_MS
    starts_by_backend_id = task.late_starts_by_backend_id
    start = starts_by_backend_id.setdefault(backend.backend_id, LateStart(0, 0))
    bound_until_ms = tried_ms + max_later_lease_ms(scheduler.hold_max_ms)
    task.bound_until_ms = max(task.bound_until_ms, bound_until_ms)
    if start.is_assumed:
        # It is stored from now on.
        scheduler.mark_dirty(task.step.job)
    start.is_assumed = False
    start.host_id = backend.host_id
    if until_ms <= start.until_ms:
        return
    start.until_ms = until_ms
    start.until_unix_ms = until_ms + scheduler.planned_unix_ms - scheduler.planned_ms
    scheduler.late_start_tasks_by_name[task.name] = task
    scheduler.mark_dirty(task.step.job)


def note_pending(scheduler: Scheduler, task: TaskState, now_ms: int) -> None:
    """Records the tries of a start whose outcome comes after the end of its run."""
    sent_ms = task.start_pending_ms
    if task.backend is not None and sent_ms and now_ms >= sent_ms + FIRST_TRY_MS:
        tried_ms = min(now_ms, sent_ms + TRIES_MS)
        note_unanswered(scheduler, task, task.backend, tried_ms)


def note_not_carried_out(
    scheduler: Scheduler, task: TaskState, backend: BackendState
) -> None:
    """Records that a start of a former leader has had no effect yet."""
    start = task.late_starts_by_backend_id.get(backend.backend_id)
    if start is not None:
        start.is_assumed = False
        scheduler.mark_dirty(task.step.job)


def note_found(task: TaskState, backend: BackendState) -> None:
    """Forgets an assumed start, since its run has begun.

    A former leader has repeated a start only after storing that a try had no answer.
    """
    start = task.late_starts_by_backend_id.get(backend.backend_id)
    if start is not None and start.is_assumed:
        del task.late_starts_by_backend_id[backend.backend_id]


def note_failed(task: TaskState, backend: BackendState) -> None:
    """Records that a run has failed where a start of its task may be open.

    One failure is taken for that of the task if other tasks have been done on the
    backend server, none has failed there since, and a try without an answer is known.
    The last attempt of a task is left for another one.
    """
    start = task.late_starts_by_backend_id.get(backend.backend_id)
    if start is None:
        return
    start.failures += 1
    attempts_left = task.step.job.queue.max_attempts - task.failures
    is_sound = backend.has_done_tasks and backend.consecutive_failures == 1
    is_sound = is_sound and not start.is_assumed
    if not is_sound or start.failures > 1 or attempts_left < MIN_ATTEMPTS_LEFT:
        start.has_failed = True


def job_restored(state: JobState, now_ms: int, unix_ms: int) -> None:
    """Restores until when ends of a job are not acknowledged from its record."""
    left_ms = min(state.late_until_unix_ms - unix_ms, LATE_CALL_MS)
    state.former_late_until_ms = now_ms + left_ms if left_ms > 0 else 0


def tasks_restored(
    scheduler: Scheduler, state: JobState, now_ms: int, unix_ms: int
) -> None:
    """Restores the open starts of a job's tasks from the times in its record.

    The tries of a former leader that no record names are those made right before its
    end, so the start of a run that was placed lately counts as open. The backend server
    may have been lost before this term.
    """
    longest_ms = max_later_lease_ms(scheduler.hold_max_ms)
    for task in tasks_of(state):
        if task.backend is not None and task.unconfirmed:
            until_unix_ms = task.placed_unix_ms + SENDING_MS + LATE_CALL_MS
            latest = task.late_starts_by_backend_id.setdefault(
                task.backend.backend_id, LateStart(0, 0, is_assumed=True)
            )
            latest.until_unix_ms = max(latest.until_unix_ms, until_unix_ms)
            latest.host_id = task.backend.host_id
        for start in task.late_starts_by_backend_id.values():
            left_ms = start.until_unix_ms - unix_ms
            start.until_ms = now_ms + min(left_ms, SENDING_MS + LATE_CALL_MS)
            wait_ms = ASSUMED_WAIT_MS if start.is_assumed else longest_ms
            start.waits_until_ms = now_ms + wait_ms
        if task.late_starts_by_backend_id:
            scheduler.late_start_tasks_by_name[task.name] = task


def plan(scheduler: Scheduler, now_ms: int) -> None:
    """Forgets starts that can no longer be carried out, or whose runs have ended."""
    longest_ms = max_later_lease_ms(scheduler.hold_max_ms)
    for account in scheduler.accounts_by_name.values():
        account.unseen = NO_RESOURCES
    for task in _strays.tasks_with_strays(scheduler, now_ms):
        _add_unseen(task)
    for name, task in list(scheduler.late_start_tasks_by_name.items()):
        _keep_loss_times(scheduler, task, longest_ms)
        if task.backend is not None:
            task.bound_until_ms = now_ms + longest_ms
        elif task.step.job.final:
            pass
        elif task.phase is TaskPhase.WAITING and must_wait(scheduler, task, now_ms):
            task.bound_until_ms = now_ms + longest_ms
            if not _strays.must_wait(scheduler, task, now_ms):
                _add_unseen(task)
        task.late_starts_by_backend_id = {
            backend_id: start
            for backend_id, start in task.late_starts_by_backend_id.items()
            if now_ms < start.until_ms
            or may_run_unseen(scheduler, backend_id, start, now_ms)
        }
        if not task.late_starts_by_backend_id:
            del scheduler.late_start_tasks_by_name[name]


def _keep_loss_times(scheduler: Scheduler, task: TaskState, longest_ms: int) -> None:
    """Keeps hosts and times of losses, since states of servers may be forgotten."""
    for backend_id, start in task.late_starts_by_backend_id.items():
        state = scheduler.backends_by_id.get(backend_id)
        if state is None:
            continue
        start.host_id = start.host_id or state.host_id
        if not (state.reachable or start.is_assumed) and state.lost_at_ms:
            start.lost_at_ms = state.lost_at_ms
            waits_until_ms = state.lost_at_ms + longest_ms
            start.waits_until_ms = max(start.waits_until_ms, waits_until_ms)


def _add_unseen(task: TaskState) -> None:
    """Counts one more run that may be under way towards a client account's limit."""
    account, used = task.step.job.account, task.step.spec.resources
    account.unseen = Resources(
        cpu_millicores=account.unseen.cpu_millicores + used.cpu_millicores,
        memory_mb=account.unseen.memory_mb + used.memory_mb,
        accelerators=account.unseen.accelerators + used.accelerators,
    )


def note_requeued(scheduler: Scheduler, task: TaskState, now_ms: int) -> None:
    """Records how long a task waits for the backend server that it has lost.

    Its state may be forgotten before it answers.
    """
    backend = task.backend
    if backend is None:
        return
    if task.start_pending_ms:
        note_unanswered(scheduler, task, backend, now_ms)
    task.bound_until_ms = now_ms + max_later_lease_ms(scheduler.hold_max_ms)
    start = task.late_starts_by_backend_id.get(backend.backend_id)
    if start is not None and not backend.reachable and not start.is_assumed:
        lapses_at_ms = _lifetimes.later_lapses_at_ms(scheduler, backend, now_ms)
        start.waits_until_ms = max(start.waits_until_ms, lapses_at_ms)


def must_wait(scheduler: Scheduler, task: TaskState, now_ms: int) -> bool:
    """Whether a run of a waiting task may be under way.

    It is one that is being stopped, or one that a backend server may have begun unseen
    in a later lifetime. A step with speculative tasks allows that.
    """
    if task.step.spec.speculative:
        return False
    return _strays.must_wait(scheduler, task, now_ms) or any(
        may_run_unseen(scheduler, backend_id, start, now_ms)
        for backend_id, start in task.late_starts_by_backend_id.items()
    )


def may_run_unseen(
    scheduler: Scheduler, backend_id: str, start: LateStart, now_ms: int
) -> bool:
    """Whether a backend server may have begun a run that this leader has not seen.

    If it seems to be down for good, this counts only as long as a run that it had begun
    before its loss could last.
    """
    if _is_reached(scheduler, backend_id):
        return False
    host = scheduler.maintenance.hosts_by_id.get(start.host_id)
    is_listed_since = scheduler.hosts_listed_ms > start.lost_at_ms
    if host is not None and host.backend_id not in ('', backend_id) and is_listed_since:
        return False
    longest_ms = max_later_lease_ms(scheduler.hold_max_ms)
    if not seems_down(scheduler, backend_id, start.host_id):
        return now_ms < start.until_ms + longest_ms
    return now_ms < start.waits_until_ms


def _is_reached(scheduler: Scheduler, backend_id: str) -> bool:
    """Whether the latest lifetime of a backend server has answered its link."""
    state = scheduler.backends_by_id.get(backend_id)
    return (
        state is not None
        and state.reachable
        and state.fenced
        and state.contested_by is None
    )


def seems_down(scheduler: Scheduler, backend_id: str, host_id: str) -> bool:
    """Whether the list of hosts, or without one the registry, shows no such server.

    `host_id` is its host; empty if that is not known.
    """
    hosts_by_id = scheduler.maintenance.hosts_by_id
    if hosts_by_id and host_id:
        host = hosts_by_id.get(host_id)
        is_away = host is not None and not host.backend_id and host.state != UP
        return host is None or is_away or shows_end(host, backend_id)
    state = scheduler.backends_by_id.get(backend_id)
    return state is None or (state.report is None and state.contested_by is None)


def lacks_contact(scheduler: Scheduler, now_ms: int) -> bool:
    """Whether a task waits for a backend server that may have ended."""
    return any(
        may_run_unseen(scheduler, backend_id, start, now_ms)
        for task in scheduler.late_start_tasks_by_name.values()
        if task.backend is None
        and task.phase is TaskPhase.WAITING
        and not task.step.job.final
        for backend_id, start in task.late_starts_by_backend_id.items()
    )


def allowed_backends(
    scheduler: Scheduler, task: TaskState, backends: list[BackendState], now_ms: int
) -> list[BackendState]:
    """Returns those of some usable backend servers on which a task may be placed.

    While a start is open, the task runs on the backend server that may carry it out.
    Nothing runs elsewhere then if that one starts again, as the run ends with it. This
    holds for a limited time, not if the backend server is to go away or is avoided, and
    not if the task has crashed a server alone or failed there, if that may be the fault
    of the server.
    """
    if not task.late_starts_by_backend_id or task.crashed_alone_runs:
        return backends
    if task.step.spec.speculative or now_ms >= task.bound_until_ms:
        return backends
    bound_to = [
        scheduler.backends_by_id[backend_id]
        for backend_id, start in task.late_starts_by_backend_id.items()
        if now_ms < start.until_ms
        and not start.has_failed
        and not (start.is_assumed and task.suspected)
        and _is_reached(scheduler, backend_id)
        and _takes_starts_soon(scheduler, scheduler.backends_by_id[backend_id], now_ms)
    ]
    if not bound_to:
        return backends
    return [backend for backend in bound_to if backend in backends]


def _takes_starts_soon(
    scheduler: Scheduler, backend: BackendState, now_ms: int
) -> bool:
    is_avoided = backend.avoid_until_ms > now_ms + MAX_PAUSE_MS
    return not (is_avoided or _usability.is_closed(scheduler, backend))


def withhold_end(
    scheduler: Scheduler,
    backend: BackendState,
    task: TaskState,
    number: int,
    now_ms: int,
    unix_ms: int,
) -> None:
    """Delays the acknowledgement of the last end of a task while a start is open.

    It is an end as done, or one as failed that leaves the task no attempt. An end that
    was acknowledged stands for good, so that a late start would be one too many. One
    that is lost with its backend server does not. The time is stored, since the next
    leader acknowledges the ends that this one has not.
    """
    if task.step.spec.speculative:
        return
    state = task.step.job
    # The end of one member of a gang stands for all of them.
    tasks = task.step.tasks if task.step.spec.gang else [task]
    starts = [
        start
        for member in tasks
        for start in member.late_starts_by_backend_id.values()
        if not start.is_assumed
    ]
    until_ms = max((start.until_ms for start in starts), default=0)
    until_ms = max(until_ms, state.former_late_until_ms)
    if until_ms <= now_ms:
        return
    backend.withheld_until_ms_by_end[number] = until_ms
    until_unix_ms = until_ms - now_ms + unix_ms
    if until_unix_ms > state.late_until_unix_ms:
        state.late_until_unix_ms = until_unix_ms
        scheduler.mark_dirty(state)


def ends_to_acknowledge(
    scheduler: Scheduler, now_ms: int
) -> list[tuple[BackendState, int]]:
    """Returns backend servers with the last end up to which all may be acknowledged.

    Only those are named of which further ends may be. A backend server to which a start
    is open is left out, unless so many of its ends wait that the next ones might not be
    listed.
    """
    open_backend_ids = {
        backend_id
        for task in scheduler.late_start_tasks_by_name.values()
        for backend_id, start in task.late_starts_by_backend_id.items()
        if now_ms < start.until_ms and not start.is_assumed
    }
    ends = []
    for backend in scheduler.backends_by_id.values():
        number = _end_to_acknowledge(backend, now_ms)
        is_full = backend.seen_end - backend.stored_end >= MAX_WITHHELD_ENDS
        is_barred = backend.backend_id in open_backend_ids and not is_full
        if number > backend.stored_end and not is_barred:
            ends.append((backend, number))
    return ends


def _end_to_acknowledge(backend: BackendState, now_ms: int) -> int:
    withheld = backend.withheld_until_ms_by_end
    for number, until_ms in list(withheld.items()):
        if now_ms >= until_ms or backend.seen_end - number >= MAX_WITHHELD_ENDS:
            del withheld[number]
    return min((number - 1 for number in withheld), default=backend.seen_end)
