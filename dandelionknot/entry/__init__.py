"""Starts and stops the tasks and servers of an entry host."""

import asyncio
import contextlib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from result import Err, Result
from tornado.httpserver import HTTPServer
from websockets.asyncio.server import Server

from dandelionknot import decisions
from dandelionknot._http_client import HttpClient, http_target, new_http_client
from dandelionknot._http_server import sweep
from dandelionknot._mailbox import Mailbox
from dandelionknot.clock import now_ms, seconds
from dandelionknot.configuration import Configuration
from dandelionknot.context import Context
from dandelionknot.entry._caller_server import start_caller_server
from dandelionknot.entry._changes import run_changes
from dandelionknot.entry._client_limits import EntryPorts
from dandelionknot.entry._dispatcher import run_dispatcher, run_ticks
from dandelionknot.entry._host_health import fleet_health
from dandelionknot.entry._links import run_links
from dandelionknot.entry._operator_server import start_operator_server
from dandelionknot.entry._peers import (
    PeerIdentity,
    PingPlan,
    run_peer_links,
    start_peer_server,
)
from dandelionknot.entry._platform_http import http_platform_port
from dandelionknot.entry._platform_sync import (
    new_incarnation,
    run_membership,
    run_reader,
    run_writer,
)
from dandelionknot.entry._state import DispatcherState, Outboxes
from dandelionknot.events import Event, log_event
from dandelionknot.messages import (
    Member,
    ReadinessCheck,
    StopService,
    WaitUntilIdle,
    WaitUntilReleased,
)
from dandelionknot.metrics import Counter
from dandelionknot.operators import EditDecisions
from dandelionknot.ports import PlatformPort
from dandelionknot.settings import EntrySettings

MAILBOX_CAPACITY = 1000
# Number of digits of the incarnation that are appended to the member id.
INCARNATION_DIGITS = 8
# Limits how long a stopping entry host waits until its slices and grants are
# handed over.
RELEASE_TIMEOUT_MS = 3000
PLATFORM_CONNECTIONS = 8
# Multiplies the ping interval while the platform answers: answers of peers are
# needed for freshness only while it does not. Even at the longer interval, the
# answers of a full round of pings are younger than the freshness bound.
REDUCED_PING_FACTOR = 2
# Added to two read intervals before the platform counts as not answering.
PLATFORM_ANSWER_MARGIN_MS = 500

TaskCoroutine = Coroutine[Any, Any, None]


@dataclass(slots=True)
class Entry:
    """A running entry host."""

    context: Context
    state: DispatcherState
    mailbox: Mailbox
    servers: list[HTTPServer]
    peer_server: Server
    tasks: list[asyncio.Task]
    membership_task: asyncio.Task
    clients: list[HttpClient]

    async def is_ready(self) -> bool:
        """Returns whether callers should be sent to this entry host."""
        reply = await self.mailbox.ask(ReadinessCheck())
        return not isinstance(reply, Err) and bool(reply.ok_value)

    async def wait_until_failed(self) -> None:
        """Returns once a task has ended, which must not happen while the host runs."""
        done, _ = await asyncio.wait(self.tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if not task.cancelled() and task.exception() is not None:
                problem = repr(task.exception())
                log_event(Event.TASK_ENDED_UNEXPECTEDLY, problem=problem)

    async def stop(self) -> None:
        """Stops gracefully.

        Waits for open requests within the drain time-out, hands over slices and
        grants, deletes the membership record and then ends all tasks.
        """
        log_event(Event.ENTRY_STOPPING, member_id=self.state.member_id)
        await self.mailbox.deliver(StopService(reason='stopped'))
        idle = self.mailbox.ask(WaitUntilIdle())
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                idle, seconds(self.context.settings.drain_timeout_ms)
            )
        await self._wait_until_released()
        await self.state.outboxes.membership.deliver(StopService(reason='stopped'))
        await asyncio.wait(
            [self.membership_task],
            timeout=seconds(self.context.settings.read_timeout_ms),
        )
        await self.kill()
        log_event(Event.ENTRY_STOPPED, member_id=self.state.member_id)

    async def _wait_until_released(self) -> None:
        """Waits until this member has no slices and grants, or `RELEASE_TIMEOUT_MS`."""
        with contextlib.suppress(TimeoutError):
            reply = self.mailbox.ask(WaitUntilReleased())
            await asyncio.wait_for(reply, seconds(RELEASE_TIMEOUT_MS))

    async def kill(self) -> None:
        """Ends all tasks at once, as a crash would, and closes the sockets."""
        for server in self.servers:
            server.stop()
        self.peer_server.close()
        for task in [*self.tasks, self.membership_task]:
            task.cancel()
        await asyncio.gather(*self.tasks, self.membership_task, return_exceptions=True)
        for server in self.servers:
            await server.close_all_connections()
        for client in self.clients:
            client.close()


def _member_record(settings: EntrySettings, member_id: str, incarnation: str) -> Member:
    return Member(
        member_id=member_id,
        incarnation=incarnation,
        availability_zone=settings.availability_zone,
        peer_address=settings.advertised_peer_address or settings.peer_address,
        confirmed_version=0,
    )


def _ping_planner(state: DispatcherState) -> Callable[[], PingPlan]:
    """Returns a function that returns the interval and the content of pings."""
    settings = state.context.settings
    # A watch call without changes is answered one interval after it was sent, and
    # the answer to the next one comes one interval later. So while the platform
    # answers, the last answered call was sent up to two intervals ago.
    max_answer_age_ms = (
        2 * settings.platform_read_interval_ms + PLATFORM_ANSWER_MARGIN_MS
    )

    def plan() -> PingPlan:
        read = state.freshness.platform_read
        platform_answers = (
            read is not None and now_ms() - read.question_sent_ms <= max_answer_age_ms
        )
        interval_ms = settings.peer_ping_interval_ms
        return PingPlan(
            interval_ms * (REDUCED_PING_FACTOR if platform_answers else 1),
            state.configuration.version,
        )

    return plan


