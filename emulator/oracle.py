"""Test oracle: checks a fleet by what its callers and backend servers observe."""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from dandelionknot.clock import now_ms
from dandelionknot.jobs._generated import EndReason, JobSpec, Resources
from emulator.backends import AcknowledgedEnd, Backend, Run

# Further problems of the same experiment are not recorded, as they add little.
MAX_PROBLEMS = 20
FINAL_PHASES = ('done', 'failed', 'cancelled')
# Runs of a task that fail before its job may be shown as failed, unless the queue says
# otherwise.
MAX_ATTEMPTS = 4
# Crashes under a task after which its job may be shown as failed, and those after which
# it may be started only a few times more.
CRASHES_UNTIL_FAILED = 2
CRASHES_UNTIL_LIMIT = 3
STARTS_AFTER_LIMIT = 2


@dataclass(slots=True)
class Oracle:
    """Jobs that callers submitted, and the violations found so far."""

    backends_by_id: dict[str, Backend]
    limit: Resources
    max_attempts: int = MAX_ATTEMPTS
    specs_by_job_id: dict[str, JobSpec] = field(default_factory=dict)
    accepted_at_ms: dict[str, int] = field(default_factory=dict)
    # Jobs whose submissions were all answered 'not accepted'.
    refused_job_ids: set[str] = field(default_factory=set)
    # Service of each job, jobs that callers have cancelled, and jobs of which no task
    # has to run any more.
    services_by_job_id: dict[str, str] = field(default_factory=dict)
    cancelled_job_ids: set[str] = field(default_factory=set)
    closed_job_ids: set[str] = field(default_factory=set)
    # Tasks that have ended as done on any backend server.
    done_task_names: set[str] = field(default_factory=set)
    problems: list[str] = field(default_factory=list)
    # Texts of the problems, each of which is recorded once.
    reported: set[str] = field(default_factory=set)
    # Crashes of backend servers by each task, and starts of it after the third crash
    # that no fault can explain.
    crashes_by_task: Counter[str] = field(default_factory=Counter)
    late_starts_by_task: Counter[str] = field(default_factory=Counter)

    def crashed(self, task_name: str, disturbed: bool) -> None:
        """Records that a task has crashed its backend server.

        `disturbed` is whether another fault was active shortly before.
        """
        self.crashes_by_task[task_name] += 1
        if self.crashes_by_task[task_name] <= CRASHES_UNTIL_LIMIT or disturbed:
            return
        self.late_starts_by_task[task_name] += 1
        if self.late_starts_by_task[task_name] > STARTS_AFTER_LIMIT:
            self.report(
                f'task {task_name} was started again after it had crashed '
                f'{self.crashes_by_task[task_name]} backend servers'
            )

    def report(self, text: str) -> None:
        """Records a violation with the current time, and the same one only once."""
        if len(self.problems) < MAX_PROBLEMS and text not in self.reported:
            self.reported.add(text)
            self.problems.append(f'{now_ms()}: {text}')

    def check_invariants(self) -> None:
        """Checks that no task runs twice at a time and that the limit is respected."""
        places: dict[str, list[tuple[Backend, Run]]] = defaultdict(list)
        cpu = 0
        for backend in self.backends_by_id.values():
            for run in backend.runs_by_name.values():
                places[run.task_name].append((backend, run))
                cpu += self.cpu_millicores(run.task_name)
        for name, found in places.items():
            if len(found) > 1:
                starts = [
                    backend.describe_start((run.started_ms, name, run.run))
                    for backend, run in found
                ]
                self.report(f'task {name} runs twice at the same time: {starts}')
        if 0 < self.limit.cpu_millicores < cpu:
            self.report(f'running tasks exceed the CPU limit: {cpu} millicores')

    def check_availability(self, backend: Backend) -> None:
        """Checks that a host may go down by an order with what runs on it.

        Of each step whose tasks last, only so many other tasks may be away.
        """
        at_work = {
            name
            for other in self.backends_by_id.values()
            for name in other.runs_by_name
            if other is not backend
        }
        for name in backend.runs_by_name:
            job_id, _, number, _ = name.split('.')
            spec = self.specs_by_job_id.get(job_id)
            if spec is None or not spec.steps[int(number)].long_running:
                continue
            step = spec.steps[int(number)]
            prefix = name.rpartition('.')[0]
            others = {f'{prefix}.{i}' for i in range(step.task_count)} - {name}
            away = sorted(others - at_work)
            if len(away) >= max(1, step.max_unavailable):
                self.report(f'task {name} is ended by an order while {away} are away')

    def cpu_millicores(self, task_name: str) -> int:
        """Returns the millicores of a task, or 0 if no caller submitted its job."""
        job_id, _, step, _ = task_name.split('.')
        spec = self.specs_by_job_id.get(job_id)
        return spec.steps[int(step)].resources.cpu_millicores if spec else 0

    def check_at_end(self, phase_of: Callable[[str], str | None]) -> None:
        """Checks the history after an experiment.

        Every accepted job must have ended. No run of a task may have started beside or
        after one that ended as done, if that end was acknowledged at any time, and no
        task of a refused or unknown job may have started.
        """
        self._check_starts()
        for job_id in self.accepted_at_ms:
            phase = phase_of(job_id)
            if phase not in FINAL_PHASES:
                self.report(f'job {job_id} was accepted but not ended: phase {phase}')
            if phase == 'done':
                self._check_done(job_id)
            if phase == 'failed' and not self._has_cause_to_fail(job_id):
                self.report(f'job {job_id} is reported as failed without a cause')

    def _check_starts(self) -> None:
        starts = sorted(
            (at, name, run, backend.backend_id)
            for backend in self.backends_by_id.values()
            for at, name, run in backend.starts
        )
        done = self._earliest_done()
        for at, name, run, backend_id in starts:
            if name in done:
                self._check_against_done((at, name, run), backend_id, *done[name])
            job_id = name.split('.', 1)[0]
            if job_id in self.refused_job_ids:
                self.report(f'task {name} started at {at}, but its job was refused')
            if job_id not in self.specs_by_job_id:
                self.report(f'task {name} started at {at}, but no caller submitted it')

    def _earliest_done(self) -> dict[str, tuple[str, AcknowledgedEnd]]:
        """Returns the first run of each task that is acknowledged as done.

        Each comes with the id of its backend server. A start between the end and its
        acknowledgement counts as well.
        """
        done: dict[str, tuple[str, AcknowledgedEnd]] = {}
        for backend in self.backends_by_id.values():
            for acknowledged in backend.acknowledged:
                name = acknowledged.end.task_name
                if acknowledged.end.reason is not EndReason.DONE:
                    continue
                if name not in done or (
                    acknowledged.started_ms < done[name][1].started_ms
                ):
                    done[name] = (backend.backend_id, acknowledged)
        return done

    def _check_against_done(
        self,
        start: tuple[int, str, int],
        backend_id: str,
        done_id: str,
        done: AcknowledgedEnd,
    ) -> None:
        """Reports a start that is carried out beside or after a run that is done."""
        at, name, run = start
        is_itself = (backend_id, at, run) == (done_id, done.started_ms, done.end.run)
        if at < done.started_ms or is_itself:
            return
        text = self.backends_by_id[backend_id].describe_start(start)
        how = ' by a late hold call' if done.by_late_call else ''
        self.report(
            f'task {name} started at {at} on {text}, although run {done.end.run} on '
            f'{done_id} ended as done at {done.ended_ms}, which is acknowledged{how}'
        )

    def has_failed_all_attempts(self, job_id: str) -> bool:
        """Whether a task of a job has failed as often as its queue allows."""
        failures: Counter[str] = Counter()
        for backend in self.backends_by_id.values():
            failures.update(backend.failed_runs_by_name)
        prefix = f'{job_id}.'
        return any(
            count >= self.max_attempts
            for name, count in failures.items()
            if name.startswith(prefix)
        )

    def _has_cause_to_fail(self, job_id: str) -> bool:
        prefix = f'{job_id}.'
        return self.has_failed_all_attempts(job_id) or any(
            count >= CRASHES_UNTIL_FAILED
            for name, count in self.crashes_by_task.items()
            if name.startswith(prefix)
        )

    def _check_done(self, job_id: str) -> None:
        """Checks that every task of a job reported as done has ended as done."""
        for number, step in enumerate(self.specs_by_job_id[job_id].steps):
            for index in range(step.task_count):
                name = f'{job_id}.0.{number}.{index}'
                if name not in self.done_task_names:
                    self.report(
                        f'job {job_id} is reported as done, but task {name} is not'
                    )
