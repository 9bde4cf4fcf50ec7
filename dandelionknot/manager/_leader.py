"""The task that owns the scheduler during one leadership term."""

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from msgspec.structs import replace
from result import Result

from dandelionknot._mailbox import Call, Mailbox
from dandelionknot.clock import now_ms, seconds, unix_ms
from dandelionknot.events import Event, log_event, log_unexpected_error
from dandelionknot.jobs import _placement_query
from dandelionknot.jobs._batches import Batch
from dandelionknot.jobs._generated import (
    AdviceGiven,
    AskAdvice,
    BackendReport,
    ContactLost,
    EndsStored,
    HoldAnswered,
    HostOrder,
    HostOrderFinished,
    HostsListed,
    ManagerSettings,
    PlacementAnswer,
    StartFinished,
    StartTask,
    StartUnanswered,
    StopFinished,
    TasksExpected,
)
from dandelionknot.jobs._placement_query import PlacementQuestion
from dandelionknot.jobs._scheduler import Command, Scheduler
from dandelionknot.jobs._state import BackendState
from dandelionknot.jobs._stored import (
    BackendFact,
    ConfigurationFact,
    Fact,
    WaveFact,
    ZoneFact,
)
from dandelionknot.manager._commit import (
    MAX_RECORDS,
    BatchStored,
    Committer,
    TermEnded,
)
from dandelionknot.manager._hosts import HostTask
from dandelionknot.manager._leadership import Term
from dandelionknot.manager._link import BackendLink
from dandelionknot.manager._ports import BackendClient, HostClient
from dandelionknot.manager._view import (
    JobCancelled,
    JobDeleted,
    JobEntry,
    JobStored,
    View,
)
from dandelionknot.manager._watch import LEADER_PAUSE_MS, Watcher
from dandelionknot.store import Item, Put, Store

# Longest wait for a message before the next planning round, which handles expired
# leases and due occurrences of repeated jobs.
TICK_MS = 100
# Wait after the first message for further ones, so that one planning round covers
# messages that arrive together.
GROUPING_MS = 4
# Pause after a planning round, in multiples of its duration, so that reports of
# backend servers are processed between rounds.
PAUSE_PER_PLANNING_TIME = 3
# Ended jobs stay stored this much longer than callers may query them.
STATUS_MARGIN_MS = 10_000
# What a new backend link assumes.
NOT_EXPECTED = TasksExpected(expected=False)
# Most messages that may wait in the mailbox of the leader.
MAILBOX_CAPACITY = 100_000


@dataclass(slots=True)
class LeaderPorts:
    """Settings, clients and callbacks that a term gets from the process."""

    new_store: Callable[[], Store]
    decode_fact: Callable[[Item], Fact | None]
    settings: ManagerSettings
    new_backend_client: Callable[[str, str, int], BackendClient]
    new_host_client: Callable[[], HostClient | None]
    wave_status: Callable[[int, bool], Put]
    ask_advice: Callable[[AskAdvice], Awaitable[Result]]
    stopping: asyncio.Event
    observe: Callable[[Event, dict[str, Any]], None]


