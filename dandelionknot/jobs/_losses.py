"""Decides whether a backend server that was lost under a task has really crashed.

Silence does not show a crash: a backend server that is cut off may run on, and a start
that was not answered may never have arrived. A recorded crash is therefore unproven
until something shows the end of that lifetime of the backend server: a later lifetime,
or the platform's list of hosts. If the same lifetime answers again, it has not crashed,
and the record is withdrawn. Only proven crashes count against a task.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dandelionknot.jobs import _crashes
from dandelionknot.jobs._generated import HostsListed
from dandelionknot.jobs._maintenance import shows_end
from dandelionknot.jobs._state import BackendState, Lifetime, TaskPhase, TaskState

if TYPE_CHECKING:
    from dandelionknot.jobs._scheduler import Scheduler

# Time after which silence counts as a crash, if the platform lists no hosts and the
# backend server has no entry in the registry any more. It is longer than the time
# after which the entry of a silent backend server is removed.
SILENCE_MS = 7000
# State of a host that is not listed any more.
GONE = 'gone'


@dataclass(slots=True)
class UnprovenLoss:
    """The loss of a lifetime of a backend server that may still run."""

    lifetime: Lifetime
    host_id: str
    lost_at_ms: int
    # Tasks with a crash that this loss is said to be.
    tasks_by_name: dict[str, TaskState] = field(default_factory=dict)


def record(
    scheduler: Scheduler, lifetime: Lifetime, host_id: str, lost_at_ms: int
) -> UnprovenLoss:
    """Returns the unproven loss of a lifetime, which is added if it is new."""
    return scheduler.unproven_losses.setdefault(
        lifetime, UnprovenLoss(lifetime, host_id, lost_at_ms)
    )


def restored(scheduler: Scheduler, task: TaskState, now_ms: int) -> None:
    """Restores the unproven losses under a task from its stored record."""
    for run, lifetime, host_id in zip(
        task.crashed_runs, task.crash_lifetimes, task.crashed_host_ids, strict=False
    ):
        if run in task.unproven_runs:
            loss = record(scheduler, lifetime, host_id, now_ms)
            loss.tasks_by_name[task.name] = task


def lifetime_ended(scheduler: Scheduler, lifetime: Lifetime) -> None:
    """Counts the crashes of a lifetime that has certainly ended as proven."""
    loss = scheduler.unproven_losses.pop(lifetime, None)
    if loss is None:
        return
    for task in loss.tasks_by_name.values():
        runs = _runs_lost_with(task, lifetime)
        task.unproven_runs = [run for run in task.unproven_runs if run not in runs]
        scheduler.mark_dirty(task.step.job)


def lifetime_answered(scheduler: Scheduler, backend: BackendState) -> None:
    """Withdraws the crashes of a lifetime that runs on."""
    loss = scheduler.unproven_losses.pop(backend.lifetime, None)
    if loss is None:
        return
    for task in loss.tasks_by_name.values():
        for run in _runs_lost_with(task, backend.lifetime):
            _crashes.withdraw_crash(scheduler, backend, task, run)


def _runs_lost_with(task: TaskState, lifetime: Lifetime) -> list[int]:
    pairs = zip(task.crashed_runs, task.crash_lifetimes, strict=False)
    return [run for run, crashed in pairs if crashed == lifetime]


def hosts_listed(scheduler: Scheduler, listed: HostsListed) -> None:
    """Applies the platform's list of hosts to the losses from before it."""
    hosts_by_id = {host.host_id: host for host in listed.hosts}
    for loss in list(scheduler.unproven_losses.values()):
        host = hosts_by_id.get(loss.host_id)
        if (
            host is not None
            and loss.lost_at_ms < listed.sent_ms
            and shows_end(host, loss.lifetime.backend_id)
        ):
            lifetime_ended(scheduler, loss.lifetime)


def listed_end(scheduler: Scheduler, backend: BackendState, listed: HostsListed) -> str:
    """Returns the state of a host that shows the end of a backend server, or ''."""
    host = scheduler.maintenance.hosts_by_id.get(backend.host_id)
    if host is not None:
        return host.state if shows_end(host, backend.backend_id) else ''
    is_gone = backend.host_id and backend.report is None and listed.hosts
    return GONE if is_gone and listed.complete else ''


def plan(scheduler: Scheduler, now_ms: int) -> None:
    """Forgets losses that matter no more, and looks for proofs of the others.

    Another lifetime may have begun before this term. Silence counts only where no list
    of hosts could show whether the host is up.
    """
    for loss in list(scheduler.unproven_losses.values()):
        if all(_is_over(task) for task in loss.tasks_by_name.values()):
            del scheduler.unproven_losses[loss.lifetime]
        elif _has_successor(scheduler, loss.lifetime) or (
            now_ms >= loss.lost_at_ms + SILENCE_MS
            and loss.host_id not in scheduler.maintenance.hosts_by_id
            and not _is_registered(scheduler, loss.lifetime)
        ):
            lifetime_ended(scheduler, loss.lifetime)


def _is_over(task: TaskState) -> bool:
    return task.step.job.final or task.phase is TaskPhase.DONE


def _has_successor(scheduler: Scheduler, lifetime: Lifetime) -> bool:
    """Whether a later lifetime is known.

    If a clock was set back, the later one has the earlier start time; then it has to
    have answered.
    """
    backend = scheduler.backends_by_id.get(lifetime.backend_id)
    if backend is None or not backend.born_ms:
        return False
    if backend.born_ms == lifetime.born_ms:
        # A run that the later lifetime may have is still counted for the lost one.
        entry = backend.contested_by
        return (
            entry is not None
            and not backend.reachable
            and entry.born_ms > lifetime.born_ms
        )
    return backend.fenced or (
        backend.report is not None and backend.born_ms > lifetime.born_ms
    )


def _is_registered(scheduler: Scheduler, lifetime: Lifetime) -> bool:
    backend = scheduler.backends_by_id.get(lifetime.backend_id)
    return (
        backend is not None
        and backend.report is not None
        and backend.lifetime == lifetime
    )
