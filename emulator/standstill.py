"""Checks that no accepted job stands still while there is room for it.

A job stands still if a task of it is ready, nothing of it runs, the backend servers of
its service have room for that task twice over, and its client account uses less than
half of its limit. For a long-running task, only its own runs count.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from dandelionknot.clock import now_ms
from dandelionknot.jobs._generated import JobSpec, StepSpec
from emulator.backends import Backend
from emulator.oracle import Oracle

# Longest standstill, from the platform's rules. It counts once there has been no fault
# for `STABLE_MS`.
MAX_STANDSTILL_MS = 3000
STABLE_MS = 4000
# A long-running task may take this long after its last run to start again.
RESTART_MS = 6000
# Crashes by a task after which its job may have failed.
MAX_CRASHES = 2
# Places for a task that count as room.
MIN_PLACES = 2


@dataclass(slots=True)
class _Usage:
    """What runs now, and the free millicores of each backend server that is up."""

    tasks_at_work: set[str] = field(default_factory=set)
    # Task names by the id of the backend server that runs them.
    runs_by_backend_id: dict[str, set[str]] = field(default_factory=dict)
    labels_by_backend_id: dict[str, list[str]] = field(default_factory=dict)
    free_by_service: dict[str, dict[str, int]] = field(default_factory=dict)
    cpu_millicores: int = 0


@dataclass(slots=True)
class StandstillCheck:
    """Jobs and long-running tasks that stand still, by id or task name."""

    oracle: Oracle
    # Time since which each has stood still with room for it, and since which a task
    # that lasts has not run.
    since_ms_by_name: dict[str, int] = field(default_factory=dict)
    ended_at_ms_by_task: dict[str, int] = field(default_factory=dict)
    reported: set[str] = field(default_factory=set)
    # Longest standstill with room for it, whether a fault explains it or not, and the
    # number of those of at least `MAX_STANDSTILL_MS`.
    longest_ms: int = 0
    long_names: set[str] = field(default_factory=set)

    def check(self, calm_since_ms: int | None) -> None:
        """Checks all accepted jobs.

        `calm_since_ms` is the time since which there has been no fault, or None while
        there is one.
        """
        now = now_ms()
        usage = self._usage()
        standing = set()
        for job_id in self.oracle.accepted_at_ms.keys() - self.oracle.closed_job_ids:
            spec = self.oracle.specs_by_job_id[job_id]
            if job_id in self.oracle.cancelled_job_ids:
                self.oracle.closed_job_ids.add(job_id)
                continue
            names = set(self._standing(job_id, spec, usage, now))
            if names and self._may_have_failed(job_id):
                self.oracle.closed_job_ids.add(job_id)
                continue
            standing |= names
        for name in self.since_ms_by_name.keys() - standing:
            del self.since_ms_by_name[name]
        for name in sorted(standing):
            self._apply(name, now, calm_since_ms)

    def _apply(self, name: str, now: int, calm_since_ms: int | None) -> None:
        since = self.since_ms_by_name.setdefault(name, now)
        self.longest_ms = max(self.longest_ms, now - since)
        if now - since >= MAX_STANDSTILL_MS:
            self.long_names.add(name)
        if calm_since_ms is None or name in self.reported:
            return
        counted_from = max(since, calm_since_ms + STABLE_MS)
        if now - counted_from >= MAX_STANDSTILL_MS:
            self.reported.add(name)
            self.oracle.report(
                f'{name} has had nothing running since {since} with room for it, and '
                f'there has been no fault since {calm_since_ms}'
            )

    def _usage(self) -> _Usage:
        usage = _Usage()
        for backend in self.oracle.backends_by_id.values():
            if not backend.up:
                continue
            used = 0
            names = usage.runs_by_backend_id[backend.backend_id] = set()
            for name in backend.runs_by_name:
                used += self.oracle.cpu_millicores(name)
                names.add(name)
            usage.tasks_at_work |= names
            # Its end may not be known to the leader yet.
            usage.tasks_at_work.update(end.task_name for end in backend.ends)
            usage.cpu_millicores += used
            if _is_sound(backend):
                usage.labels_by_backend_id[backend.backend_id] = backend.labels
                free = usage.free_by_service.setdefault(backend.service, {})
                free[backend.backend_id] = backend.room.cpu_millicores - used
        return usage

    def _standing(
        self, job_id: str, spec: JobSpec, usage: _Usage, now: int
    ) -> Iterator[str]:
        """Yields the job or its long-running tasks, if they stand still with room."""
        done = self.oracle.done_task_names
        names = [
            [f'{job_id}.0.{number}.{index}' for index in range(step.task_count)]
            for number, step in enumerate(spec.steps)
        ]
        if all(name in done for of_step in names for name in of_step):
            self.oracle.closed_job_ids.add(job_id)
            return
        if not spec.steps[0].long_running:
            if any(n in usage.tasks_at_work for of_step in names for n in of_step):
                return
        for number, step in enumerate(spec.steps):
            if any(name not in done for index in step.after for name in names[index]):
                continue
            waiting = [n for n in names[number] if n not in done]
            if step.long_running:
                waiting = [n for n in waiting if self._is_late(n, usage, now)]
            if waiting and self._has_room(job_id, step, names[number], usage):
                yield from waiting if step.long_running else [job_id]

    def _is_late(self, name: str, usage: _Usage, now: int) -> bool:
        """Whether a long-running task has not run for longer than its restart takes."""
        if name in usage.tasks_at_work:
            self.ended_at_ms_by_task[name] = now
            return False
        return now >= self.ended_at_ms_by_task.get(name, 0) + RESTART_MS

    def _has_room(
        self, job_id: str, step: StepSpec, names: list[str], usage: _Usage
    ) -> bool:
        needed = step.resources.cpu_millicores
        limit = self.oracle.limit.cpu_millicores
        if limit and usage.cpu_millicores + needed > limit / 2:
            return False
        service = self.oracle.services_by_job_id.get(job_id, '')
        places = 0
        for backend_id, free in usage.free_by_service.get(service, {}).items():
            label = step.required_label
            if label and label not in usage.labels_by_backend_id[backend_id]:
                continue
            count = free // max(1, needed)
            if step.max_per_host:
                running = usage.runs_by_backend_id[backend_id].intersection(names)
                count = min(count, step.max_per_host - len(running))
            places += max(0, count)
        return places >= MIN_PLACES

    def _may_have_failed(self, job_id: str) -> bool:
        prefix = f'{job_id}.'
        crashes = (
            count
            for name, count in self.oracle.crashes_by_task.items()
            if name.startswith(prefix)
        )
        return max(
            crashes, default=0
        ) >= MAX_CRASHES or self.oracle.has_failed_all_attempts(job_id)


def _is_sound(backend: Backend) -> bool:
    return not (backend.fails_all or backend.is_stalled or backend.refused_share)