@dataclass(slots=True)
class Leader:
    """Runs the scheduler of one term with its backend links and its committer."""

    ports: LeaderPorts
    term: Term
    scheduler: Scheduler
    # View of all keys of the store, watched during the term.
    view: View
    mailbox: Mailbox = field(default_factory=lambda: Mailbox(MAILBOX_CAPACITY))
    # Backend links, and the asyncio tasks that run them, by backend id and start time
    # of the backend server's process.
    links: dict[tuple[str, int], BackendLink] = field(default_factory=dict)
    tasks: dict[tuple[str, int], asyncio.Task] = field(default_factory=dict)
    # Address that each link calls, by the same key.
    addresses: dict[tuple[str, int], str] = field(default_factory=dict)
    # Last value of `TasksExpected` that was sent to each link, by the same key.
    expected: dict[tuple[str, int], TasksExpected] = field(default_factory=dict)
    # All asyncio tasks of the term except those that run links.
    other_tasks: set[asyncio.Task] = field(default_factory=set)
    committer: Committer | None = None
    hosts: HostTask | None = None
    # Fencing token of the next backend link, and of the starts that are sent next: the
    # revision of the last write of this term. A start is stored before it is sent, so
    # it has a higher token than all calls that were made before it was stored.
    fencing_token: int = 0
    # Lifetime and latest token of the last link to each backend server.
    last_links_by_backend_id: dict[str, tuple[int, int]] = field(default_factory=dict)
    # Local time of the next planning round.
    plan_due_ms: int = 0
    # Whether the committer is writing a batch. Only one is written at a time.
    committing: bool = False

    @classmethod
    def from_ports(cls, ports: LeaderPorts, term: Term) -> 'Leader':
        """Returns the leader of a new term."""
        scheduler = Scheduler(hold_max_ms=ports.settings.timing.hold_max_ms)
        scheduler.capacity.orders_per_s = ports.settings.host_orders_per_s
        scheduler.max_value_bytes = ports.settings.max_value_bytes
        scheduler.interference.enabled = ports.settings.avoid_interference
        view = View(decode_fact=ports.decode_fact)
        return cls(
            ports=ports,
            term=term,
            scheduler=scheduler,
            view=view,
            fencing_token=term.number,
        )

    async def run(self) -> str:
        """Runs the scheduler until the term ends and returns the reason of its end.

        The state of the scheduler is restored only when the view contains the write
        that began the term, and thus all earlier writes.
        """
        watcher = Watcher(self.ports.new_store(), self.view, pause_ms=LEADER_PAUSE_MS)
        try:
            self._spawn(watcher.run())
            await watcher.wait_for_revision(self.term.revision)
            self._load_scheduler()
            watcher.subscribers.append(self.mailbox)
            self.committer = Committer(
                store=self.ports.new_store(),
                member_id=self.ports.settings.member_id,
                lease_id=self.term.lease_id,
                term=self.term.number,
                revision=self.term.revision,
                report=self.mailbox.send,
                wave_status=self.ports.wave_status,
            )
            self._spawn(self.committer.run())
            self._start_host_task()
            return await self._loop()
        finally:
            for task in [*self.tasks.values(), *self.other_tasks]:
                task.cancel()

    def _spawn(self, coroutine) -> asyncio.Task:
        task = asyncio.create_task(coroutine)
        self.other_tasks.add(task)
        task.add_done_callback(self.other_tasks.discard)
        return task

    def _start_host_task(self) -> None:
        """Starts the host task if the platform has a service for hosts."""
        hosts = self.ports.new_host_client()
        if hosts is None:
            return
        self.hosts = HostTask(
            hosts=hosts,
            fencing_token=self.term.number,
            report=self.mailbox.send,
            valid_until_ms=self.term.orders_valid_until_ms,
            list_wanted=self.scheduler.wants_host_list,
        )
        # Backend servers may have been lost before this term.
        self.hosts.list_soon.set()
        self._spawn(self.hosts.run())

    def _load_scheduler(self) -> None:
        """Restores the state of the scheduler from the view."""
        view, now, unix = self.view, now_ms(), unix_ms()
        if view.configuration is not None:
            self.scheduler.set_configuration(view.configuration)
        self.scheduler.excluded_zones = frozenset(view.excluded_zones)
        self.scheduler.run_times.by_queue.update(view.waiting.run_times_by_queue)
        self.scheduler.forecasts.enabled = self.ports.settings.admission_forecast
        # The shares of the client accounts depend on the order of acceptance.
        for entry in sorted(view.jobs_by_id.values(), key=_accepted_unix_ms):
            self._add_job(entry, now, unix)
        # Ended jobs are deleted from the front of `ended`, which must hold the earliest
        # end.
        self.scheduler.ended = deque(sorted(self.scheduler.ended))
        kept_ms = int(self.ports.settings.timing.status_kept_s * 1000)
        self.scheduler.status_kept_ms = kept_ms + STATUS_MARGIN_MS
        homes = dict(view.borrowed.homes_by_host_id)
        self.scheduler.capacity.homes_by_host_id = homes
        self.scheduler.note_replaced_lifetimes(view.backends_by_id.values())
        for report in view.backends_by_id.values():
            self._set_backend(report, now)
        limits_by_account = self.scheduler.millicores_by_account()
        self.scheduler.capacity.replay_arrivals(limits_by_account, now)
        maintenance = self.scheduler.maintenance
        # The former leader may have sent orders immediately before its term ended, so
        # orders about the same hosts wait for the handover time.
        maintenance.not_before_ms = now + self.ports.settings.timing.duty_handover_ms
        if view.borrowed.orders_recorded:
            recent = view.borrowed.recently_ordered_host_ids
            maintenance.handed_over_host_ids = frozenset(recent)
            self.scheduler.ordered_at_ms_by_host_id = dict.fromkeys(recent, now)
            pending = view.borrowed.pending_maintenance_host_ids
            maintenance.handed_over_maintenance = frozenset(pending)
        for name, wave in view.waves_by_name.items():
            maintenance.set_wave(name, wave, view.wave_records_by_name.get(name), now)

    def _add_job(self, entry: JobEntry, now: int, unix: int) -> None:
        """Adds a stored job; one that cannot be restored does not affect the others."""
        try:
            self.scheduler.add_job(
                entry.job, entry.whole_record(), now, unix, entry.parts_by_number
            )
            if entry.cancelled:
                self.scheduler.cancel_job(entry.job.job_id, unix)
        except Exception as error:
            log_unexpected_error('stored job', error, job_id=entry.job.job_id)
            self.scheduler.forget_job(entry.job.job_id)

    async def _loop(self) -> str:
        """Handles messages and plans until the term ends; returns the reason."""
        stopping = asyncio.create_task(self.ports.stopping.wait())
        self.other_tasks.add(stopping)
        while True:
            for message in await self._receive_messages():
                if isinstance(message, TermEnded):
                    return message.reason
                self._handle(message)
            if stopping.done():
                return 'the process stops'
            if self.scheduler.lost_leadership:
                return 'a backend server has seen a higher fencing token'
            if not self.term.is_valid():
                # Nothing is planned or sent until a renewal makes the term valid again.
                self._write_log_entries()
                continue
            if now_ms() >= self.plan_due_ms:
                self._plan()
            self._reconcile_links()
            self._send_commands(self.scheduler.take_commands())
            self._commit_batch()
            self._write_log_entries()

    def _plan(self) -> None:
        """Runs one planning round and schedules the next after a proportional pause."""
        began = now_ms()
        self.scheduler.plan(now_ms(), unix_ms())
        ended = now_ms()
        self.plan_due_ms = ended + PAUSE_PER_PLANNING_TIME * (ended - began)

    async def _receive_messages(self) -> list:
        """Returns the messages that arrive together, or none after `TICK_MS`.

        Returns earlier if a planning round becomes due.
        """
        wait_ms = TICK_MS
        if self.plan_due_ms > now_ms():
            wait_ms = min(wait_ms, self.plan_due_ms - now_ms())
        try:
            async with asyncio.timeout(seconds(wait_ms)):
                first = await self.mailbox.receive()
        except TimeoutError:
            return []
        await asyncio.sleep(seconds(GROUPING_MS))
        return [first, *self.mailbox.take_all()]

    def _write_log_entries(self) -> None:
        for log_entry in self.scheduler.take_log_entries():
            self.ports.observe(log_entry.event, log_entry.fields)
            log_event(log_entry.event, **log_entry.fields)

    def _handle(self, message: object) -> None:
        match message:
            case (
                HoldAnswered()
                | ContactLost()
                | StartUnanswered()
                | StartFinished()
                | StopFinished()
            ):
                backend = self._backend_lifetime(message)
                if backend is not None:
                    self._handle_link_report(backend, message)
            case AdviceGiven():
                self.scheduler.advice_given(
                    message.request,
                    message.tickets_by_backend_id,
                    message.valid_ms,
                    now_ms(),
                )
            case HostsListed():
                self.scheduler.hosts_listed(message)
            case HostOrderFinished():
                self._handle_host_order_end(message)
            case BatchStored():
                self.committing = False
                self.fencing_token = max(self.fencing_token, message.revision)
                self.scheduler.records_rejected(message.rejected_job_ids, unix_ms())
                self._send_commands(self.scheduler.confirm(message.batch))
                self._acknowledge_ends()
            case Call(message=PlacementQuestion() as question):
                message.answer(self._answer_question(question))
            case _:
                self._handle_view_event(message)

    def _answer_question(self, question: PlacementQuestion) -> PlacementAnswer | None:
        """Returns where a job would be placed; None if that is not known."""
        if not self.term.is_valid():
            return None
        try:
            return _placement_query.answer(
                self.scheduler, question, now_ms(), unix_ms()
            )
        except Exception as error:
            log_unexpected_error('placement query', error)
            return None

    def _handle_host_order_end(self, message: HostOrderFinished) -> None:
        order, outcome = message.order, message.outcome
        log_event(
            Event.HOST_ORDER_FINISHED, host_id=order.host_id, outcome=outcome.value
        )
        self.scheduler.host_order_finished(order, outcome, now_ms())

    def _handle_link_report(self, backend: BackendState, message: object) -> None:
        scheduler = self.scheduler
        match message:
            case HoldAnswered(sent_ms=sent, received_ms=received, report=report):
                scheduler.hold_answered(backend, report, sent, received, unix_ms())
                scheduler.ends_acknowledged(backend, message.acknowledged_end, received)
            case ContactLost(outcome=outcome, lapses_at_ms=lapses_at_ms):
                if self.hosts is not None and backend.reachable:
                    self.hosts.list_soon.set()
                scheduler.contact_lost(
                    backend, outcome, lapses_at_ms, message.lost_at_ms
                )
            case StartUnanswered(task_name=name, run=run, unanswered_ms=tried_ms):
                scheduler.start_unanswered(backend, name, run, tried_ms)
            case StartFinished(task_name=name, run=run, outcome=outcome):
                scheduler.start_finished(
                    backend,
                    name,
                    run,
                    outcome,
                    now_ms(),
                    message.deadline_ms,
                    message.is_later_lifetime,
                    message.unanswered_ms,
                )
            case StopFinished(task_name=name, run=run):
                scheduler.stop_finished(backend, name, run, now_ms())

    def _handle_view_event(self, event: object) -> None:
        scheduler, view = self.scheduler, self.view
        match event:
            case JobStored(job_id):
                entry = view.jobs_by_id.get(job_id)
                if entry is not None:
                    self._add_job(entry, now_ms(), unix_ms())
            case JobCancelled(job_id):
                scheduler.cancel_job(job_id, unix_ms())
            case JobDeleted(job_id):
                scheduler.forget_job(job_id)
            case WaveFact(name, wave):
                record = view.wave_records_by_name.get(name)
                scheduler.maintenance.set_wave(name, wave, record, now_ms())
            case ConfigurationFact(configuration, _):
                scheduler.set_configuration(configuration)
            case ZoneFact():
                scheduler.excluded_zones = frozenset(view.excluded_zones)
            case BackendFact():
                self._handle_backend_fact(event)

    def _handle_backend_fact(self, fact: BackendFact) -> None:
        if fact.report is None:
            self.scheduler.remove_backend(fact.backend_id)
            return
        is_new = fact.backend_id not in self.scheduler.backends_by_id
        if self.hosts is not None and is_new:
            # Only a list from before its loss shows on which host it is.
            self.hosts.list_soon.set()
        self._set_backend(fact.report, now_ms())

    def _set_backend(self, report: BackendReport, now: int) -> None:
        """Adds a backend server; an error in one entry does not affect the others."""
        try:
            self.scheduler.set_backend(report, now)
        except Exception as error:
            log_unexpected_error('entry', error, backend_id=report.backend_id)

    def _backend_lifetime(
        self,
        message: HoldAnswered
        | ContactLost
        | StartUnanswered
        | StartFinished
        | StopFinished,
    ) -> BackendState | None:
        """Returns the backend server whose link sent a message.

        Returns None if the message is about another lifetime of the backend server
        than the current one.
        """
        backend = self.scheduler.backends_by_id.get(message.backend_id)
        if backend is not None and backend.born_ms == message.born_ms:
            return backend
        return None

    def _reconcile_links(self) -> None:
        """Opens and closes links so that they match the known backend servers.

        A link is needed while a lifetime of a backend server is registered or has
        tasks. Each link is also informed whether to expect tasks. It calls an idle
        backend server too while it is open whether an order about its host ends it.
        """
        wanted = {}
        for backend in self.scheduler.backends_by_id.values():
            if backend.report or backend.contested_by or backend.tasks_by_name:
                wanted[backend.backend_id, backend.born_ms] = backend
        for key in list(self.links):
            known = wanted.get(key)
            # A lifetime may have been called at the address of another one's entry.
            if known is None or known.address != self.addresses[key]:
                self._close_link(key)
        for key, backend in wanted.items():
            if key not in self.links and backend.address and self._has_new_token(key):
                self._open_link(key, backend.address)
            link = self.links.get(key)
            expected = TasksExpected(
                expected=bool(backend.tasks_by_name or backend.ending),
                report_soon=bool(backend.isolated_tasks or backend.contested_by),
            )
            if link is not None and self.expected.get(key, NOT_EXPECTED) != expected:
                self.expected[key] = expected
                link.inbox.send(expected)

    def _has_new_token(self, key: tuple[str, int]) -> bool:
        """Whether a link would have a higher token than those to earlier lifetimes.

        Otherwise, a write is made, after which it has. The calls of the earlier link
        may have been holds only, which need no write.
        """
        born_ms, token = self.last_links_by_backend_id.get(key[0], (key[1], 0))
        if born_ms == key[1] or self.fencing_token > token:
            return True
        if not self.committing and self.committer is not None:
            self.committing = True
            self.committer.inbox.send(Batch({}, [], []))
        return False

    def _open_link(self, key: tuple[str, int], address: str) -> None:
        """Opens a link to a lifetime of a backend server.

        A call without an answer may be carried out late, by a later lifetime too, which
        knows no fencing token yet. Once it has accepted a call of its own link, it
        rejects those of former links.
        """
        link = BackendLink(
            client=self.ports.new_backend_client(address, key[0], self.fencing_token),
            backend_id=key[0],
            born_ms=key[1],
            hold_max_ms=self.ports.settings.timing.hold_max_ms,
            report=self.mailbox.send,
            may_order=self.term.is_valid,
            may_hold=self.term.may_hold,
            fencing_token=self.fencing_token,
        )
        self.links[key] = link
        self.last_links_by_backend_id[key[0]] = key[1], self.fencing_token
        self.addresses[key] = address
        self.tasks[key] = asyncio.create_task(link.run())

    def _close_link(self, key: tuple[str, int]) -> None:
        del self.links[key], self.addresses[key]
        self.expected.pop(key, None)
        self.tasks.pop(key).cancel()

    def _send_commands(self, commands: list[Command]) -> None:
        for command in commands:
            if isinstance(command, AskAdvice):
                self._spawn(self._request_advice(command))
                continue
            if isinstance(command, HostOrder):
                if self.hosts is not None:
                    self.scheduler.host_order_sent(command, now_ms())
                    self.hosts.inbox.send(command)
                continue
            key = command.backend_id, command.born_ms
            link = self.links.get(key)
            if link is None:
                continue
            if isinstance(command, StartTask):
                command = replace(command, fencing_token=self.fencing_token)
                self.last_links_by_backend_id[key[0]] = key[1], self.fencing_token
            link.inbox.send(command)

    async def _request_advice(self, request: AskAdvice) -> None:
        advice = AdviceGiven(request=request, tickets_by_backend_id={}, valid_ms=0)
        try:
            advice = (await self.ports.ask_advice(request)).unwrap_or(advice)
        except Exception as error:
            log_unexpected_error('advice', error, step=request.step_key)
        # Without an answer, the step would never ask again.
        self.mailbox.send(advice)

    def _commit_batch(self) -> None:
        """Passes the next batch to the committer unless one is being written."""
        if self.committing or self.committer is None:
            return
        batch = self.scheduler.take_batch(MAX_RECORDS, unix_ms())
        if batch.is_empty():
            return
        if not batch.has_writes():
            # Ends of runs that change no record are confirmed without a write.
            self._send_commands(self.scheduler.confirm(batch))
            self._acknowledge_ends()
            return
        self.committing = True
        self.committer.inbox.send(batch)

    def _acknowledge_ends(self) -> None:
        """Sends each link the number of the last end that is stored, if it is new."""
        for key, link in self.links.items():
            backend = self.scheduler.backends_by_id.get(key[0])
            if backend is None or backend.born_ms != key[1]:
                continue
            if backend.stored_end > backend.acknowledged_end:
                backend.acknowledged_end = backend.stored_end
                link.inbox.send(EndsStored(number=backend.stored_end))


def _accepted_unix_ms(entry: JobEntry) -> int:
    """Returns when a stored job was accepted, or 0 if its record is malformed."""
    accepted = entry.job.accepted_unix_ms
    return accepted if isinstance(accepted, int) else 0
