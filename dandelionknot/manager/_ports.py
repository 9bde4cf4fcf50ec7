"""Clients of backend servers and of the host list, implemented by an adapter."""

from typing import Protocol

from result import Result

from dandelionknot.errors import PortError
from dandelionknot.jobs._generated import (
    HoldReport,
    HostOrder,
    HostOrderOutcome,
    HostsListed,
    OrderOutcome,
    StartAnswer,
    StartOrder,
)


class BackendClient(Protocol):
    """Calls to one lifetime of a backend server under a fencing token."""

    def use_token(self, fencing_token: int) -> None:
        """Sets the fencing token of all further calls."""

    async def hold(
        self, deadline_ms: int, acknowledged_end: int, wait_ms: int, timeout_ms: int
    ) -> Result[HoldReport, OrderOutcome]:
        """Extends the lease unless `deadline_ms` is 0; returns running and ended runs.

        The backend server may delay its answer by up to `wait_ms` until a run ends.
        """

    async def start(
        self, order: StartOrder, deadline_ms: int, timeout_ms: int
    ) -> StartAnswer:
        """Starts a run of a task."""

    async def stop(self, task_name: str, run: int, timeout_ms: int) -> OrderOutcome:
        """Stops a run, or prevents it from starting later."""

    async def pace(
        self, task_name: str, run: int, percent: int, timeout_ms: int
    ) -> OrderOutcome:
        """Limits a run to a percentage of its full speed."""

    def close(self) -> None:
        """Closes the connections."""


class HostClient(Protocol):
    """Calls about hosts, made on behalf of one member."""

    async def list_hosts(self) -> Result[HostsListed, PortError]:
        """Reads the list of all hosts."""

    async def order(
        self, order: HostOrder, fencing_token: int, valid_until_ms: int
    ) -> HostOrderOutcome:
        """Sends an order; a repeated order that was already carried out is accepted.

        The order is not sent after the local time `valid_until_ms`.
        """
