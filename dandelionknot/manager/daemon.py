"""Puts the tasks of a manager process together and runs them."""

import asyncio
import signal
from pathlib import Path

from result import Err

from dandelionknot.clock import now_ms, seconds
from dandelionknot.events import Event, log_event, set_up_logging
from dandelionknot.exit_status import ExitStatus
from dandelionknot.manager._gate import Gate
from dandelionknot.manager._lead import Leader, LeaderPorts
from dandelionknot.manager._leadership import LEASE_MS, Leadership, Term
from dandelionknot.manager._view import View
from dandelionknot.manager._watch import Watcher
from dandelionknot.manager.settings import ManagerSettings, load_manager_settings
from dandelionknot.platform import (
    CONFIGURATION_KEY,
    CallerPort,
    CallerServer,
    PlatformAdapter,
    ReadinessServer,
    wave_status,
)

# Calls in progress are finished until so long before the process is killed.
STOP_MARGIN_MS = 1200
# The balancer needs two health checks, a second apart, to notice a stop.
BALANCER_NOTICE_MS = 2200
POLL_MS = 50
STANDARD_OUTPUT = 1


class Manager:
    """One manager process."""

    __slots__ = (
        'adapter',
        'callers',
        'gate',
        'leadership',
        'readiness',
        'settings',
        'stopping',
        'tasks',
        'view',
        'watcher',
    )

    def __init__(self, settings: ManagerSettings):
        self.settings = settings
        self.adapter = PlatformAdapter.from_settings(settings)
        self.view = View(meaning=self.adapter.meaning)
        self.stopping = asyncio.Event()
        self.gate = Gate(
            settings, self.adapter.new_store(), self.view, CONFIGURATION_KEY
        )
        self.leadership = Leadership(
            store=self.adapter.new_store(),
            view=self.view,
            member_id=settings.member_id,
            lease_ms=max(LEASE_MS, settings.min_lease_ms),
            lead=self._lead,
            eligible=self._eligible,
        )
        self.watcher = Watcher(
            self.adapter.new_store(), self.view, leading=self.leadership.leading
        )
        self.callers = CallerServer(
            CallerPort(
                locate=self.gate.locate,
                submit=self.gate.submit,
                state=self.gate.state,
                cancel=self.gate.cancel,
                waiting=self.gate.waiting,
                closing=self.stopping.is_set,
            )
        )
        self.readiness = ReadinessServer(self.gate.ready)
        self.tasks: list[asyncio.Task] = []

    def _eligible(self) -> bool:
        """Whether this process may lead: it is not stopping and knows the store."""
        return not self.stopping.is_set() and self.gate.ready()

    async def _lead(self, term: Term) -> str:
        ports = LeaderPorts(
            store=self.adapter.new_store(),
            view=self.view,
            settings=self.settings,
            new_orders=self.adapter.new_orders,
            reached=self.watcher.reached,
            subscribe=self.watcher.subscribers.append,
            unsubscribe=self.watcher.subscribers.remove,
            new_hosts=self.adapter.new_hosts,
            wave_status=wave_status,
            ask_advice=self.adapter.ask_advice,
            stopping=self.stopping,
        )
        return await Leader.from_ports(ports, term).run()

    def start(self) -> None:
        """Listens and starts the tasks."""
        self.callers.listen(self.settings.caller_address)
        self.readiness.listen(self.settings.readiness_address)
        self.tasks = [
            asyncio.create_task(self.watcher.run()),
            asyncio.create_task(self.leadership.run()),
        ]
        log_event(
            Event.MANAGER_STARTED,
            member_id=self.settings.member_id,
            availability_zone=self.settings.availability_zone,
        )

    async def stop(self) -> None:
        """Stops gracefully: hands over, finishes calls, then closes.

        The process keeps serving until the balancer has noticed that it is not
        ready, since new connections arrive until then.
        """
        self.gate.stopping = True
        self.stopping.set()
        began = now_ms()
        log_event(Event.MANAGER_STOPPING, calls=self.callers.calls_in_progress)
        limit = self.settings.timing.grace_s * 1000 - STOP_MARGIN_MS
        while now_ms() - began < limit:
            noticed = now_ms() - began >= BALANCER_NOTICE_MS
            if noticed and not self.callers.calls_in_progress:
                break
            await asyncio.sleep(seconds(POLL_MS))
        await self.callers.stop()
        await self.callers.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        log_event(Event.MANAGER_STOPPED, took_ms=now_ms() - began)


def run_manager(settings_path: Path) -> ExitStatus:
    """Runs a manager process until it is told to stop."""
    loaded = load_manager_settings(settings_path)
    if isinstance(loaded, Err):
        log_event(Event.SETTINGS_REFUSED, problem=str(loaded.err_value))
        return ExitStatus.INVALID_INPUT
    set_up_logging(loaded.ok_value.log_level, STANDARD_OUTPUT)
    return asyncio.run(_run(loaded.ok_value, settings_path))


async def _run(settings: ManagerSettings, path: Path) -> ExitStatus:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _settings_changed, path)
    manager = Manager(settings)
    manager.start()
    waiting = asyncio.create_task(stop_requested.wait())
    await asyncio.wait({waiting, *manager.tasks}, return_when=asyncio.FIRST_COMPLETED)
    if stop_requested.is_set():
        await manager.stop()
        return ExitStatus.SUCCESS
    for task in manager.tasks:
        if task.done() and task.exception() is not None:
            log_event(Event.TASK_ENDED_UNEXPECTEDLY, problem=repr(task.exception()))
    return ExitStatus.ERROR


def _settings_changed(path: Path) -> None:
    """Checks changed settings; they are in force from the next start on."""
    loaded = load_manager_settings(path)
    if isinstance(loaded, Err):
        log_event(Event.SETTINGS_REFUSED, problem=str(loaded.err_value))
    else:
        log_event(Event.MANAGER_SETTINGS_READ, path=str(path))
