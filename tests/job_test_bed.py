"""In-memory backend servers and store for tests of the job scheduler.

Time is a number that the tests advance, so no test waits. Each fake backend server
follows the platform's protocol for run numbers, and lists the end of a run until it is
acknowledged.
"""

from dataclasses import dataclass, field

from dandelionknot.jobs._batches import Batch
from dandelionknot.jobs._generated import (
    BackendReport,
    ClientAccount,
    EndedTask,
    EndReason,
    HoldReport,
    Host,
    HostsListed,
    Job,
    JobConfiguration,
    JobSpec,
    OrderOutcome,
    Queue,
    Resources,
    RunningTask,
    StartTask,
    StepSpec,
    StopTask,
)
from dandelionknot.jobs._records import merged
from dandelionknot.jobs._scheduler import Scheduler
from dandelionknot.jobs._state import BackendState, Lifetime

HOLD_MAX_MS = 6000
# Time after a crash until a backend server is back, and until its lease has expired.
RESTART_MS = 3000
LEASE_MS = 3600
SERVICE = 'quotes'


@dataclass(slots=True)
class FakeRun:
    """A run on a fake backend server."""

    run: int
    percent: int = 0
    started_ms: int = 0


@dataclass(slots=True)
class FakeBackend:
    """A backend server that carries out orders at once."""

    backend_id: str
    room: Resources = Resources(cpu_millicores=32000, memory_mb=65536)
    service: str = SERVICE
    born_ms: int = 1
    zone: str = 'a'
    labels: tuple[str, ...] = ('std', 'r1-1')
    unresponsive: bool = False
    draining: bool = False
    # Whether each report shows further progress of the tasks that run.
    makes_progress: bool = True
    runs_by_name: dict[str, FakeRun] = field(default_factory=dict)
    # Largest run number of a task that may not start any more.
    barred_by_name: dict[str, int] = field(default_factory=dict)
    # Ends of runs that are not acknowledged.
    ends: list[EndedTask] = field(default_factory=list)
    next_end: int = 1
    # Task name and run number of each start.
    started: list[tuple[str, int]] = field(default_factory=list)
    # Time at which it is back after a crash; 0 while it is up.
    down_until_ms: int = 0
    # Whether it crashes whatever it starts.
    crashes_always: bool = False
    # Whether it leaves starts unanswered, and does nothing with starts and stops.
    ignores_orders: bool = False
    clock_ms: int = 1
    # Whether no call arrives, which shows only once an order is sent.
    cut_off: bool = False
    # Its host in the platform's list; empty if its entry names none.
    host_id: str = ''
    # Highest fencing token that this lifetime has seen.
    fence: int = 0
    # Name and both runs of each task that was started while another run of it ran here.
    overlaps: list[tuple[str, int, int]] = field(default_factory=list)

    def report(self) -> BackendReport:
        """Returns the backend server's entry in the registry."""
        return BackendReport(
            backend_id=self.backend_id,
            born_ms=self.born_ms,
            host_id=self.host_id,
            service=self.service,
            address='10.0.0.1:1',
            availability_zone=self.zone,
            draining=self.draining,
            room=self.room,
            labels=list(self.labels),
        )

    def start(self, name: str, run: int) -> OrderOutcome:
        """Starts a run unless it runs already or was barred."""
        current = self.runs_by_name.get(name)
        if current is not None and current.run == run:
            return OrderOutcome.ACCEPTED
        if run <= self.barred_by_name.get(name, 0):
            return OrderOutcome.SUPERSEDED
        if current is not None:
            self.overlaps.append((name, current.run, run))
        self.runs_by_name[name] = FakeRun(run)
        self.started.append((name, run))
        return OrderOutcome.ACCEPTED

    def start_late(self, name: str, run: int, token: int) -> None:
        """Carries out a start that got no answer, unless its token is too low."""
        if token >= self.fence:
            self.start(name, run)

    def end(self, name: str, reason: EndReason, checkpoint: str = '') -> None:
        """Ends a run and adds it to the list of ends."""
        run = self.runs_by_name.pop(name).run
        self.barred_by_name[name] = max(run, self.barred_by_name.get(name, 0))
        self.ends.append(
            EndedTask(
                number=self.next_end,
                task_name=name,
                run=run,
                reason=reason,
                checkpoint=checkpoint,
            )
        )
        self.next_end += 1

    def stop(self, name: str, run: int) -> None:
        """Stops a run and bars it and all earlier ones from starting."""
        current = self.runs_by_name.get(name)
        if current is not None and current.run <= run:
            self.end(name, EndReason.STOPPED)
        self.barred_by_name[name] = max(run, self.barred_by_name.get(name, 0))

    def hold_report(self) -> HoldReport:
        """Returns the report with which the backend server answers a lease renewal."""
        for run in self.runs_by_name.values():
            if self.makes_progress and run.percent < 90:
                run.percent += 1
        return HoldReport(
            clock_ms=self.clock_ms,
            born_ms=self.born_ms,
            running=[
                RunningTask(task_name=name, run=run.run, percent=run.percent)
                for name, run in self.runs_by_name.items()
            ],
            ended=list(self.ends),
        )

    def restart(self) -> None:
        """Begins a new lifetime without any state of the former one."""
        self.down_until_ms = 0
        self.born_ms += 1000
        self.runs_by_name.clear()
        self.barred_by_name.clear()
        self.ends.clear()
        self.next_end = 1
        self.fence = 0