def _new_state(
    context: Context, dispatcher: Mailbox, member_id: str, incarnation: str
) -> DispatcherState:
    settings = context.settings
    capacity = settings.max_requests
    outboxes = Outboxes(
        writer=Mailbox(MAILBOX_CAPACITY),
        peers=Mailbox(capacity),
        membership=Mailbox(MAILBOX_CAPACITY),
        links=Mailbox(capacity * 2),
        changes=Mailbox(MAILBOX_CAPACITY),
        inbox=dispatcher,
    )
    return DispatcherState(
        context=context,
        member_id=member_id,
        outboxes=outboxes,
        freshness=decisions.freshness.FreshnessState(member_id=member_id),
        claims=decisions.claims.ClaimTable(
            member_id=member_id,
            incarnation=incarnation,
            bounds=Configuration(version=0).bounds,
            flush_interval_ms=settings.claim_flush_ms,
        ),
        work=decisions.work.WorkState(flush_interval_ms=settings.work_flush_ms),
    )


def _edit_decisions(state: DispatcherState) -> EditDecisions:
    """Returns the functions that check operators' edits against the fleet's state."""

    def begin_move(
        configuration: Configuration, host_id: str, to_pool: str
    ) -> Result[Configuration, Any]:
        allowed = decisions.budgets.may_stop(
            configuration, fleet_health(state), host_id
        )
        if isinstance(allowed, Err):
            return allowed
        return decisions.pools.begin_move(configuration, host_id, to_pool)

    def may_drain(configuration: Configuration, host_id: str) -> Result[None, Any]:
        return decisions.budgets.may_stop(configuration, fleet_health(state), host_id)

    def may_take_zone_out(
        configuration: Configuration, zone_id: str
    ) -> Result[None, Any]:
        health = fleet_health(state)
        return decisions.zones.check_exit(configuration, health, zone_id)

    return EditDecisions(
        begin_move=begin_move,
        cancel_move=decisions.pools.cancel_move,
        propose_limit=decisions.votes.propose_limit,
        propose_voters=decisions.votes.propose_voters,
        cast_vote=decisions.votes.cast_vote,
        may_drain=may_drain,
        may_take_zone_out=may_take_zone_out,
    )


async def start_entry(settings: EntrySettings) -> Entry:
    """Starts the servers and tasks of an entry host, without waiting for readiness.

    The entry host is ready for callers once it has read the configuration, its
    membership record is on the platform and it has the slice map, which names the
    owners of request ids. Each lifetime of the process gets a member id of its
    own, since slices and grants of an earlier lifetime may still be in use.
    """
    context = Context.from_settings(settings)
    dispatcher: Mailbox = Mailbox(settings.max_requests * 2)
    incarnation = new_incarnation()
    member_id = f'{settings.member_id}.{incarnation[:INCARNATION_DIGITS]}'
    state = _new_state(context, dispatcher, member_id, incarnation)
    platform_client = new_http_client(PLATFORM_CONNECTIONS)
    backend_client = new_http_client(settings.backend_connections)
    platform = http_platform_port(
        http_target(settings, platform_client, settings.platform_address)
    )
    identity = PeerIdentity.from_settings(settings, member_id)
    peer_server = await start_peer_server(
        settings.peer_address, identity, dispatcher, context.metrics.count
    )
    ports = EntryPorts.from_settings(settings)
    servers: list[HTTPServer] = [
        start_caller_server(settings, dispatcher, ports),
        start_operator_server(settings, dispatcher, state.outboxes.changes, ports),
    ]
    coroutines = [
        run_dispatcher(state, dispatcher),
        run_ticks(dispatcher),
        sweep(
            ports.table,
            lambda event, fields: context.metrics.count(Counter.CLIENTS_LIMITED),
        ),
        *_platform_coroutines(state, dispatcher, platform),
        *_link_coroutines(state, dispatcher, identity, backend_client),
    ]
    record = _member_record(settings, member_id, incarnation)
    membership = run_membership(
        platform,
        state.outboxes.membership,
        dispatcher,
        record,
        settings.member_lease_ms,
    )
    log_event(Event.ENTRY_STARTED, member_id=member_id)
    return Entry(
        context=context,
        state=state,
        mailbox=dispatcher,
        servers=servers,
        peer_server=peer_server,
        tasks=[asyncio.create_task(each) for each in coroutines],
        membership_task=asyncio.create_task(membership),
        clients=[platform_client, backend_client],
    )


def _platform_coroutines(
    state: DispatcherState, dispatcher: Mailbox, platform: PlatformPort
) -> list[TaskCoroutine]:
    """Returns the coroutines that read and write the platform, except membership."""
    context = state.context
    outboxes = state.outboxes
    interval_ms = context.settings.platform_read_interval_ms
    return [
        run_reader(platform, dispatcher, interval_ms, context.random),
        run_writer(platform, outboxes.writer, dispatcher),
        run_changes(platform, outboxes.changes, dispatcher, _edit_decisions(state)),
    ]


def _link_coroutines(
    state: DispatcherState,
    dispatcher: Mailbox,
    identity: PeerIdentity,
    backend_client: HttpClient,
) -> list[TaskCoroutine]:
    """Returns the coroutines that run the links to backend servers and peers."""
    context = state.context
    outboxes = state.outboxes
    count = context.metrics.count
    return [
        run_links(context, outboxes.links, dispatcher, backend_client),
        run_peer_links(
            identity, outboxes.peers, dispatcher, _ping_planner(state), count
        ),
    ]
