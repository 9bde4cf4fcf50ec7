"""An entry host: its tasks, started and stopped together."""

import asyncio
import contextlib
from collections.abc import Awaitable
from dataclasses import dataclass

from result import Err
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpserver import HTTPServer
from websockets.asyncio.server import Server

from dandelionknot._caller_server import start_caller_server
from dandelionknot._dispatcher import run_dispatcher, run_ticks
from dandelionknot._http_client import http_target, new_http_client
from dandelionknot._links import run_links
from dandelionknot._mailbox import Mailbox
from dandelionknot._peers import run_peer_links, start_peer_server
from dandelionknot._platform_http import http_platform_port
from dandelionknot._platform_sync import (
    new_incarnation,
    run_membership,
    run_reader,
    run_writer,
)
from dandelionknot._state import DispatcherState, Outboxes
from dandelionknot.clock import now_ms, seconds
from dandelionknot.context import Context
from dandelionknot.events import Event, log_event
from dandelionknot.messages import (
    Member,
    ReadinessCheck,
    StopService,
    WaitUntilIdle,
)
from dandelionknot.settings import EntrySettings

MAILBOX_CAPACITY = 1000
PLATFORM_CONNECTIONS = 8
# Peers matter for freshness only while the platform gives no answer.
QUIET_PING_FACTOR = 2
PLATFORM_QUIET_MS = 2500


@dataclass(slots=True)
class Entry:
    """A running entry host."""

    context: Context
    state: DispatcherState
    mailbox: Mailbox
    caller_server: HTTPServer
    peer_server: Server
    tasks: list[asyncio.Task]
    membership_task: asyncio.Task
    clients: list[CurlAsyncHTTPClient]

    async def is_ready(self) -> bool:
        """Tells whether callers should be sent here."""
        reply = await self.mailbox.ask(ReadinessCheck())
        return not isinstance(reply, Err) and bool(reply.ok_value)

    async def wait_until_broken(self) -> None:
        """Returns when a task ends by itself, which breaks an invariant."""
        done, _ = await asyncio.wait(self.tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if not task.cancelled() and task.exception() is not None:
                problem = repr(task.exception())
                log_event(Event.TASK_ENDED_UNEXPECTEDLY, problem=problem)

    async def stop(self) -> None:
        """Stops gracefully: finishes what runs, answers, then leaves the fleet."""
        log_event(Event.ENTRY_STOPPING, member_id=self.state.member_id)
        await self.mailbox.deliver(StopService(reason='stopped'))
        idle = self.mailbox.ask(WaitUntilIdle())
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                idle, seconds(self.context.settings.drain_timeout_ms)
            )
        await self.state.outboxes.membership.deliver(StopService(reason='stopped'))
        await asyncio.wait(
            [self.membership_task],
            timeout=seconds(self.context.settings.read_timeout_ms),
        )
        await self.kill()
        log_event(Event.ENTRY_STOPPED, member_id=self.state.member_id)

    async def kill(self) -> None:
        """Ends all tasks at once, as a crash would, and closes the sockets."""
        self.caller_server.stop()
        self.peer_server.close()
        for task in [*self.tasks, self.membership_task]:
            task.cancel()
        await asyncio.gather(*self.tasks, self.membership_task, return_exceptions=True)
        await self.caller_server.close_all_connections()
        for client in self.clients:
            client.close()


def _member_record(settings: EntrySettings, incarnation: str) -> Member:
    return Member(
        member_id=settings.member_id,
        incarnation=incarnation,
        availability_zone=settings.availability_zone,
        peer_address=settings.advertised_peer_address or settings.peer_address,
        confirmed_version=0,
    )


async def start_entry(settings: EntrySettings) -> Entry:
    """Starts the tasks of an entry host and returns at once.

    It is ready for callers once it has read the configuration and its own
    record is on the platform.
    """
    context = Context.from_settings(settings)
    dispatcher: Mailbox = Mailbox(settings.max_requests * 2)
    outboxes = Outboxes(
        writer=Mailbox(MAILBOX_CAPACITY),
        peers=Mailbox(settings.max_requests),
        membership=Mailbox(MAILBOX_CAPACITY),
        links=Mailbox(settings.max_requests * 2),
    )
    incarnation = new_incarnation()
    state = DispatcherState(context, incarnation, outboxes)
    platform_client = new_http_client(PLATFORM_CONNECTIONS)
    backend_client = new_http_client(settings.backend_connections)
    platform = http_platform_port(
        http_target(settings, platform_client, settings.platform_address)
    )
    peer_server = await start_peer_server(settings, dispatcher, context.metrics.count)
    caller_server = start_caller_server(settings, dispatcher)

    def ping_ms() -> tuple[int, int]:
        read_ms = state.platform_read_sent_ms
        is_read = read_ms is not None and now_ms() - read_ms <= PLATFORM_QUIET_MS
        interval_ms = settings.peer_ping_interval_ms
        if is_read:
            interval_ms *= QUIET_PING_FACTOR
        return interval_ms, state.configuration.version

    work: list[Awaitable[None]] = [
        run_dispatcher(state, dispatcher),
        run_ticks(dispatcher),
        run_reader(
            platform, dispatcher, settings.platform_read_interval_ms, context.random
        ),
        run_writer(platform, outboxes.writer),
        run_links(context, outboxes.links, dispatcher, backend_client),
        run_peer_links(
            settings, outboxes.peers, dispatcher, ping_ms, context.metrics.count
        ),
    ]
    tasks = [asyncio.ensure_future(each) for each in work]
    membership_task = asyncio.create_task(
        run_membership(
            platform,
            outboxes.membership,
            dispatcher,
            _member_record(settings, incarnation),
            settings.member_lease_ms,
        )
    )
    log_event(Event.ENTRY_STARTED, member_id=settings.member_id)
    return Entry(
        context=context,
        state=state,
        mailbox=dispatcher,
        caller_server=caller_server,
        peer_server=peer_server,
        tasks=tasks,
        membership_task=membership_task,
        clients=[platform_client, backend_client],
    )
