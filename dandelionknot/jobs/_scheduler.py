"""Decides on which backend server each task of a job runs.

The scheduler does no I/O. The tasks that own connections pass it the reports of
backend servers, callers and operators. It updates its state and marks the jobs whose
record must be stored. After a batch of records is stored, `confirm` returns the
commands that may be sent. A start is stored before it is sent, and an end is stored
before it is acknowledged, so that the next leader knows of every run that may exist.
"""

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from itertools import starmap

from dandelionknot.events import Event
from dandelionknot.jobs import (
    _batches,
    _crashes,
    _ends,
    _late_starts,
    _lifetimes,
    _losses,
    _planning,
    _ranking,
    _reports,
    _standstill,
)
from dandelionknot.jobs._batches import Batch, PlacedRun
from dandelionknot.jobs._capacity import Capacity
from dandelionknot.jobs._crashes import Loss
from dandelionknot.jobs._forecast import Forecasts
from dandelionknot.jobs._generated import (
    AskAdvice,
    BackendReport,
    HoldReport,
    HostOrder,
    HostOrderOutcome,
    HostsListed,
    Job,
    JobConfiguration,
    JobPhase,
    JobRecord,
    OrderOutcome,
    PaceTask,
    Queue,
    RepeatStart,
    StartTask,
    StopTask,
    WaitingJobs,
)
from dandelionknot.jobs._interference import Interference
from dandelionknot.jobs._log_entries import LogEntry
from dandelionknot.jobs._losses import UnprovenLoss
from dandelionknot.jobs._maintenance import MaintenanceScheduler
from dandelionknot.jobs._records import (
    due_unix_ms,
    new_job_state,
    occurrence_count,
    open_occurrence,
    restore,
)
from dandelionknot.jobs._run_times import RunTimes
from dandelionknot.jobs._state import (
    AccountState,
    BackendState,
    JobState,
    Lifetime,
    StepState,
    TaskPhase,
    TaskState,
    Ticket,
    assign,
    stop_command,
    unassign,
)

# No starts are sent for this time to a backend server that rejected one for lack of
# room.
FULL_PAUSE_MS = 300
# No starts are sent for this time to a backend server that answered 'unhealthy', or
# that answered as another lifetime.
UNHEALTHY_PAUSE_MS = 1000
# No starts are sent for this time to a backend server to which a start could not be
# sent.
NOT_SENT_PAUSE_MS = 500
# A task whose start was refused as malformed waits this long before the next start.
# Without the pause, the scheduler would repeat the start in a busy loop.
REFUSED_PAUSE_MS = 1000
# Pause before the advice service is asked again about the same step.
ADVICE_PAUSE_MS = 200
# A ticket counts as expired this long before its end, since a start takes time to
# reach the backend server.
TICKET_MARGIN_MS = 300
# Time after its end for which a job stays stored, so that callers can ask for its
# state. The leader replaces this default by the value from the settings.
DEFAULT_STATUS_KEPT_MS = 130_000
# An occurrence is opened this long after its due time, since the clocks of hosts
# differ.
DUE_MARGIN_MS = 20


Command = StartTask | RepeatStart | StopTask | PaceTask | AskAdvice | HostOrder


