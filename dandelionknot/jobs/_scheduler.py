"""Decides which task runs where, from what callers, operators and hosts say.

The scheduler has no I/O. The tasks that own connections tell it what they have
learned; it changes its state and marks jobs whose record must be stored. After
a batch of records is stored, `confirm` returns the commands that may be sent.
That order makes a successor know of every run that may exist: a start is stored
before it is sent, and an end is stored before it is acknowledged.
"""

from collections import deque
from dataclasses import dataclass, field

from dandelionknot.events import Event
from dandelionknot.jobs import (
    _batches,
    _ends,
    _planning,
    _ranking,
    _reports,
)
from dandelionknot.jobs._batches import Batch
from dandelionknot.jobs._capacity import Capacity
from dandelionknot.jobs._generated import (
    AskAdvice,
    BackendReport,
    HoldReport,
    HostOrder,
    HostOrderOutcome,
    Job,
    JobConfiguration,
    JobPhase,
    JobRecord,
    OrderOutcome,
    PaceTask,
    Queue,
    StartTask,
    StopTask,
    WaitingJobs,
)
from dandelionknot.jobs._leases import longest_lapse_ms
from dandelionknot.jobs._maintenance import MaintenanceScheduler
from dandelionknot.jobs._notes import Note
from dandelionknot.jobs._records import (
    due_unix_ms,
    new_job_state,
    occurrence_count,
    open_occurrence,
    restore,
)
from dandelionknot.jobs._state import (
    AccountState,
    BackendState,
    JobState,
    StepState,
    TaskPhase,
    TaskState,
    Ticket,
    occupy,
    stop_command,
    vacate,
)

# A backend server that rejects a task for want of room is passed over for so long.
FULL_PAUSE_MS = 300
# A backend server that answers 'unhealthy' is passed over for so long.
UNHEALTHY_PAUSE_MS = 1000
# A backend server to which no connection opens is passed over for so long.
NOT_SENT_PAUSE_MS = 500
# Pause after an order that was refused as malformed, against a busy loop.
REFUSED_PAUSE_MS = 1000
# Pause before asking the advice service again about the same step.
ADVICE_PAUSE_MS = 200
# A ticket is not used in its last moments, since the start takes time.
TICKET_MARGIN_MS = 300
# Callers may ask for the state of a job for so long after its end, unless the
# settings say otherwise.
DEFAULT_STATUS_KEPT_MS = 130_000
# Occurrences start after their due time by this much, for clocks that differ.
DUE_MARGIN_MS = 20


Command = StartTask | StopTask | PaceTask | AskAdvice | HostOrder


