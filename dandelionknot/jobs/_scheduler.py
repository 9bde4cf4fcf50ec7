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
    _drains,
    _ends,
    _placement,
    _progress,
    _ranking,
    _reports,
    _sharing,
)
from dandelionknot.jobs._capacity import Capacity
from dandelionknot.jobs._generated import (
    AskAdvice,
    BackendReport,
    BorrowedHosts,
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
    Resources,
    StartOrder,
    StartTask,
    StopTask,
    WaveRecord,
)
from dandelionknot.jobs._leases import longest_lapse_ms
from dandelionknot.jobs._notes import Note
from dandelionknot.jobs._records import (
    due_unix_ms,
    new_job_state,
    occurrence_count,
    open_occurrence,
    record_of,
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
from dandelionknot.jobs._upkeep import Upkeep

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
# The platform's advice service takes at most so many backend servers in a call.
MAX_ADVICE_IDS = 100
# Steps that did not fit after which planning of a pool stops for this round.
MAX_MISFITS = 12
# Callers may ask for the state of a job for so long after its end, unless the
# settings say otherwise.
DEFAULT_STATUS_KEPT_MS = 130_000
# Deleting a job takes three entries of a write that holds 32.
MAX_DELETIONS = 6
MAX_RECORDS_BESIDE_DELETIONS = 8
# Occurrences start after their due time by this much, for clocks that differ.
DUE_MARGIN_MS = 20


Command = StartTask | StopTask | PaceTask | AskAdvice | HostOrder


@dataclass(slots=True)
class Batch:
    """Records to store, and what may be done once they are."""

    records_by_job_id: dict[str, JobRecord]
    starts: list[TaskState]
    ends_by_backend: list[tuple[BackendState, int]]
    waves_by_name: dict[str, WaveRecord] = field(default_factory=dict)
    wave_numbers_by_name: dict[str, int] = field(default_factory=dict)
    borrowed: BorrowedHosts | None = None
    deleted_job_ids: list[str] = field(default_factory=list)

    def writes(self) -> bool:
        """Whether anything has to be written to the store."""
        return bool(
            self.records_by_job_id
            or self.waves_by_name
            or self.borrowed is not None
            or self.deleted_job_ids
        )

    def empty(self) -> bool:
        """Whether nothing would follow from the batch."""
        return not (self.writes() or self.starts or self.ends_by_backend)


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
    lost_leadership: bool = False
    planned_sharing_ms: int = 0
    planned_progress_ms: int = 0
    capacity: Capacity = field(default_factory=Capacity)
    upkeep: Upkeep = field(default_factory=Upkeep)

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
        self.open_due_occurrences(state, unix_ms)
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
        host = self.upkeep.hosts_by_id.get(order.host_id)
        backend = self.backends_by_id.get(host.backend_id) if host else None
        if backend is not None and outcome is HostOrderOutcome.ACCEPTED:
            backend.ending = True
        if order.pool:
            self.capacity.order_finished(order, outcome)
        else:
            self.upkeep.order_finished(order, outcome, now_ms)

    def wants_host_list(self) -> bool:
        """Whether the list of hosts is needed."""
        return self.upkeep.active() or self.capacity.active()

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

    # Planning.

    def open_due_occurrences(self, state: JobState, unix_ms: int) -> None:
        """Opens each occurrence whose time has come."""
        for occurrence in range(occurrence_count(state.job)):
            if occurrence in state.steps_by_occurrence:
                continue
            due = due_unix_ms(state.job, occurrence)
            if due and unix_ms < due + DUE_MARGIN_MS:
                break
            open_occurrence(state, occurrence)

    def plan(self, now_ms: int, unix_ms: int) -> None:
        """Frees what has lapsed and places waiting tasks."""
        self._free_lapsed(now_ms)
        _drains.plan(self, now_ms)
        _progress.plan(self, now_ms)
        _sharing.plan(self, now_ms)
        for order in self.upkeep.plan(self, now_ms):
            self.commands.append(order)
            self.note(
                Event.UPKEEP_ORDERED,
                {'host_id': order.host_id, 'wave': order.wave_number},
            )
        backends_by_service: dict[str, list[BackendState]] = {}
        for backend in self.backends_by_id.values():
            if backend.report is not None and self._usable(backend, now_ms):
                service = backend.report.service
                backends_by_service.setdefault(service, []).append(backend)
        steps_by_service: dict[str, list[StepState]] = {}
        for state in sorted(
            self.open_jobs_by_id.values(), key=lambda job: _ranking.rank(job, now_ms)
        ):
            if state.job.spec.repeats:
                self.open_due_occurrences(state, unix_ms)
            steps = steps_by_service.setdefault(self.service_of(state), [])
            steps.extend(_ready_steps(state))
        for service, steps in steps_by_service.items():
            backends = backends_by_service.get(service)
            if backends:
                self._place_steps(steps, backends, now_ms)
        # What still waits has found no place.
        self.commands.extend(self.capacity.plan(self, steps_by_service, now_ms))

    def service_of(self, state: JobState) -> str:
        """Returns the service whose backend servers run a job now."""
        configured = self.queues_by_name.get(state.job.queue)
        return configured.service if configured else state.job.service

    def _usable(self, backend: BackendState, now_ms: int) -> bool:
        report = backend.report
        return (
            report is not None
            and backend.fenced
            and backend.reachable
            and not report.draining
            and not backend.cordoned
            and not backend.moving
            and not backend.ending
            and report.availability_zone not in self.excluded_zones
            and backend.avoid_until_ms <= now_ms
            and backend.full_until_ms <= now_ms
        )

    def _free_lapsed(self, now_ms: int) -> None:
        for backend in [*self.backends_by_id.values(), *self.former_backends]:
            if not backend.tasks_by_name:
                continue
            lapses_at_ms = backend.lapses_at_ms
            if lapses_at_ms is not None and now_ms >= lapses_at_ms:
                self.lose_tasks(backend, 'lease lapsed')
            elif lapses_at_ms is not None and backend.fenced:
                # It was in contact in this term and is silent now.
                self._copy_speculative(backend)
        self.former_backends = [b for b in self.former_backends if b.tasks_by_name]
        for backend_id, backend in list(self.backends_by_id.items()):
            if backend.report is None and not backend.tasks_by_name:
                del self.backends_by_id[backend_id]

    def _copy_speculative(self, backend: BackendState) -> None:
        """Lets tasks of which copies may run go on elsewhere at once.

        The copy that may still run counts no longer in the limit of the client
        account, so that the account must have room for both.
        """
        for task in list(backend.tasks_by_name.values()):
            spec = task.step.spec
            if spec.speculative and _placement.has_margin(task.step.job.account):
                self.requeue(task, 'a copy runs elsewhere while its host is silent')

    def _place_steps(
        self, steps: list[StepState], backends: list[BackendState], now_ms: int
    ) -> None:
        misfits = 0
        for step in steps:
            allowed = self._advised(step, backends, now_ms)
            if not allowed:
                continue
            if step.spec.gang:
                placed = self._place_gang(step, allowed, now_ms)
            else:
                placed = self._place_tasks(step, allowed, now_ms)
            misfits += not placed
            if misfits > MAX_MISFITS:
                return

    def _place_tasks(
        self, step: StepState, backends: list[BackendState], now_ms: int
    ) -> bool:
        """Places the waiting tasks of a step; returns whether all have a place."""
        for task in step.tasks:
            if task.phase is not TaskPhase.WAITING or task.not_before_ms > now_ms:
                continue
            if not _placement.within_limit(step.job.account, step.spec.resources):
                return True
            backend = _placement.preferred(step, backends)
            if backend is None:
                return False
            self._place(task, backend, task.run + 1)
        return True

    def _place_gang(
        self, step: StepState, backends: list[BackendState], now_ms: int
    ) -> bool:
        """Places all tasks of a gang with one run number, or none."""
        waiting = [task for task in step.tasks if task.phase is TaskPhase.WAITING]
        if len(waiting) < len(step.tasks):
            return True
        if any(task.not_before_ms > now_ms for task in waiting):
            return True
        needed = step.spec.resources
        total = Resources(
            cpu_millicores=needed.cpu_millicores * len(waiting),
            memory_mb=needed.memory_mb * len(waiting),
            accelerators=needed.accelerators * len(waiting),
        )
        if not _placement.within_limit(step.job.account, total):
            return True
        places = _placement.place_gang(step, backends)
        if places is None:
            return False
        run = max(task.run for task in step.tasks) + 1
        for task, backend in places:
            self._place(task, backend, run)
        return True

    def _place(self, task: TaskState, backend: BackendState, run: int) -> None:
        task.run = run
        task.phase = TaskPhase.PLACED
        task.sent = False
        task.percent = 0
        task.reading = 0.0
        occupy(task, backend)
        state = task.step.job
        state.started = True
        if state.phase is JobPhase.QUEUED:
            state.phase = JobPhase.RUNNING
        self.mark(state)
        self.placed.append(task)

    def _advised(
        self, step: StepState, backends: list[BackendState], now_ms: int
    ) -> list[BackendState]:
        """Returns the backend servers that may run a step; asks if none may yet."""
        if not step.job.queue.needs_advice:
            return backends
        tickets = step.tickets_by_backend_id
        allowed = []
        for backend in backends:
            ticket = tickets.get(backend.backend_id)
            if ticket and ticket.born_ms == backend.born_ms:
                if ticket.expires_ms > now_ms:
                    allowed.append(backend)
                else:
                    del tickets[backend.backend_id]
                    step.asked_backend_ids.discard(backend.backend_id)
        if not any(_placement.has_room(b, step.spec) for b in allowed):
            self._ask_advice(step, backends, now_ms)
        return allowed

    def _ask_advice(
        self, step: StepState, backends: list[BackendState], now_ms: int
    ) -> None:
        if step.advice_pending or step.advice_not_before_ms > now_ms:
            return
        ids = [
            backend.backend_id
            for backend in backends
            if backend.backend_id not in step.asked_backend_ids
            and _placement.has_room(backend, step.spec)
        ]
        if ids:
            step.advice_pending = True
            self.commands.append(
                AskAdvice(
                    step_key=step.key,
                    job_id=step.job.job.job_id,
                    backend_ids=ids[:MAX_ADVICE_IDS],
                )
            )

    # Storing.

    def take_batch(self, limit: int, now_unix_ms: int) -> Batch:
        """Returns the records to store next, at most `limit` of them.

        Ends are acknowledged only with a batch that leaves no record unstored.
        """
        job_ids = list(self.dirty_job_ids)[:limit]
        for job_id in job_ids:
            del self.dirty_job_ids[job_id]
        records = {
            job_id: record_of(self.jobs_by_id[job_id])
            for job_id in job_ids
            if job_id in self.jobs_by_id
        }
        taken = set(job_ids)
        starts = [t for t in self.placed if t.step.job.job.job_id in taken]
        self.placed = [t for t in self.placed if t.step.job.job.job_id not in taken]
        ends = []
        if not self.dirty_job_ids:
            ends = [
                (backend, backend.seen_end)
                for backend in self.backends_by_id.values()
                if backend.seen_end > backend.stored_end
            ]
        batch = Batch(records, starts, ends)
        for name in sorted(self.upkeep.dirty):
            wave = self.upkeep.waves_by_name.get(name)
            if wave is not None:
                batch.waves_by_name[name] = wave.record()
                batch.wave_numbers_by_name[name] = wave.wave.number
        self.upkeep.dirty.clear()
        batch.deleted_job_ids = self._take_expired(len(records), now_unix_ms)
        if self.capacity.dirty:
            homes = dict(self.capacity.homes_by_host_id)
            batch.borrowed = BorrowedHosts(homes_by_host_id=homes)
            self.capacity.dirty = False
        return batch

    def _take_expired(self, records: int, now_unix_ms: int) -> list[str]:
        """Returns jobs to delete: they ended long ago, and the batch has room."""
        expired: list[str] = []
        if records > MAX_RECORDS_BESIDE_DELETIONS:
            return expired
        while self.ended and len(expired) < MAX_DELETIONS:
            ended_unix_ms, job_id = self.ended[0]
            if ended_unix_ms + self.status_kept_ms > now_unix_ms:
                break
            self.ended.popleft()
            expired.append(job_id)
        return expired

    def confirm(self, batch: Batch) -> list[Command]:
        """Returns what may be sent now that a batch is stored."""
        commands: list[Command] = []
        for task in batch.starts:
            if task.phase is not TaskPhase.PLACED or task.sent or not task.backend:
                continue
            if task.stopping or task.step.job.final:
                self.requeue(task, 'stopped before its start')
                continue
            task.sent = True
            commands.append(_start_command(task, task.backend))
        for backend, number in batch.ends_by_backend:
            backend.stored_end = max(backend.stored_end, number)
        return commands

    def take_commands(self) -> list[Command]:
        """Returns commands that need no stored record."""
        commands, self.commands = self.commands, []
        return commands

    def take_notes(self) -> list[Note]:
        """Returns the decisions since the last call."""
        notes, self.notes = self.notes, []
        return notes


def _start_command(task: TaskState, backend: BackendState) -> StartTask:
    ticket = task.step.tickets_by_backend_id.get(backend.backend_id)
    order = StartOrder(
        task_name=task.name,
        run=task.run,
        payload=task.step.job.job.spec.payload,
        checkpoint=task.checkpoint,
        ticket=ticket.text if ticket else '',
    )
    return StartTask(
        backend_id=backend.backend_id, born_ms=backend.born_ms, order=order
    )


def _about(backend: BackendState, report: BackendReport) -> dict:
    return {
        'backend_id': backend.backend_id,
        'service': report.service,
        'availability_zone': report.availability_zone,
        'born_ms': report.born_ms,
        'tasks': len(backend.tasks_by_name),
    }


def _ready_steps(state: JobState) -> list[StepState]:
    """Returns steps with waiting tasks whose earlier steps are done."""
    ready = []
    for steps in state.steps_by_occurrence.values():
        for step in steps:
            if step.done == len(step.tasks):
                continue
            if any(
                steps[index].done < len(steps[index].tasks)
                for index in step.spec.after
                if index < len(steps)
            ):
                continue
            if any(task.phase is TaskPhase.WAITING for task in step.tasks):
                ready.append(step)
    return ready
