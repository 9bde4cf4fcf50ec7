"""Assembles the tasks and servers of a manager process and runs them."""

import asyncio
import signal
from pathlib import Path

from result import Err

from dandelionknot._http_server import sweep
from dandelionknot._request_limits import RequestTable
from dandelionknot.clock import now_ms, seconds
from dandelionknot.events import Event, log_event, set_up_logging
from dandelionknot.exit_status import ExitStatus
from dandelionknot.manager._core import ManagerCore
from dandelionknot.manager._limits import add_ports, request_limits
from dandelionknot.manager._metrics import ManagerMetrics, MetricsServer
from dandelionknot.manager._queries import PlacementQueries
from dandelionknot.manager.settings import ManagerSettings, load_manager_settings
from dandelionknot.platform import (
    CallerPort,
    CallerServer,
    PlatformAdapter,
    ReadinessServer,
    decode_job_spec,
)

# A stop waits for calls in progress until this long before the process is killed.
STOP_MARGIN_MS = 1200
# Time for which a stopping process keeps serving. The balancer needs two failed health
# checks, one second apart, to stop sending connections.
BALANCER_NOTICE_MS = 2200
# Pause between checks whether calls are still in progress.
POLL_MS = 50
# File descriptor to which log lines are written.
STANDARD_OUTPUT = 1


class Manager:
    """One manager process: its tasks and its HTTP servers."""

    __slots__ = (
        'callers',
        'core',
        'metrics',
        'metrics_server',
        'readiness',
        'requests',
        'settings',
    )

    def __init__(self, settings: ManagerSettings):
        self.settings = settings
        self.metrics = ManagerMetrics()
        adapter = PlatformAdapter.from_settings(settings)
        self.core = ManagerCore(settings, adapter, self.metrics.observe)
        self.requests = RequestTable(request_limits(settings.limits))
        ports = add_ports(self.requests, settings.limits)
        call_handler = self.core.call_handler
        queries = PlacementQueries(
            settings.member_id,
            self.core.view,
            call_handler.age_ms,
            self.core.leader_mailbox,
            decode_job_spec,
        )
        self.metrics_server = MetricsServer(
            self.metrics,
            self._update_gauges,
            self.requests,
            ports.metrics,
            queries.answer,
        )
        self.callers = CallerServer(
            CallerPort(
                find_queue=call_handler.find_queue,
                submit=call_handler.submit,
                state=call_handler.state,
                cancel=call_handler.cancel,
                waiting=call_handler.waiting,
                is_stopping=self.core.stopping.is_set,
            ),
            self.requests,
            ports.callers,
        )
        self.readiness = ReadinessServer(
            call_handler.ready, self.requests, ports.readiness
        )

    def _update_gauges(self) -> None:
        leading = self.core.leadership.leading()
        self.metrics.leading.set(leading)
        if not leading:
            self.metrics.forget_decisions_of_leader()
        self.metrics.view_age.set(seconds(self.core.call_handler.age_ms()))
        self.metrics.request_bytes.set(self.requests.charged_bytes)
        for port in self.requests.ports:
            connections = len(port.connections)
            self.metrics.client_connections.labels(port.name).set(connections)

    def start(self) -> None:
        """Starts the servers and the tasks."""
        self.callers.listen(self.settings.caller_address)
        self.readiness.listen(self.settings.readiness_address)
        if self.settings.metrics_address:
            self.metrics_server.listen(self.settings.metrics_address)
        self.core.start()
        self.core.tasks.append(
            asyncio.create_task(sweep(self.requests, self.metrics.observe))
        )
        log_event(
            Event.MANAGER_STARTED,
            availability_zone=self.settings.availability_zone,
        )

    async def stop(self) -> None:
        """Ends leadership, waits for calls in progress, then closes connections.

        The process keeps serving until the balancer has noticed that it is not
        ready, since new connections arrive until then.
        """
        self.core.begin_stop()
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
        await self.core.end()
        log_event(Event.MANAGER_STOPPED, took_ms=now_ms() - began)


def run_manager(settings_path: Path) -> ExitStatus:
    """Runs a manager process until SIGTERM or SIGINT; returns its exit status."""
    loaded = load_manager_settings(settings_path)
    if isinstance(loaded, Err):
        set_up_logging('INFO', STANDARD_OUTPUT)
        log_event(Event.SETTINGS_REFUSED, problem=str(loaded.err_value))
        return ExitStatus.INVALID_INPUT
    settings = loaded.ok_value
    set_up_logging(settings.log_level, STANDARD_OUTPUT, settings.member_id)
    return asyncio.run(_run(settings, settings_path))


async def _run(settings: ManagerSettings, path: Path) -> ExitStatus:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _settings_changed, path)
    manager = Manager(settings)
    manager.start()
    waiting = asyncio.create_task(stop_requested.wait())
    await asyncio.wait(
        {waiting, *manager.core.tasks}, return_when=asyncio.FIRST_COMPLETED
    )
    if stop_requested.is_set():
        await manager.stop()
        return ExitStatus.SUCCESS
    for task in manager.core.tasks:
        if task.done() and task.exception() is not None:
            log_event(Event.TASK_ENDED_UNEXPECTEDLY, problem=repr(task.exception()))
    return ExitStatus.ERROR


def _settings_changed(path: Path) -> None:
    """Checks the settings file on SIGHUP; changes apply after the next start."""
    loaded = load_manager_settings(path)
    if isinstance(loaded, Err):
        log_event(Event.SETTINGS_REFUSED, problem=str(loaded.err_value))
    else:
        log_event(Event.MANAGER_SETTINGS_READ, path=str(path))
