"""The tasks of a manager process, without its HTTP servers."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol

from result import Result

from dandelionknot._mailbox import Mailbox
from dandelionknot.events import Event
from dandelionknot.jobs._generated import AskAdvice, ManagerSettings
from dandelionknot.jobs._stored import FLEET_PREFIX, Fact
from dandelionknot.manager._call_handler import CallHandler
from dandelionknot.manager._leader import Leader, LeaderPorts
from dandelionknot.manager._leadership import LEASE_MS, Leadership, Term
from dandelionknot.manager._ports import BackendClient, HostClient
from dandelionknot.manager._view import View
from dandelionknot.manager._watch import Watcher
from dandelionknot.store import Item, Put, Store


class Adapter(Protocol):
    """Clients of the services that a manager uses, and decoding of their items."""

    # Prefix of the keys that operators write; the configuration key has it too.
    operator_prefix: str
    configuration_key: str

    def new_store(self) -> Store:
        """Returns a client of the store with connections of its own."""

    def new_backend_client(
        self, address: str, backend_id: str, token: int
    ) -> BackendClient:
        """Returns a client of one lifetime of a backend server."""

    def new_host_client(self) -> HostClient | None:
        """Returns a client for calls about hosts, or None without such a service."""

    def decode_fact(self, item: Item) -> Fact | None:
        """Decodes an item that operators or backend servers have written."""

    def wave_status(self, number: int, done: bool) -> Put:
        """Returns the item that shows operators the state of a wave."""

    async def ask_advice(self, request: AskAdvice) -> Result:
        """Asks which backend servers may run a step."""


class ManagerCore:
    """View, call handler and leadership of one process."""

    __slots__ = (
        'adapter',
        'call_handler',
        'leader',
        'leadership',
        'observe',
        'settings',
        'stopping',
        'tasks',
        'view',
        'watchers',
    )

    def __init__(
        self,
        settings: ManagerSettings,
        adapter: Adapter,
        observe: Callable[[Event, dict[str, Any]], None] = lambda event, fields: None,
    ):
        self.observe = observe
        self.settings = settings
        self.adapter = adapter
        self.view = View(decode_fact=adapter.decode_fact)
        self.stopping = asyncio.Event()
        self.call_handler = CallHandler(
            settings, adapter.new_store(), self.view, adapter.configuration_key, observe
        )
        self.leadership = Leadership(
            store=adapter.new_store(),
            view=self.view,
            member_id=settings.member_id,
            lease_ms=max(LEASE_MS, settings.min_lease_ms),
            lead=self._lead,
            is_eligible=self._is_eligible,
            cores=settings.processor_share * settings.processor_speed,
            query_address=settings.metrics_address,
        )
        self.leader: Leader | None = None
        self.watchers = [
            Watcher(adapter.new_store(), self.view, adapter.operator_prefix),
            Watcher(adapter.new_store(), self.view, FLEET_PREFIX, sets_view_age=False),
        ]
        self.tasks: list[asyncio.Task] = []

    def _is_eligible(self) -> bool:
        """Whether this process may become leader: not stopping, and ready."""
        return not self.stopping.is_set() and self.call_handler.ready()

    async def _lead(self, term: Term) -> str:
        """Runs the leader for a term; returns why the term ended."""
        ports = LeaderPorts(
            new_store=self.adapter.new_store,
            decode_fact=self.adapter.decode_fact,
            settings=self.settings,
            new_backend_client=self.adapter.new_backend_client,
            new_host_client=self.adapter.new_host_client,
            wave_status=self.adapter.wave_status,
            ask_advice=self.adapter.ask_advice,
            stopping=self.stopping,
            observe=self.observe,
        )
        self.leader = Leader.from_ports(ports, term)
        try:
            return await self.leader.run()
        finally:
            self.leader = None

    def leader_mailbox(self) -> Mailbox | None:
        """Returns the mailbox of the task that owns the scheduler, while there is one.

        A term whose lease has not been renewed does not count.
        """
        if self.leader is None or not self.leadership.leading():
            return None
        return self.leader.mailbox

    def start(self) -> None:
        """Starts the watchers and the leadership task."""
        self.tasks = [
            *(asyncio.create_task(watcher.run()) for watcher in self.watchers),
            asyncio.create_task(self.leadership.run()),
        ]

    def begin_stop(self) -> None:
        """Ends the term of this process, if any; from now on, it reports not ready."""
        self.call_handler.stopping = True
        self.stopping.set()

    async def end(self) -> None:
        """Cancels the tasks and waits for their end."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
