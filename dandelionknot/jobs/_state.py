"""The scheduler's state of jobs, tasks, client accounts and backend servers."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

from dandelionknot.jobs._generated import (
    BackendReport,
    Job,
    JobPhase,
    Queue,
    Resources,
    StepSpec,
    StopTask,
)
from dandelionknot.jobs._shares import AccountShare

# Phases in which no task of a job is started any more.
FINAL_PHASES = frozenset({JobPhase.DONE, JobPhase.FAILED, JobPhase.CANCELLED})


class TaskPhase(IntEnum):
    """Phase of a task. The numbers are stored in records and must not change."""

    WAITING = 0
    PLACED = 1
    RUNNING = 2
    DONE = 4


class Lifetime(NamedTuple):
    """One run of the process of a backend server, by the time at which it started."""

    backend_id: str
    born_ms: int


@dataclass(slots=True)
class LateStart:
    """A start that a backend server may still carry out, or carry out again."""

    # Local and Unix time until which it may be carried out.
    until_ms: int
    until_unix_ms: int
    # Local time until which the task waits for the backend server if that seems to be
    # down, and the local time of its last loss.
    waits_until_ms: int = 0
    lost_at_ms: int = 0
    # Whether a former leader may have sent it; otherwise a try without an answer is
    # known.
    is_assumed: bool = False
    # Host of the backend server; empty if it is not known.
    host_id: str = ''
    # Number of runs of the task that have failed there since, and whether that may be
    # the server's fault.
    failures: int = 0
    has_failed: bool = False


@dataclass(slots=True, eq=False)
class TaskState:
    """One task of one occurrence of a step."""

    name: str
    step: 'StepState'
    phase: TaskPhase = TaskPhase.WAITING
    run: int = 0
    backend: 'BackendState | None' = None
    born_ms: int = 0
    failed_runs: list[int] = field(default_factory=list)
    checkpoint: str = ''
    # The checkpoint is too large to be stored with those of other tasks.
    checkpoint_left_out: bool = False
    # The start order was sent. Until then, no backend server can run the task.
    start_sent: bool = False
    # Local time at which the start was sent, while its outcome is not known; else 0.
    start_pending_ms: int = 0
    # The scheduler has decided to stop the run, and its end is not known yet.
    stopping: bool = False
    # Time on the clock of the backend server after which it rejects the start of the
    # run; 0 unless the start was sent and may still be carried out.
    start_deadline_ms: int = 0
    # Placed by a former leader, and not reported to this leader yet.
    unconfirmed: bool = False
    # The answer to the start showed that a later lifetime than that of `backend` has
    # accepted it.
    in_later_lifetime: bool = False
    confirmed_at_ms: int = 0
    # Time (Unix, ms) at which the run was placed. It is stored.
    placed_unix_ms: int = 0
    # Local time at which the start of the run was accepted; until then, and for a run
    # of a former leader, the time at which it was placed.
    started_at_ms: int = 0
    # Local time from which the run time of the current run counts, not later than the
    # start of its work; 0 if the run time shows nothing about other tasks, because a
    # former leader started the run or it resumed from a checkpoint.
    measured_from_ms: int = 0
    # How often the task was stopped because it made too little progress. It is stored.
    slow_runs: int = 0
    # Runs under which a backend server crashed, and those of them that ran alone.
    crashed_runs: list[int] = field(default_factory=list)
    crashed_alone_runs: list[int] = field(default_factory=list)
    # Time from the start of each crashed run to the crash; 0 if its start was not
    # answered.
    crash_ages_ms: list[int] = field(default_factory=list)
    # Hosts of these crashes, and lifetimes of the backend servers.
    crashed_host_ids: list[str] = field(default_factory=list)
    crash_lifetimes: list[Lifetime] = field(default_factory=list)
    # Times (Unix, ms) of the last signs of life of these lifetimes; 0 if not known.
    crash_signs_unix_ms: list[int] = field(default_factory=list)
    # Crashed runs whose backend server may only be cut off.
    unproven_runs: list[int] = field(default_factory=list)
    # The task may crash its backend servers, so it is only started alone. The run is
    # isolated if it was started so.
    suspected: bool = False
    isolated: bool = False
    # Local time of the last crash that made it suspected, or of the begin of the term.
    suspected_at_ms: int = 0
    # Number of successive reports that did not list the run.
    missing_reports: int = 0
    # The task is not placed before this local time.
    not_before_ms: int = 0
    # Lifetimes whose last report listed another run of the task than the current one.
    stray_backends_by_id: dict[str, 'BackendState'] = field(default_factory=dict)
    # Starts of any of its runs that may still be carried out late.
    late_starts_by_backend_id: dict[str, LateStart] = field(default_factory=dict)
    # Local time until which the task is placed only on the backend servers of these.
    bound_until_ms: int = 0
    # Progress of the run in percent. For a long-running task, its speed in percent of
    # full speed.
    percent: int = 0
    progressed_at_ms: int = 0
    # Pace that was ordered for a task that uses idle capacity, in percent of full
    # speed.
    pace_percent: int = 100
    # Whether this leader knows the pace; a former one may have ordered another.
    pace_known: bool = True
    # Last reading. For a serving task, its tail latency in ms. For other tasks, the
    # millicores in use.
    reading: float = 0.0

    @property
    def failures(self) -> int:
        """Number of stored runs that ended as failed."""
        return len(self.failed_runs)


@dataclass(slots=True, eq=False)
class StepState:
    """One occurrence of a step of a job."""

    job: 'JobState'
    spec: StepSpec
    occurrence: int
    index: int
    tasks: list[TaskState] = field(default_factory=list)
    done: int = 0
    # Expected run time of a task: from what the caller declared and what is known of
    # the queue, or from the tasks of the step that are done.
    expected_ms: int = 0
    # Run times of the tasks that are done.
    durations_ms: list[int] = field(default_factory=list)
    # Number of tasks of this step that are assigned to each backend server.
    tasks_by_backend_id: dict[str, int] = field(default_factory=dict)
    tickets_by_backend_id: dict[str, 'Ticket'] = field(default_factory=dict)
    # Lifetimes of backend servers about which the advice service has answered. A later
    # one may be of another kind.
    asked_lifetimes: set[Lifetime] = field(default_factory=set)
    advice_pending: bool = False
    advice_not_before_ms: int = 0

    @property
    def key(self) -> str:
        """Key of the step that is unique among all jobs."""
        return f'{self.job.job.job_id}.{self.occurrence}.{self.index}'


@dataclass(slots=True, frozen=True)
class Ticket:
    """Permission by the advice service to run a step on one backend server."""

    text: str
    born_ms: int
    expires_ms: int


@dataclass(slots=True, eq=False)
class JobState:
    """An accepted job with its steps and tasks."""

    job: Job
    queue: Queue
    account: 'AccountState'
    accepted_ms: int
    phase: JobPhase = JobPhase.QUEUED
    ended_unix_ms: int = 0
    # Why the job has failed, if no end of a run shows it.
    end_reason: str = ''
    # Time until which a start of a task that is done may be carried out late, or 0, and
    # the local time that a record of a former leader stated.
    late_until_unix_ms: int = 0
    former_late_until_ms: int = 0
    # A task of it was placed, which its record shows, and the local time of the first
    # placement in this term.
    started: bool = False
    placed_at_ms: int = 0
    # A run of it has begun, as far as this leader knows.
    begun: bool = False
    # Digest of each part of the record as it was last passed to the store, by its
    # number; empty if it is not known. Parts that may have changed since then; None
    # stands for all.
    digests_by_part: dict[int, bytes] = field(default_factory=dict)
    unchecked_parts: list[int] | None = None
    # Tasks whose checkpoint is left out of the record since the last log line.
    left_out_names: list[str] = field(default_factory=list)
    # Steps of each occurrence that is open.
    steps_by_occurrence: dict[int, list[StepState]] = field(default_factory=dict)
    # Expected run time of a task of each step when the job was accepted.
    task_ms_by_step: list[int] = field(default_factory=list)
    critical_path_ms: int = 0
    due_ms: int = 0
    # How far the client account was beyond its share when the job was accepted; 0 is
    # within it.
    share_level: int = 0
    # The account was beyond its share and has a limit.
    beyond_share: bool = False
    # Local time since which nothing of it has run although a task is ready, or 0, and
    # the cause that was logged.
    standing_since_ms: int = 0
    standstill_cause: str = ''

    @property
    def final(self) -> bool:
        """Whether the job has ended, so that no task of it is started any more."""
        return self.phase in FINAL_PHASES


@dataclass(slots=True, eq=False)
class AccountState:
    """Limit, weight and used resources of a client account on all backend servers."""

    name: str
    limit: Resources = Resources()
    weight: float = 1.0
    share: AccountShare = field(default_factory=AccountShare)
    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    # Resources of runs that may be under way beside those of assigned tasks.
    unseen: Resources = Resources()


@dataclass(slots=True, eq=False)
class BackendState:
    """One lifetime of a backend server: a run of its process from start to exit."""

    backend_id: str
    born_ms: int
    # Local time by which all its tasks have ended unless contact is regained. None
    # while the backend server answers.
    lapses_at_ms: int | None
    # Local time until which a lease may last that was set by calls to the lifetime
    # before this one; 0 if there were none.
    leased_until_ms: int = 0
    # Another lifetime under the same id came before it, as far as this leader knows.
    follows_another: bool = False
    # It was known at the begin of the term; the leader may not know of an earlier one.
    known_at_begin: bool = False
    # The end of the lease was applied. Tasks that are left may run in a later lifetime.
    lease_lapsed: bool = False
    report: BackendReport | None = None
    # Address at which it is called; empty if no entry named one. It is lent if it is
    # that of an entry of another lifetime.
    address: str = ''
    address_lent: bool = False
    # Latest entry of another lifetime, and the local time of the first one, while it is
    # open which of the two lifetimes is the later.
    contested_by: BackendReport | None = None
    contested_since_ms: int = 0
    # Highest number of its entries that was applied; 0 if they have none.
    entry_number: int = 0
    tasks_by_name: dict[str, TaskState] = field(default_factory=dict)
    cpu_millicores: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    reachable: bool = False
    # Whether the backend server has accepted a call with the fencing token of this
    # term. From then on, it rejects calls with the token of an earlier term.
    fenced: bool = False
    # Tasks of which the last report listed another run than the current one.
    stray_tasks_by_name: dict[str, TaskState] = field(default_factory=dict)
    # Number of the latest end that was processed.
    seen_end: int = 0
    acknowledged_end: int = 0
    # Ends up to this number are stored, or need no record.
    stored_end: int = 0
    # Local time at which each end was listed that is not acknowledged, by its number.
    listed_ms_by_end: dict[int, int] = field(default_factory=dict)
    # Local time until which an end is not acknowledged, by its number.
    withheld_until_ms_by_end: dict[int, int] = field(default_factory=dict)
    # A report had malformed rows. A run that is not listed may still be running, or may
    # have done its task.
    lists_incomplete: bool = False
    avoid_until_ms: int = 0
    consecutive_failures: int = 0
    # A task has ended as done on it, so that not every task fails there.
    has_done_tasks: bool = False
    failed_job_ids: set[str] = field(default_factory=set)
    cordoned: bool = False
    # Its host was ordered to move to another pool, or is borrowed and being drained so
    # that it can be returned.
    moving: bool = False
    # The maintenance or the move of its host was accepted, so its lifetime ends soon
    # unless an earlier order had ended its predecessor; the local time of the answer.
    ending: bool = False
    ending_since_ms: int = 0
    # Its host is borrowed from another pool. A long-running task would delay its
    # return.
    borrowed: bool = False
    # Its host is listed in a maintenance wave and its maintenance has not begun, so
    # other hosts are better for long-running tasks.
    maintenance_due: bool = False
    last_contact_ms: int = 0
    # Host on which the platform has listed it; empty if it has not been listed.
    host_id: str = ''
    # Local time of the last report or accepted start.
    last_sign_ms: int = 0
    # Local time at which contact was lost, and the runs by task name that had begun
    # shortly before; None while there is contact.
    lost_at_ms: int = 0
    lost_suddenly: bool = False
    # Local time at which a task was placed on it last.
    placed_at_ms: int = 0
    recent_runs_by_name: dict[str, int] | None = None
    # It has announced that it leaves.
    leaving: bool = False
    # Number of isolated runs, and the local time since which it gets no starts so that
    # it becomes empty for one; 0 if it does get starts.
    isolated_tasks: int = 0
    reserved_at_ms: int = 0
    full_until_ms: int = 0
    # Local time of the next sample of its readings, and the number of running tasks of
    # each image at the last one; None if it was not known.
    sample_due_ms: int = 0
    count_by_image: dict[str, int] | None = None
    # Earliest local time at which a draining backend server leaves; 0 if it stays.
    leaves_at_ms: int = 0

    @property
    def lifetime(self) -> Lifetime:
        """Identifies this lifetime among those of all backend servers."""
        return Lifetime(self.backend_id, self.born_ms)

    @property
    def known_host_id(self) -> str:
        """Its host, or its own id if the platform has not listed it."""
        return self.host_id or self.backend_id

    @property
    def rack(self) -> str:
        """Rack of the host, or an empty text without an entry."""
        return rack_of(self.report) if self.report else ''


def rack_of(report: BackendReport) -> str:
    """Returns the rack of a host: the first of its labels that contains a hyphen."""
    return next((label for label in report.labels if '-' in label), '')


def tasks_of(state: JobState) -> Iterable[TaskState]:
    """Yields the tasks of all open occurrences of a job."""
    for steps in state.steps_by_occurrence.values():
        for step in steps:
            yield from step.tasks


def has_long_running(backend: BackendState) -> bool:
    """Whether a long-running task is assigned to a backend server."""
    return any(t.step.spec.long_running for t in backend.tasks_by_name.values())


def occupied_cpu_millicores(spec: StepSpec) -> int:
    """Returns the millicores by which a task of a step reduces the room of its host.

    For a task that uses idle capacity, this is 0.
    """
    return 0 if spec.uses_idle_capacity else spec.resources.cpu_millicores


def assign(task: TaskState, backend: BackendState) -> None:
    """Assigns a task to a backend server and adds its resources to the totals.

    The totals are those of the backend server, the step and the client account.
    """
    spec = task.step.spec
    task.backend = backend
    task.born_ms = backend.born_ms
    backend.tasks_by_name[task.name] = task
    backend.isolated_tasks += task.isolated
    backend.cpu_millicores += occupied_cpu_millicores(spec)
    backend.memory_mb += spec.resources.memory_mb
    backend.accelerators += spec.resources.accelerators
    counts = task.step.tasks_by_backend_id
    counts[backend.backend_id] = counts.get(backend.backend_id, 0) + 1
    account = task.step.job.account
    account.cpu_millicores += spec.resources.cpu_millicores
    account.memory_mb += spec.resources.memory_mb
    account.accelerators += spec.resources.accelerators


def reassign(task: TaskState, backend: BackendState) -> None:
    """Moves the current run of a task to another lifetime of its backend server."""
    start_sent, stopping, isolated = task.start_sent, task.stopping, task.isolated
    unconfirmed, pending_ms = task.unconfirmed, task.start_pending_ms
    unassign(task)
    task.isolated = isolated
    assign(task, backend)
    task.start_sent, task.stopping = start_sent, stopping
    task.unconfirmed, task.start_pending_ms = unconfirmed, pending_ms
    task.pace_known = False


def unassign(task: TaskState) -> None:
    """Removes the current run of a task from its backend server.

    The run has ended, or a copy of it may run at the same time.

    Its resources are subtracted from the totals of the backend server, the step and
    the client account.
    """
    backend = task.backend
    if backend is None:
        return
    spec = task.step.spec
    task.backend = None
    task.start_sent = task.stopping = task.unconfirmed = False
    task.in_later_lifetime = False
    task.missing_reports = task.start_pending_ms = 0
    task.measured_from_ms = task.start_deadline_ms = 0
    task.pace_percent, task.pace_known = 100, True
    backend.tasks_by_name.pop(task.name, None)
    backend.isolated_tasks -= task.isolated
    task.isolated = False
    backend.cpu_millicores -= occupied_cpu_millicores(spec)
    backend.memory_mb -= spec.resources.memory_mb
    backend.accelerators -= spec.resources.accelerators
    counts = task.step.tasks_by_backend_id
    counts[backend.backend_id] -= 1
    if not counts[backend.backend_id]:
        del counts[backend.backend_id]
    account = task.step.job.account
    account.cpu_millicores -= spec.resources.cpu_millicores
    account.memory_mb -= spec.resources.memory_mb
    account.accelerators -= spec.resources.accelerators


def stop_command(backend: BackendState, task_name: str, run: int) -> StopTask:
    """Returns the command that stops a run on a backend server."""
    return StopTask(
        backend_id=backend.backend_id,
        born_ms=backend.born_ms,
        task_name=task_name,
        run=run,
    )