@dataclass(slots=True)
class Scheduler:
    """All jobs, backend servers and client accounts of one leadership term."""

    hold_max_ms: int
    notes: list[Note] = field(default_factory=list)
    jobs_by_id: dict[str, JobState] = field(default_factory=dict)
    open_jobs_by_id: dict[str, JobState] = field(default_factory=dict)
    backends_by_id: dict[str, BackendState] = field(default_factory=dict)
    # Former lifetimes whose tasks may still run.
    former_backends: list[BackendState] = field(default_factory=list)
    accounts_by_name: dict[str, AccountState] = field(default_factory=dict)
    queues_by_name: dict[str, Queue] = field(default_factory=dict)
    excluded_zones: frozenset[str] = frozenset()
    dirty_job_ids: dict[str, None] = field(default_factory=dict)
    placed: list[TaskState] = field(default_factory=list)
    commands: list[Command] = field(default_factory=list)
    # Jobs in the order in which they ended, until they are deleted.
    ended: deque[tuple[int, str]] = field(default_factory=deque)
    status_kept_ms: int = DEFAULT_STATUS_KEPT_MS
    # Counts that callers are told, and when they were last compared.
    waiting: WaitingJobs | None = None
    waiting_stored_unix_ms: int = 0
    lost_leadership: bool = False
    planned_sharing_ms: int = 0
    planned_progress_ms: int = 0
    capacity: Capacity = field(default_factory=Capacity)
    maintenance: MaintenanceScheduler = field(default_factory=MaintenanceScheduler)

    # What the rest of the process tells the scheduler.

    def set_configuration(self, configuration: JobConfiguration) -> None:
        """Puts a version of the configuration in force."""
        self.queues_by_name = {queue.name: queue for queue in configuration.queues}
        for configured in configuration.client_accounts:
            account = self.account(configured.name)
            account.limit, account.weight = configured.limit, configured.weight
        self.capacity.standby_pools = frozenset(
            pool.name for pool in configuration.pools if pool.standby
        )
        for state in self.open_jobs_by_id.values():
            queue = self.queues_by_name.get(state.job.queue)
            if queue is not None:
                state.queue = queue

    def account(self, name: str) -> AccountState:
        """Returns the state of a client account."""
        return self.accounts_by_name.setdefault(name, AccountState(name=name))

    def add_job(
        self, job: Job, record: JobRecord | None, now_ms: int, unix_ms: int
    ) -> None:
        """Takes an accepted job, with its record if it has one."""
        if job.job_id in self.jobs_by_id:
            return
        queue = self.queues_by_name.get(job.queue) or Queue(
            name=job.queue, host='', path_prefix='', service=job.service
        )
        accepted_ms = now_ms - max(0, unix_ms - job.accepted_unix_ms)
        state = new_job_state(job, queue, self.account(job.client_account), accepted_ms)
        _ranking.note_share(state)
        self.jobs_by_id[job.job_id] = state
        placed = restore(state, record) if record is not None else []
        if state.final:
            self.ended.append((state.ended_unix_ms, job.job_id))
            return
        self.open_jobs_by_id[job.job_id] = state
        for task, stored in placed:
            backend = self._backend_of(stored.backend_id, stored.born_ms, now_ms)
            task.phase, task.sent, task.unconfirmed = TaskPhase.RUNNING, True, True
            occupy(task, backend)
        self.open_due_occurrences(state, now_ms, unix_ms)
        _ends.settle(self, state, unix_ms)

    def forget_job(self, job_id: str) -> None:
        """Drops a job whose records were deleted."""
        self.jobs_by_id.pop(job_id, None)
        self.open_jobs_by_id.pop(job_id, None)

    def _backend_of(self, backend_id: str, born_ms: int, now_ms: int) -> BackendState:
        """Returns the lifetime on which a former leader placed a task."""
        known = self.backends_by_id.get(backend_id)
        if known is not None and known.born_ms == born_ms:
            return known
        for backend in self.former_backends:
            if (backend.backend_id, backend.born_ms) == (backend_id, born_ms):
                return backend
        lapses_at_ms = now_ms + longest_lapse_ms(self.hold_max_ms)
        backend = BackendState(backend_id, born_ms, lapses_at_ms)
        if known is None:
            self.backends_by_id[backend_id] = backend
        else:
            self.former_backends.append(backend)
        return backend

    def cancel_job(self, job_id: str, unix_ms: int) -> None:
        """Cancels a job unless it has ended."""
        state = self.jobs_by_id.get(job_id)
        if state is None or state.final:
            return
        _ends.end_job(self, state, JobPhase.CANCELLED, unix_ms)

    def set_backend(self, report: BackendReport, now_ms: int) -> None:
        """Takes what a backend server says of itself."""
        backend = self.backends_by_id.get(report.backend_id)
        if backend is not None and backend.born_ms not in (0, report.born_ms):
            self._reborn(backend, report.born_ms)
            backend = None
        if backend is None:
            lapses_at_ms = now_ms + longest_lapse_ms(self.hold_max_ms)
            backend = BackendState(report.backend_id, report.born_ms, lapses_at_ms)
            self.backends_by_id[report.backend_id] = backend
            self.note(Event.BACKEND_APPEARED, _about(backend, report))
        elif backend.report is None or backend.report.draining != report.draining:
            if report.draining:
                self.note(Event.BACKEND_DRAINING, _about(backend, report))
        backend.born_ms = report.born_ms or backend.born_ms
        backend.report = report

    def remove_backend(self, backend_id: str) -> None:
        """Takes that a backend server's entry is gone; its tasks may still run."""
        backend = self.backends_by_id.get(backend_id)
        if backend is None:
            return
        backend.report = None
        self.note(
            Event.BACKEND_GONE,
            {'backend_id': backend_id, 'tasks': len(backend.tasks_by_name)},
        )
        if not backend.tasks_by_name:
            del self.backends_by_id[backend_id]

    def _reborn(self, backend: BackendState, born_ms: int) -> None:
        """A later lifetime answers, so that nothing runs in the former one."""
        del self.backends_by_id[backend.backend_id]
        self.note(
            Event.BACKEND_REBORN,
            {
                'backend_id': backend.backend_id,
                'born_ms': born_ms,
                'tasks_lost': len(backend.tasks_by_name),
            },
        )
        self.lose_tasks(backend, 'backend server restarted')

    def lose_tasks(self, backend: BackendState, reason: str) -> None:
        """Frees the tasks of a backend server on which nothing runs any more."""
        for task in list(backend.tasks_by_name.values()):
            self.requeue(task, reason)

    def requeue(self, task: TaskState, reason: str) -> None:
        """Lets a task wait for its next run; the former one has surely ended."""
        backend_id = task.backend.backend_id if task.backend else ''
        vacate(task)
        if task.phase is not TaskPhase.DONE:
            task.phase = TaskPhase.WAITING
            if not task.step.job.final:
                self.mark(task.step.job)
        self.note(
            Event.TASK_REQUEUED,
            {
                'job_id': task.step.job.job.job_id,
                'task': task.name,
                'run': task.run,
                'backend_id': backend_id,
                'reason': reason,
            },
        )

    def mark(self, state: JobState) -> None:
        """Marks a job whose record has to be stored."""
        self.dirty_job_ids[state.job.job_id] = None

    def note(self, event: Event, fields: dict) -> None:
        """Leaves a decision for the log."""
        self.notes.append(Note(event, fields))

    # Reports of the links.

    def hold_answered(
        self,
        backend: BackendState,
        report: HoldReport,
        sent_ms: int,
        now_ms: int,
        unix_ms: int,
    ) -> None:
        """Takes the answer of a backend server to the extension of its lease."""
        _reports.apply(self, backend, report, sent_ms, now_ms, unix_ms)

    def contact_lost(
        self, backend: BackendState, outcome: OrderOutcome, lapses_at_ms: int
    ) -> None:
        """Takes that a backend server gives no usable answer.

        What it runs has ended by `lapses_at_ms` unless contact is regained.
        """
        backend.lapses_at_ms = lapses_at_ms
        if outcome is OrderOutcome.FENCED:
            self.lost_leadership = True
        elif outcome is OrderOutcome.OTHER_LIFETIME:
            if self.backends_by_id.get(backend.backend_id) is backend:
                backend.report = None
            self.lose_tasks(backend, 'another lifetime answered')
        if backend.reachable:
            self.note(
                Event.HOST_UNREACHABLE,
                {
                    'backend_id': backend.backend_id,
                    'outcome': outcome.value,
                    'tasks': len(backend.tasks_by_name),
                },
            )
        backend.reachable = False

    def start_finished(
        self,
        backend: BackendState,
        name: str,
        run: int,
        outcome: OrderOutcome,
        now: int,
    ) -> None:
        """Takes what became of a start."""
        task = backend.tasks_by_name.get(name)
        if task is None or task.run != run:
            return
        if outcome is OrderOutcome.ACCEPTED or outcome is OrderOutcome.SUPERSEDED:
            if task.phase is TaskPhase.PLACED:
                task.phase = TaskPhase.RUNNING
            task.confirmed_at_ms = task.progressed_at_ms = now
            self._note_started(task, backend, outcome, now)
            return
        job_id = task.step.job.job.job_id
        self.note(
            Event.START_REFUSED,
            {
                'job_id': job_id,
                'task': name,
                'run': run,
                'backend_id': backend.backend_id,
                'outcome': outcome.value,
            },
        )
        if outcome is OrderOutcome.NO_ANSWER:
            self.stop(task, 'start not answered')
        elif outcome is OrderOutcome.FENCED:
            self.lost_leadership = True
        else:
            self._start_refused(task, backend, outcome, now)

    def _note_started(
        self, task: TaskState, backend: BackendState, outcome: OrderOutcome, now: int
    ) -> None:
        state = task.step.job
        self.note(
            Event.TASK_STARTED,
            {
                'job_id': state.job.job_id,
                'queue': state.job.queue,
                'client_account': state.job.client_account,
                'task': task.name,
                'run': task.run,
                'backend_id': backend.backend_id,
                'outcome': outcome.value,
                'job_age_ms': now - state.accepted_ms,
                'due_in_ms': state.due_ms - now,
            },
        )

    def _start_refused(
        self, task: TaskState, backend: BackendState, outcome: OrderOutcome, now: int
    ) -> None:
        if outcome is OrderOutcome.NOT_SENT:
            # Only the link knows whether contact is lost and until when its
            # lease lasts.
            backend.avoid_until_ms = now + NOT_SENT_PAUSE_MS
        elif outcome is OrderOutcome.NO_ROOM:
            backend.full_until_ms = now + FULL_PAUSE_MS
        elif outcome is OrderOutcome.UNHEALTHY:
            backend.avoid_until_ms = now + UNHEALTHY_PAUSE_MS
        elif outcome is OrderOutcome.REFUSED:
            task.not_before_ms = now + REFUSED_PAUSE_MS
        elif outcome is OrderOutcome.TICKET_INVALID:
            task.step.tickets_by_backend_id.pop(backend.backend_id, None)
            task.step.asked_backend_ids.discard(backend.backend_id)
        elif outcome is OrderOutcome.OTHER_LIFETIME:
            backend.avoid_until_ms = now + UNHEALTHY_PAUSE_MS
        self.requeue(task, outcome.value)

    def stop_finished(
        self, backend: BackendState, name: str, run: int, now: int
    ) -> None:
        """Takes that a backend server has accepted a stop.

        A run that was not there will be rejected from now on; one that was
        there ends in the next reports.
        """
        task = backend.tasks_by_name.get(name)
        if task is not None and task.run == run:
            if task.phase is TaskPhase.PLACED:
                task.phase = TaskPhase.RUNNING
            task.confirmed_at_ms = now

    def stop(self, task: TaskState, reason: str) -> None:
        """Orders that a run ends; its task waits until the end is known."""
        backend = task.backend
        if backend is None or task.stopping:
            return
        task.stopping = True
        self.note(
            Event.TASK_STOPPED,
            {
                'job_id': task.step.job.job.job_id,
                'task': task.name,
                'run': task.run,
                'backend_id': backend.backend_id,
                'reason': reason,
            },
        )
        if task.sent:
            self.commands.append(stop_command(backend, task.name, task.run))

    def host_order_finished(
        self, order: HostOrder, outcome: HostOrderOutcome, now_ms: int
    ) -> None:
        """Takes what became of an order about a host."""
        if outcome is HostOrderOutcome.FENCED:
            self.lost_leadership = True
        host = self.maintenance.hosts_by_id.get(order.host_id)
        backend = self.backends_by_id.get(host.backend_id) if host else None
        if backend is not None and outcome is HostOrderOutcome.ACCEPTED:
            backend.ending = True
        if order.pool:
            self.capacity.order_finished(order, outcome, now_ms)
        else:
            self.maintenance.order_finished(order, outcome, now_ms)

    def wants_host_list(self) -> bool:
        """Whether the list of hosts is needed."""
        return self.maintenance.active() or self.capacity.active()

    def advice_given(
        self, request: AskAdvice, granted: dict[str, str], valid_ms: int, now_ms: int
    ) -> None:
        """Takes the tickets of a step; an empty answer is asked for again later."""
        state = self.jobs_by_id.get(request.job_id)
        if state is None:
            return
        for steps in state.steps_by_occurrence.values():
            for step in steps:
                if step.key == request.step_key:
                    self._take_tickets(step, request, granted, valid_ms, now_ms)

    def _take_tickets(
        self,
        step: StepState,
        request: AskAdvice,
        granted: dict[str, str],
        valid_ms: int,
        now_ms: int,
    ) -> None:
        step.advice_pending = False
        step.advice_not_before_ms = now_ms + ADVICE_PAUSE_MS
        if valid_ms:
            step.asked_backend_ids.update(request.backend_ids)
        for backend_id, text in granted.items():
            backend = self.backends_by_id.get(backend_id)
            if backend is not None:
                step.tickets_by_backend_id[backend_id] = Ticket(
                    text, backend.born_ms, now_ms + valid_ms - TICKET_MARGIN_MS
                )

    def open_due_occurrences(self, state: JobState, now_ms: int, unix_ms: int) -> None:
        """Opens each occurrence whose time has come.

        Whether a job is late is judged by its latest occurrence.
        """
        for occurrence in range(occurrence_count(state.job)):
            if occurrence in state.steps_by_occurrence:
                continue
            due = due_unix_ms(state.job, occurrence)
            if due and unix_ms < due + DUE_MARGIN_MS:
                break
            open_occurrence(state, occurrence)
            if due:
                span_ms = state.due_ms - state.accepted_ms
                state.accepted_ms = now_ms - (unix_ms - due)
                state.due_ms = state.accepted_ms + span_ms

    # Planning and storing.

    def plan(self, now_ms: int, unix_ms: int) -> None:
        """Frees what has lapsed and places waiting tasks."""
        _planning.plan(self, now_ms, unix_ms)

    def take_batch(self, limit: int, now_unix_ms: int) -> Batch:
        """Returns the records to store next, at most `limit` of them."""
        return _batches.take_batch(self, limit, now_unix_ms)

    def confirm(self, batch: Batch) -> list[Command]:
        """Returns what may be sent now that a batch is stored."""
        return _batches.confirm(self, batch)

    def take_commands(self) -> list[Command]:
        """Returns commands that need no stored record."""
        commands, self.commands = self.commands, []
        return commands

    def take_log_entries(self) -> list[Note]:
        """Returns the decisions since the last call."""
        notes, self.notes = self.notes, []
        return notes


def _about(backend: BackendState, report: BackendReport) -> dict:
    return {
        'backend_id': backend.backend_id,
        'service': report.service,
        'availability_zone': report.availability_zone,
        'born_ms': report.born_ms,
        'tasks': len(backend.tasks_by_name),
    }
