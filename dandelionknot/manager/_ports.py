"""What the manager asks of a backend server; an adapter offers it."""

from typing import Protocol

from result import Result

from dandelionknot.errors import PortError
from dandelionknot.jobs._generated import (
    HoldReport,
    Host,
    HostOrder,
    HostOrderOutcome,
    OrderOutcome,
    StartOrder,
)


class Orders(Protocol):
    """Calls to one lifetime of a backend server under one fencing token."""

    async def hold(
        self, deadline_ms: int, acknowledged_end: int, wait_ms: int, timeout_ms: int
    ) -> Result[HoldReport, OrderOutcome]:
        """Extends the lease unless `deadline_ms` is 0, and lists what runs."""

    async def start(
        self, order: StartOrder, deadline_ms: int, timeout_ms: int
    ) -> OrderOutcome:
        """Starts a run of a task."""

    async def stop(self, task_name: str, run: int, timeout_ms: int) -> OrderOutcome:
        """Stops a run, or bars it from starting."""

    async def pace(
        self, task_name: str, run: int, percent: int, timeout_ms: int
    ) -> OrderOutcome:
        """Lets a run work at a share of its speed."""

    def close(self) -> None:
        """Closes the connections."""


class HostOrders(Protocol):
    """Calls about hosts, in the name of one member."""

    async def list_hosts(self) -> Result[list[Host], PortError]:
        """Reads the list of all hosts."""

    async def order(self, order: HostOrder, fencing_token: int) -> HostOrderOutcome:
        """Gives an order; one that is carried out already is accepted again."""
