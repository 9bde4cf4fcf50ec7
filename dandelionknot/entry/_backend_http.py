"""HTTP adapter of the backend server port."""

from urllib.parse import quote

from result import Result

from dandelionknot._http_client import HttpTarget, call
from dandelionknot.messages import (
    LeaseRenewal,
    LeaseReport,
    TaskReport,
    TaskStart,
    UsageReport,
)
from dandelionknot.ports import BackendPort, PortError


def _task_path(task_id: str, action: str = '') -> str:
    return f'/v1/tasks/{quote(task_id)}{action}'


def http_backend_port(target: HttpTarget) -> BackendPort:
    """Returns the port to the backend server at the target's address."""

    async def start(task: TaskStart) -> Result[TaskReport, PortError]:
        return await call(
            target, 'POST', '/v1/tasks', TaskReport, task, extra_wait_ms=task.wait_ms
        )

    async def status(task_id: str, wait_ms: int) -> Result[TaskReport, PortError]:
        path = f'{_task_path(task_id)}?wait_ms={wait_ms}'
        return await call(target, 'GET', path, TaskReport, extra_wait_ms=wait_ms)

    async def renew(renewal: LeaseRenewal) -> Result[LeaseReport, PortError]:
        return await call(target, 'POST', '/v1/renewals', LeaseReport, renewal)

    async def usage() -> Result[UsageReport, PortError]:
        return await call(target, 'GET', '/v1/usage', UsageReport)

    async def stop(task_id: str) -> Result[TaskReport, PortError]:
        return await call(target, 'POST', _task_path(task_id, '/stop'), TaskReport, {})

    async def checkpoint(task_id: str) -> Result[TaskReport, PortError]:
        path = _task_path(task_id, '/checkpoint')
        return await call(target, 'POST', path, TaskReport, {})

    async def throttle(task_id: str, percent: int) -> Result[TaskReport, PortError]:
        path = _task_path(task_id, f'/throttle?percent={percent}')
        return await call(target, 'POST', path, TaskReport, {})

    async def drain(draining: bool) -> Result[UsageReport, PortError]:
        path = f'/v1/drain?draining={int(draining)}'
        return await call(target, 'POST', path, UsageReport, {})

    async def reboot() -> Result[UsageReport, PortError]:
        return await call(target, 'POST', '/v1/reboot', UsageReport, {})

    return BackendPort(
        start=start,
        status=status,
        renew=renew,
        usage=usage,
        stop=stop,
        checkpoint=checkpoint,
        throttle=throttle,
        drain=drain,
        reboot=reboot,
    )