@dataclass(slots=True)
class Scheduler:
    """State of all jobs, backend servers and client accounts in one leadership term."""

    hold_max_ms: int
    log_entries: list[LogEntry] = field(default_factory=list)
    jobs_by_id: dict[str, JobState] = field(default_factory=dict)
    open_jobs_by_id: dict[str, JobState] = field(default_factory=dict)
    backends_by_id: dict[str, BackendState] = field(default_factory=dict)
    # Former lifetimes of backend servers whose tasks may still run.
    former_backends: list[BackendState] = field(default_factory=list)
    # Tasks that may crash their backend servers, and recent losses of contact.
    suspects_by_name: dict[str, TaskState] = field(default_factory=dict)
    losses: deque[Loss] = field(default_factory=deque)
    # Start time of the first lifetime of each backend server that this leader knew.
    known_born_ms_by_id: dict[str, int] = field(default_factory=dict)
    # Tasks with starts that may still be carried out late.
    late_start_tasks_by_name: dict[str, TaskState] = field(default_factory=dict)
    # Local times of the last signs of life that records of former leaders name.
    restored_signs_ms: dict[Lifetime, int] = field(default_factory=dict)
    # Lifetimes that have certainly ended, so that late entries of them are ignored.
    ended_lifetimes: set[Lifetime] = field(default_factory=set)
    # Racks of lifetimes that ended before this leader had reached them.
    unreached_losses: dict[Lifetime, str] = field(default_factory=dict)
    # Losses that may have been no crash, by the lifetime that was lost.
    unproven_losses: dict[Lifetime, UnprovenLoss] = field(default_factory=dict)
    # Local time of the last crash for which tasks of a service are suspected.
    crashed_at_ms_by_service: dict[str, int] = field(default_factory=dict)
    accounts_by_name: dict[str, AccountState] = field(default_factory=dict)
    # Services whose backend servers had no room for a task in the last round.
    full_services: set[str] = field(default_factory=set)
    queues_by_name: dict[str, Queue] = field(default_factory=dict)
    excluded_zones: frozenset[str] = frozenset()
    # Jobs whose record has to be stored, in the order in which they changed.
    dirty_job_ids: dict[str, None] = field(default_factory=dict)
    # Largest value that the store takes.
    max_value_bytes: int = 1_048_576
    # Parts of the records of ended jobs that have to be deleted.
    ended_parts: list[tuple[str, int]] = field(default_factory=list)
    # Placed tasks that are not part of a batch of records yet.
    placed: list[TaskState] = field(default_factory=list)
    # Runs of whose start a try was not answered, which is not stored yet.
    unanswered: list[PlacedRun] = field(default_factory=list)
    # Commands that need no stored record.
    commands: list[Command] = field(default_factory=list)
    # Orders about hosts that are not part of a batch of records yet.
    host_orders: list[HostOrder] = field(default_factory=list)
    # Local time at which the last order of this term about each host was sent, or was
    # planned if it has not been sent yet.
    ordered_at_ms_by_host_id: dict[str, int] = field(default_factory=dict)
    # Time (Unix, ms) at which the record of these orders was last put into a batch.
    orders_stored_unix_ms: int = 0
    # Local and Unix time of the last planning round.
    planned_ms: int = 0
    planned_unix_ms: int = 0
    # End time (Unix, ms) and id of ended jobs, oldest first, until they are deleted.
    ended: deque[tuple[int, str]] = field(default_factory=deque)
    status_kept_ms: int = DEFAULT_STATUS_KEPT_MS
    # Latest counts of waiting jobs that were put into a batch. Entry hosts report the
    # stored counts to callers.
    waiting: WaitingJobs | None = None
    # Time (Unix, ms) at which the counts were last computed.
    waiting_checked_unix_ms: int = 0
    lost_leadership: bool = False
    last_pacing_ms: int = 0
    last_progress_check_ms: int = 0
    last_standstill_check_ms: int = 0
    # Local time at which the last applied list of hosts was requested; 0 if none was.
    hosts_listed_ms: int = 0
    run_times: RunTimes = field(default_factory=RunTimes)
    forecasts: Forecasts = field(default_factory=Forecasts)
    interference: Interference = field(default_factory=Interference)
    capacity: Capacity = field(default_factory=Capacity)
    maintenance: MaintenanceScheduler = field(default_factory=MaintenanceScheduler)

    # Changes of configuration, jobs and backend servers.

    def set_configuration(self, configuration: JobConfiguration) -> None:
        """Applies a version of the configuration."""
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
        """Returns the state of a client account and creates it if there is none."""
        return self.accounts_by_name.setdefault(name, AccountState(name=name))

    def add_job(
        self,
        job: Job,
        record: JobRecord | None,
        now_ms: int,
        unix_ms: int,
        parts: Collection[int] = (),
    ) -> None:
        """Adds an accepted job and restores its progress if it has a record.

        `parts` has the numbers of the stored parts of its record, if there are any.
        """
        if job.job_id in self.jobs_by_id:
            return
        # A job whose queue is not configured any more keeps the rules of that queue.
        queue = self.queues_by_name.get(job.queue) or job.accepted_queue
        if queue is None:
            queue = Queue(name=job.queue, host='', path_prefix='', service=job.service)
        accepted_ms = now_ms - max(0, unix_ms - job.accepted_unix_ms)
        account = self.account(job.client_account)
        state = new_job_state(job, queue, account, accepted_ms, self.run_times)
        _ranking.record_share(state)
        self.jobs_by_id[job.job_id] = state
        self.capacity.job_accepted(state, _planning.service_of(self, state))
        placed = restore(state, record) if record is not None else []
        _late_starts.job_restored(state, now_ms, unix_ms)
        if state.final:
            self.ended_parts += [(job.job_id, number) for number in parts]
            self.ended.append((state.ended_unix_ms, job.job_id))
            return
        self.open_jobs_by_id[job.job_id] = state
        state.digests_by_part = dict.fromkeys(parts, b'')
        for task, stored in placed:
            backend = _lifetimes.restored(
                self, stored.backend_id, stored.born_ms, now_ms
            )
            backend.host_id = backend.host_id or stored.host_id
            task.phase, task.start_sent, task.unconfirmed = (
                TaskPhase.RUNNING,
                True,
                True,
            )
            task.started_at_ms = now_ms - max(0, unix_ms - stored.placed_unix_ms)
            task.pace_known = False
            assign(task, backend)
        _crashes.restored(self, state, now_ms, unix_ms)
        _late_starts.tasks_restored(self, state, now_ms, unix_ms)
        self.open_due_occurrences(state, now_ms, unix_ms)
        _ends.end_job_if_done(self, state, unix_ms)

    def forget_job(self, job_id: str) -> None:
        """Removes a job whose records were deleted from the store."""
        self.jobs_by_id.pop(job_id, None)
        self.open_jobs_by_id.pop(job_id, None)

    def cancel_job(self, job_id: str, unix_ms: int) -> None:
        """Cancels a job unless it has ended."""
        state = self.jobs_by_id.get(job_id)
        if state is None or state.final:
            return
        _ends.end_job(self, state, JobPhase.CANCELLED, unix_ms)

    def set_backend(self, report: BackendReport, now_ms: int) -> None:
        """Adds or updates a backend server from its entry in the registry."""
        _lifetimes.apply_entry(self, report, now_ms)

    def note_replaced_lifetimes(self, reports: Iterable[BackendReport]) -> None:
        """Records which lifetimes with stored runs have ended before this term.

        It is called with all entries of the registry, before the first is applied.
        """
        _lifetimes.note_replaced(self, reports)

    def remove_backend(self, backend_id: str) -> None:
        """Records that the entry of a backend server was removed.

        Its tasks may still run, so its state is kept until they have ended.
        """
        backend = self.backends_by_id.get(backend_id)
        if backend is None:
            return
        backend.report = backend.contested_by = None
        self.note(
            Event.BACKEND_GONE,
            {'backend_id': backend_id, 'tasks': len(backend.tasks_by_name)},
        )
        if not backend.tasks_by_name and not backend.stray_tasks_by_name:
            del self.backends_by_id[backend_id]

    def requeue_tasks(
        self,
        backend: BackendState,
        reason: str,
        certain: bool = True,
        kept: Collection[TaskState] = (),
    ) -> None:
        """Requeues the tasks of a backend server on which none runs any more.

        `certain` is whether its lifetime is known to have ended. It may also have been
        cut off until the lease of its tasks had expired. The tasks in `kept` may run in
        a later lifetime. They are lost with this one unless a later one reports them.
        """
        _crashes.backend_lost(self, backend, reason, certain)
        for task in list(backend.tasks_by_name.values()):
            if task not in kept:
                self.requeue(task, reason)

    def requeue(self, task: TaskState, reason: str) -> None:
        """Makes a task wait for its next run.

        The caller makes sure that the former run has ended, or that a copy of it may
        run at the same time.
        """
        backend_id = task.backend.backend_id if task.backend else ''
        _late_starts.note_requeued(self, task, self.planned_ms)
        unassign(task)
        if task.phase is not TaskPhase.DONE:
            task.phase = TaskPhase.WAITING
            if not task.step.job.final:
                self.mark_dirty(task.step.job)
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

    def mark_dirty(self, state: JobState) -> None:
        """Marks a job whose record has to be stored."""
        state.unchecked_parts = None
        self.dirty_job_ids[state.job.job_id] = None

    def note(self, event: Event, fields: dict) -> None:
        """Adds a decision to the log entries."""
        self.log_entries.append(LogEntry(event, fields))

    # Reports of the backend links, of the host task and of the advice service.

    def hold_answered(
        self,
        backend: BackendState,
        report: HoldReport,
        sent_ms: int,
        now_ms: int,
        unix_ms: int,
    ) -> None:
        """Applies a backend server's answer to the renewal of its lease.

        The answer lists the tasks that run and those that have ended.
        """
        _reports.apply(self, backend, report, sent_ms, now_ms, unix_ms)

    def contact_lost(
        self,
        backend: BackendState,
        outcome: OrderOutcome,
        lapses_at_ms: int,
        now_ms: int | None = None,
        answered_born_ms: int = 0,
    ) -> None:
        """Records that a backend server gave no usable answer.

        Its tasks have ended by the local time `lapses_at_ms` unless contact is
        regained. `now_ms` is the time of the last planning round if it is left out.
        `answered_born_ms` names the lifetime that has answered instead, if one has.
        """
        lost_at_ms = self.planned_ms if now_ms is None else now_ms
        if not backend.fenced and backend.lapses_at_ms is not None:
            # No call of this term has extended its lease.
            lapses_at_ms = min(lapses_at_ms, backend.lapses_at_ms)
        backend.lapses_at_ms = max(lapses_at_ms, backend.leased_until_ms)
        was_reachable, backend.reachable = backend.reachable, False
        if was_reachable:
            _crashes.contact_lost(self, backend, lost_at_ms)
        if outcome is OrderOutcome.FENCED:
            self.lost_leadership = True
        elif outcome is not OrderOutcome.OTHER_LIFETIME:
            _lifetimes.not_answered(self, backend, lost_at_ms)
        elif backend.address_lent and not answered_born_ms:
            _lifetimes.address_reused(self, backend)
        else:
            backend.report = None
            self.requeue_tasks(backend, 'another lifetime answered')
            _lifetimes.other_answered(self, backend, answered_born_ms, lost_at_ms)
        if was_reachable:
            self.note(
                Event.HOST_UNREACHABLE,
                {
                    'backend_id': backend.backend_id,
                    'outcome': outcome.value,
                    'tasks': len(backend.tasks_by_name),
                    'recent_starts': len(_crashes.recent_runs(backend)),
                    'lapses_in_ms': backend.lapses_at_ms - lost_at_ms,
                },
            )

    def ends_acknowledged(
        self, backend: BackendState, number: int, now_ms: int
    ) -> None:
        """Records up to which number a backend server may have forgotten its ends."""
        _ends.acknowledged(self, backend, number, now_ms)

    def start_unanswered(
        self, backend: BackendState, name: str, run: int, tried_ms: int
    ) -> None:
        """Records that the first try of a start was not answered.

        `tried_ms` is the local time at which the answer was given up. The start is
        repeated once this is stored.
        """
        task = backend.tasks_by_name.get(name)
        if task is None or task.run != run:
            return
        _late_starts.note_unanswered(self, task, backend, tried_ms)
        self.unanswered.append(PlacedRun(task, run, backend))

    def start_finished(
        self,
        backend: BackendState,
        name: str,
        run: int,
        outcome: OrderOutcome,
        now: int,
        deadline_ms: int = 0,
        is_later_lifetime: bool = False,
        unanswered_ms: int = 0,
    ) -> None:
        """Applies the outcome of a start order if it is for the task's current run.

        The backend server rejects a start that arrives after `deadline_ms`, on its own
        clock. `is_later_lifetime` is whether a later lifetime than this one answered.
        `unanswered_ms` is the local time of the last try without an answer, or 0.
        """
        task = backend.tasks_by_name.get(name)
        if task is None or task.run != run:
            return
        task.start_pending_ms = 0
        if unanswered_ms:
            _late_starts.note_unanswered(self, task, backend, unanswered_ms)
        if outcome is OrderOutcome.ACCEPTED or outcome is OrderOutcome.SUPERSEDED:
            if task.phase is TaskPhase.PLACED:
                task.phase = TaskPhase.RUNNING
            task.in_later_lifetime = is_later_lifetime
            task.step.job.begun = True
            task.confirmed_at_ms = task.progressed_at_ms = now
            task.started_at_ms = backend.last_sign_ms = now
            self._log_started(task, backend, outcome, now, bool(unanswered_ms))
            return
        job_id = task.step.job.job.job_id
        self.note(
            Event.START_REFUSED,
            {
                'job_id': job_id,
                'task': name,
                'run': run,
                'backend_id': backend.backend_id,
                'born_ms': backend.born_ms,
                'outcome': outcome.value,
                'try_unanswered': bool(unanswered_ms),
            },
        )
        if outcome is OrderOutcome.NO_ANSWER:
            task.start_deadline_ms = deadline_ms
            self.stop(task, 'start not answered')
        elif outcome is OrderOutcome.FENCED:
            self.lost_leadership = True
        else:
            self._start_refused(task, backend, outcome, now)

    def _log_started(
        self,
        task: TaskState,
        backend: BackendState,
        outcome: OrderOutcome,
        now: int,
        try_unanswered: bool,
    ) -> None:
        state = task.step.job
        _standstill.ended(self, state, now)
        self.note(
            Event.TASK_STARTED,
            {
                'job_id': state.job.job_id,
                'queue': state.job.queue,
                'client_account': state.job.client_account,
                'task': task.name,
                'run': task.run,
                'backend_id': backend.backend_id,
                'born_ms': backend.born_ms,
                'outcome': outcome.value,
                'try_unanswered': try_unanswered,
                'job_age_ms': now - state.accepted_ms,
                'due_in_ms': state.due_ms - now,
            },
        )

    def _start_refused(
        self, task: TaskState, backend: BackendState, outcome: OrderOutcome, now: int
    ) -> None:
        if outcome is OrderOutcome.NOT_SENT and task.stopping:
            # Withdrawn before it was sent, which says nothing about the backend server.
            pass
        elif outcome is OrderOutcome.NOT_SENT:
            # Only the backend link knows whether contact is lost and when the lease
            # expires, so the other tasks of the backend server stay as they are.
            backend.avoid_until_ms = now + NOT_SENT_PAUSE_MS
        elif outcome is OrderOutcome.NO_ROOM:
            backend.full_until_ms = now + FULL_PAUSE_MS
        elif outcome is OrderOutcome.UNHEALTHY:
            backend.avoid_until_ms = now + UNHEALTHY_PAUSE_MS
        elif outcome is OrderOutcome.REFUSED:
            task.not_before_ms = now + REFUSED_PAUSE_MS
        elif outcome is OrderOutcome.TICKET_INVALID:
            task.step.tickets_by_backend_id.pop(backend.backend_id, None)
            task.step.asked_lifetimes.discard(backend.lifetime)
        elif outcome is OrderOutcome.OTHER_LIFETIME:
            backend.avoid_until_ms = now + UNHEALTHY_PAUSE_MS
        self.requeue(task, outcome.value)

    def stop_finished(
        self, backend: BackendState, name: str, run: int, now: int
    ) -> None:
        """Records that a backend server has accepted a stop order.

        If the run had not started, its start is rejected from now on. If it had, a
        later report lists its end.
        """
        task = backend.tasks_by_name.get(name)
        if task is not None and task.run == run:
            if task.phase is TaskPhase.PLACED:
                task.phase = TaskPhase.RUNNING
            task.confirmed_at_ms = now

    def stop(self, task: TaskState, reason: str) -> None:
        """Orders that a run is stopped. The task is placed again only after its end."""
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
        if task.start_sent:
            self.commands.append(stop_command(backend, task.name, task.run))

    def host_order_sent(self, order: HostOrder, now_ms: int) -> None:
        """Records when an order about a host was sent, after its record was stored."""
        self.ordered_at_ms_by_host_id[order.host_id] = now_ms

    def host_order_finished(
        self, order: HostOrder, outcome: HostOrderOutcome, now_ms: int
    ) -> None:
        """Applies the outcome of an order about a host: a move or maintenance.

        An order that was repeated or answered late may have ended an earlier backend
        server of the host than the one that is listed now.
        """
        if outcome is HostOrderOutcome.FENCED:
            self.lost_leadership = True
        host = self.maintenance.hosts_by_id.get(order.host_id)
        backend = self.backends_by_id.get(host.backend_id) if host else None
        if backend is not None and outcome is HostOrderOutcome.ACCEPTED:
            backend.ending, backend.ending_since_ms = True, now_ms
        if order.pool:
            self.capacity.order_finished(order, outcome, now_ms)
        else:
            self.maintenance.order_finished(order, outcome, now_ms)

    def millicores_by_account(self) -> dict[str, int]:
        """Returns the millicores that each client account may use; 0 is no limit."""
        return {
            name: account.limit.cpu_millicores
            for name, account in self.accounts_by_name.items()
        }

    def wants_host_list(self) -> bool:
        """Whether the scheduler needs the platform's list of hosts.

        Without contact, only the list shows whether the tasks of a backend server have
        ended before their lease expires.
        """
        return bool(
            self.maintenance.active()
            or self.capacity.active()
            or self.unproven_losses
            or self.former_backends
            or _late_starts.lacks_contact(self, self.planned_ms)
            or any(
                backend.tasks_by_name and not backend.reachable
                for backend in self.backends_by_id.values()
            )
        )

    def hosts_listed(self, listed: HostsListed) -> None:
        """Applies the platform's list of all hosts.

        A host that is listed as down, or with another backend server, shows that a
        backend server that does not answer has crashed. So does a host that is not
        listed any more, if the entry of its backend server is gone too. Its tasks run
        no more, so they need not wait until their lease expires.
        """
        self.hosts_listed_ms = listed.sent_ms
        self.maintenance.hosts_listed(listed)
        _losses.hosts_listed(self, listed)
        for host in listed.hosts:
            backend = self.backends_by_id.get(host.backend_id)
            if backend is not None:
                backend.host_id = host.host_id
        ended = [
            (backend, state)
            for backend in [*self.backends_by_id.values(), *self.former_backends]
            if backend.tasks_by_name
            and not backend.reachable
            and backend.lost_at_ms < listed.sent_ms
            and (state := _losses.listed_end(self, backend, listed))
        ]
        _crashes.unreached_lost(self, ((backend, backend.rack) for backend, _ in ended))
        for backend, state in ended:
            backend.report = None
            self.requeue_tasks(backend, f'its host is listed as {state}')

    def advice_given(
        self, request: AskAdvice, granted: dict[str, str], valid_ms: int, now_ms: int
    ) -> None:
        """Stores the tickets that the advice service granted for a step.

        If `valid_ms` is 0, the same backend servers are asked about again later.
        """
        state = self.jobs_by_id.get(request.job_id)
        if state is None:
            return
        for steps in state.steps_by_occurrence.values():
            for step in steps:
                if step.key == request.step_key:
                    self._store_tickets(step, request, granted, valid_ms, now_ms)

    def _store_tickets(
        self,
        step: StepState,
        request: AskAdvice,
        granted: dict[str, str],
        valid_ms: int,
        now_ms: int,
    ) -> None:
        step.advice_pending = False
        step.advice_not_before_ms = now_ms + ADVICE_PAUSE_MS
        born_ms_by_id = dict(zip(request.backend_ids, request.born_ms, strict=True))
        if valid_ms:
            step.asked_lifetimes.update(starmap(Lifetime, born_ms_by_id.items()))
        for backend_id, text in granted.items():
            born_ms = born_ms_by_id.get(backend_id)
            if born_ms is not None:
                step.tickets_by_backend_id[backend_id] = Ticket(
                    text, born_ms, now_ms + valid_ms - TICKET_MARGIN_MS
                )

    def open_due_occurrences(self, state: JobState, now_ms: int, unix_ms: int) -> None:
        """Creates the steps and tasks of each occurrence that has become due.

        The due time of the job becomes that of its latest open occurrence.
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
        """Carries out a planning round.

        It requeues the tasks of expired leases, places waiting tasks and plans moves
        and maintenance of hosts.
        """
        self.planned_ms, self.planned_unix_ms = now_ms, unix_ms
        _planning.plan(self, now_ms, unix_ms)

    def take_batch(self, limit: int, now_unix_ms: int) -> Batch:
        """Returns the records to store next, at most `limit` of them."""
        return _batches.take_batch(self, limit, now_unix_ms)

    def records_rejected(self, job_ids: Iterable[str], unix_ms: int) -> None:
        """Ends jobs whose record the store never takes.

        Their starts could not be stored either, so they would wait for ever. Callers
        are told instead.
        """
        for job_id in job_ids:
            state = self.jobs_by_id.get(job_id)
            if state is None or state.final:
                continue
            state.end_reason = 'its progress cannot be stored'
            _ends.end_job(self, state, JobPhase.FAILED, unix_ms)

    def confirm(self, batch: Batch) -> list[Command]:
        """Returns the commands that may be sent after a batch was stored."""
        return _batches.confirm(self, batch)

    def take_commands(self) -> list[Command]:
        """Returns and clears the commands that need no stored record."""
        commands, self.commands = self.commands, []
        return commands

    def take_log_entries(self) -> list[LogEntry]:
        """Returns and clears the log entries since the last call."""
        log_entries, self.log_entries = self.log_entries, []
        return log_entries