class JobTestBed:
    """Simulated environment: a scheduler, fake backend servers and stored records."""

    def __init__(self, *backends: FakeBackend, queue: Queue | None = None):
        self.now_ms = 1_000_000
        self.queue = queue or Queue(
            name='desk', host='h', path_prefix='/q/', service=SERVICE, max_attempts=3
        )
        self.accounts = [ClientAccount(name='sofia', keys=['k'])]
        self.backends = {backend.backend_id: backend for backend in backends}
        self.jobs: dict[str, Job] = {}
        self.records: dict = {}
        self.parts: dict[str, dict] = {}
        # Tasks that crash each backend server on which they start, or once they have
        # run for the given time.
        self.crash_after_ms_by_name: dict[str, int] = {}
        # Time, task and lost tasks of each crash by a task.
        self.crashes: list[tuple[int, str, list[str]]] = []
        # Entries of the registry that differ from what the backend server reports now.
        self.entries_by_id: dict[str, BackendReport] = {}
        # Lifetimes to which the leader has a link.
        self.linked: set[Lifetime] = set()
        # Fencing token of the latest link, which is higher than those of earlier ones,
        # and that of each lifetime.
        self.token = 0
        self.tokens_by_lifetime: dict[Lifetime, int] = {}
        # Whether no row of the list of hosts is malformed.
        self.lists_complete = True
        # Most records that one write to the store takes.
        self.records_per_batch = 1000
        self.scheduler = self.new_leader()

    def new_leader(self, unregistered: tuple[str, ...] = ()) -> Scheduler:
        """Replaces the scheduler by one that starts from the stored records alone.

        The entries of `unregistered` backend servers have been removed.
        """
        scheduler = Scheduler(hold_max_ms=HOLD_MAX_MS)
        self.scheduler = scheduler
        self.linked.clear()
        self.tokens_by_lifetime.clear()
        self.configure()
        for job in self.jobs.values():
            parts = self.parts.get(job.job_id, {})
            record = merged(self.records.get(job.job_id), parts.values())
            scheduler.add_job(job, record, self.now_ms, self.now_ms, parts)
        reports = [
            self.entries_by_id.get(backend.backend_id, backend.report())
            for backend in self.backends.values()
            if backend.backend_id not in unregistered
        ]
        scheduler.note_replaced_lifetimes(reports)
        for report in reports:
            scheduler.set_backend(report, self.now_ms)
        return scheduler

    def list_hosts(self) -> None:
        """Passes the platform's list, if the scheduler wants it, to the scheduler."""
        if not self.scheduler.wants_host_list():
            return
        rows = [
            Host(
                host_id=backend.host_id,
                pool=SERVICE,
                state='down' if backend.down_until_ms else 'up',
                backend_id='' if backend.down_until_ms else backend.backend_id,
            )
            for backend in self.backends.values()
        ]
        listed = HostsListed(
            hosts=rows, sent_ms=self.now_ms, complete=self.lists_complete
        )
        self.scheduler.hosts_listed(listed)

    def configure(self) -> None:
        """Applies the queue and the client accounts to the scheduler."""
        self.scheduler.set_configuration(
            JobConfiguration(
                version=1, queues=[self.queue], client_accounts=self.accounts
            )
        )

    def submit(
        self, *steps: StepSpec, job_id: str = 'j1', account: str = 'sofia', **spec
    ) -> Job:
        """Adds an accepted job to the store and the scheduler."""
        job = Job(
            job_id=job_id,
            queue=self.queue.name,
            service=SERVICE,
            client_account=account,
            accepted_unix_ms=self.now_ms,
            spec=JobSpec(payload='p', steps=list(steps), **spec),
            accepted_queue=self.queue,
        )
        self.jobs[job_id] = job
        self.scheduler.add_job(job, None, self.now_ms, self.now_ms)
        return job

    def hold(self, backend: FakeBackend) -> None:
        """Passes a backend server's report to the scheduler if the server answers."""
        state = self.scheduler.backends_by_id.get(backend.backend_id)
        silent = backend.unresponsive or backend.cut_off or backend.down_until_ms
        if state is None or silent or not self._is_linked(state):
            return
        backend.fence = max(backend.fence, self.tokens_by_lifetime[state.lifetime])
        self.scheduler.hold_answered(
            state, backend.hold_report(), self.now_ms, self.now_ms, self.now_ms
        )

    def _is_linked(self, state: BackendState) -> bool:
        """Whether the leader has a link, which it opens once it knows an address."""
        if state.address:
            self.linked.add(state.lifetime)
        if state.lifetime not in self.tokens_by_lifetime:
            self.token += 1
            self.tokens_by_lifetime[state.lifetime] = self.token
        return state.lifetime in self.linked

    def step(self, advance_ms: int = 10) -> list:
        """Advances time, then does one round of the scheduler and its backend servers.

        The round applies reports, plans, stores records and carries out all commands.

        Returns the commands.
        """
        self.now_ms += advance_ms
        for backend in self.backends.values():
            self._crash_or_restart(backend)
        for backend in self.backends.values():
            self.hold(backend)
        self.scheduler.plan(self.now_ms, self.now_ms)
        commands = self.scheduler.take_commands()
        batch = self.scheduler.take_batch(self.records_per_batch, self.now_ms)
        self.store(batch)
        commands += self.scheduler.confirm(batch)
        for backend_id, backend in self.backends.items():
            state = self.scheduler.backends_by_id.get(backend_id)
            if state is not None and not backend.unresponsive:
                backend.ends = [e for e in backend.ends if e.number > state.stored_end]
        for command in commands:
            self.execute(command)
        return commands

    def store(self, batch: Batch) -> None:
        """Stores the records of a batch."""
        self.records.update(batch.records_by_job_id)
        for job_id, parts in batch.parts_by_job_id.items():
            self.parts.setdefault(job_id, {}).update(parts)
        for job_id, number in batch.deleted_parts:
            del self.parts[job_id][number]

    def execute(self, command) -> None:
        """Carries out a command on its backend server and reports the outcome."""
        state = self.scheduler.backends_by_id.get(getattr(command, 'backend_id', ''))
        if state is None:
            return
        backend = self.backends[state.backend_id]
        if isinstance(command, StartTask):
            order = command.order
            outcome = OrderOutcome.NOT_SENT
            if backend.ignores_orders or backend.cut_off:
                outcome = OrderOutcome.NO_ANSWER
            elif not backend.unresponsive and not backend.down_until_ms:
                outcome = backend.start(order.task_name, order.run)
                started = backend.runs_by_name.get(order.task_name)
                if started is not None and not started.started_ms:
                    started.started_ms = self.now_ms
            self.scheduler.start_finished(
                state,
                order.task_name,
                order.run,
                outcome,
                self.now_ms,
                backend.clock_ms + LEASE_MS,
                backend.born_ms != state.born_ms,
            )
            if backend.cut_off:
                self.scheduler.contact_lost(
                    state, outcome, self.now_ms + LEASE_MS, self.now_ms
                )
        elif backend.ignores_orders or backend.cut_off:
            return
        elif isinstance(command, StopTask) and not backend.unresponsive:
            backend.stop(command.task_name, command.run)
            self.scheduler.stop_finished(
                state, command.task_name, command.run, self.now_ms
            )

    def _crash_or_restart(self, backend: FakeBackend) -> None:
        """Crashes a backend server under a task, or starts it again after a crash."""
        for name, run in backend.runs_by_name.items():
            after_ms = self.crash_after_ms_by_name.get(name)
            if backend.crashes_always:
                after_ms = 0
            if after_ms is not None and self.now_ms - run.started_ms >= after_ms:
                others = [other for other in backend.runs_by_name if other != name]
                self.crashes.append((self.now_ms, name, others))
                self.lose(backend)
                return
        if backend.down_until_ms and self.now_ms >= backend.down_until_ms:
            backend.restart()
            self.scheduler.set_backend(backend.report(), self.now_ms)

    def lose(self, backend: FakeBackend) -> None:
        """Ends the lifetime of a backend server, which breaks its connections."""
        backend.runs_by_name.clear()
        backend.down_until_ms = self.now_ms + RESTART_MS
        state = self.scheduler.backends_by_id.get(backend.backend_id)
        if state is not None:
            self.scheduler.contact_lost(
                state, OrderOutcome.NO_ANSWER, self.now_ms + LEASE_MS, self.now_ms
            )

    def finish_after(self, duration_ms: int, spared: tuple[str, ...] = ()) -> None:
        """Ends as done all runs that have lasted long enough."""
        for backend in self.backends.values():
            for name, run in list(backend.runs_by_name.items()):
                if self.now_ms - run.started_ms >= duration_ms and name not in spared:
                    backend.end(name, EndReason.DONE)

    def running(self) -> dict[str, list[str]]:
        """Returns the ids of the backend servers on which each task runs."""
        places: dict[str, list[str]] = {}
        for backend in self.backends.values():
            for name in backend.runs_by_name:
                places.setdefault(name, []).append(backend.backend_id)
        return places

    def phase(self, job_id: str = 'j1') -> str:
        """Returns the phase of a job."""
        return self.scheduler.jobs_by_id[job_id].phase.value
