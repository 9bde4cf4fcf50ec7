"""The task that acquires and renews the leader lease."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from result import Err

from dandelionknot.clock import now_ms, seconds
from dandelionknot.events import Event, log_event, log_unexpected_error
from dandelionknot.jobs._leases import HOLD_GRACE_MS
from dandelionknot.jobs._stored import LEADER_KEY, LEADER_PRESENCE_KEY
from dandelionknot.manager._commit import leader_value, presence_value
from dandelionknot.manager._view import View
from dandelionknot.store import Precondition, Put, Store, WriteOutcome

# Duration of the leader lease. If the lease is not renewed for this long, another entry
# host may become leader.
LEASE_MS = 1500
# Pause between renewals.
RENEW_MS = 350
# The leader stops sending orders this long before its lease may expire, so that calls
# in progress end before the lease does.
SAFETY_MS = 250
# Time limit of one call to the store.
CALL_TIMEOUT_MS = 500
# A leader that cannot renew its lease ends its term only this long after the lease has
# expired, in case the store is down for all hosts. Leases are then paused, and the term
# can continue after the outage.
RENEWAL_GIVE_UP_MS = 6000
# Shortest pause between checks whether there is a leader.
POLL_MS = 50
# Upper bound of a random addition to that pause. Entry hosts then try at different
# times, so that usually only one of them writes.
JITTER_MS = 100
# Entry hosts with fewer cores than this wait before they try to become leader, since
# the leader needs most of a core in a fleet of several hundred hosts.
LEADER_CORES = 1.0
# Wait of an entry host without any processor share.
MAX_ELECTION_DELAY_MS = 1000


@dataclass(slots=True)
class Term:
    """One period for which this process is leader, with its lease.

    Its number, which is also the fencing token, is the revision of the write that
    began it.
    """

    number: int
    lease_id: int
    revision: int
    valid_until_ms: int
    ended: bool = False

    def is_valid(self) -> bool:
        """Whether the lease still guarantees that no other process is leader."""
        return not self.ended and now_ms() < self.valid_until_ms

    def orders_valid_until_ms(self) -> int:
        """Returns the local time until which orders may be sent; 0 after the term."""
        return 0 if self.ended else self.valid_until_ms

    def may_hold(self) -> bool:
        """Whether task leases may be extended.

        They may be extended until `HOLD_GRACE_MS` after the end of the leader lease. A
        later leader takes this time into account.
        """
        return not self.ended and now_ms() < self.valid_until_ms + HOLD_GRACE_MS


@dataclass(slots=True)
class Leadership:
    """Makes this process the leader when there is no leader and it is eligible."""

    store: Store
    view: View
    member_id: str
    lease_ms: int
    lead: Callable[[Term], Coroutine[Any, Any, str]]
    is_eligible: Callable[[], bool]
    cores: float = LEADER_CORES
    # Address at which this process answers placement queries; empty if it does not.
    query_address: str = ''
    term: Term | None = None

    def leading(self) -> bool:
        """Whether this process is leader now."""
        return self.term is not None and self.term.is_valid()

    async def run(self) -> None:
        """Acquires the lease when there is no leader and runs each term to its end."""
        free_since_ms = 0
        while True:
            await asyncio.sleep(seconds(POLL_MS + random.randrange(JITTER_MS)))
            if self.view.leader is not None or not self.is_eligible():
                free_since_ms = 0
                continue
            free_since_ms = free_since_ms or now_ms()
            if now_ms() - free_since_ms < election_delay_ms(self.cores):
                continue
            term = await self._acquire()
            if term is not None:
                await self._lead(term)

    async def _acquire(self) -> Term | None:
        """Requests a lease and writes the leader items under it.

        Returns None if another process has written them or a call failed.
        """
        sent_ms = now_ms()
        granted = await self.store.grant_lease(self.lease_ms, CALL_TIMEOUT_MS)
        if isinstance(granted, Err):
            return None
        lease = granted.ok_value
        value = leader_value(self.member_id, 0, 0)
        written = await self.store.write(
            [Precondition(LEADER_KEY, 0)],
            [
                Put(LEADER_KEY, value, lease.lease_id),
                Put(
                    LEADER_PRESENCE_KEY,
                    presence_value(self.member_id, self.query_address),
                    lease.lease_id,
                ),
            ],
            [],
            CALL_TIMEOUT_MS,
        )
        if (
            isinstance(written, Err)
            or written.ok_value.outcome is not WriteOutcome.WRITTEN
        ):
            await self.store.end_lease(lease.lease_id, CALL_TIMEOUT_MS)
            return None
        revision = written.ok_value.revision
        valid_until_ms = sent_ms + lease.duration_ms - SAFETY_MS
        return Term(revision, lease.lease_id, revision, valid_until_ms)

    async def _lead(self, term: Term) -> None:
        self.term = term
        log_event(Event.LEADERSHIP_GAINED, term=term.number, lease_ms=self.lease_ms)
        leading = asyncio.create_task(self.lead(term))
        renewing = asyncio.create_task(self._renew_until_lost(term))
        try:
            await asyncio.wait({leading, renewing}, return_when=asyncio.FIRST_COMPLETED)
            finished = next(task for task in (leading, renewing) if task.done())
            error = finished.exception()
            if error is None:
                reason = finished.result()
            else:
                # The next term starts from the store with a new state.
                log_unexpected_error('leader', error, term=term.number)
                reason = 'unexpected error'
        finally:
            term.ended = True
            self.term = None
            for task in (leading, renewing):
                task.cancel()
            await asyncio.gather(leading, renewing, return_exceptions=True)
        log_event(Event.LEADERSHIP_LOST, term=term.number, reason=reason)
        await self.store.end_lease(term.lease_id, CALL_TIMEOUT_MS)

    async def _renew_until_lost(self, term: Term) -> str:
        """Renews the lease until it is lost; returns the reason."""
        while True:
            await asyncio.sleep(seconds(RENEW_MS))
            sent_ms = now_ms()
            renewed = await self.store.renew_lease(term.lease_id, CALL_TIMEOUT_MS)
            if not isinstance(renewed, Err):
                if not renewed.ok_value:
                    return 'the store has ended the lease'
                duration = self.lease_ms - SAFETY_MS
                term.valid_until_ms = max(term.valid_until_ms, sent_ms + duration)
            elif now_ms() > term.valid_until_ms + RENEWAL_GIVE_UP_MS:
                return 'the store did not answer lease renewals'


def election_delay_ms(cores: float) -> int:
    """Returns how long an entry host waits before it tries to become leader.

    Hosts with more cores wait for a shorter time, so that they try first.
    """
    return int(MAX_ELECTION_DELAY_MS * max(0.0, 1.0 - cores / LEADER_CORES) + 0.5)
