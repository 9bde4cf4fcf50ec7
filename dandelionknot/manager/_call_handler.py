"""Handles calls of callers on every entry host, not only on the leader.

A job is accepted by a conditional write to the store. The write fails if the
configuration has changed since the call was checked, so that no job is accepted under
an outdated configuration.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
from result import Err, Ok, Result

from dandelionknot.clock import now_ms, seconds, unix_ms
from dandelionknot.events import Event, log_event
from dandelionknot.jobs._admission import Admission
from dandelionknot.jobs._generated import (
    CallerReply,
    CallerVerdict,
    Job,
    JobPhase,
    JobSpec,
    ManagerSettings,
    Queue,
)
from dandelionknot.jobs._load_shedding import Attempts, LoadShedding, Refusal
from dandelionknot.jobs._state import FINAL_PHASES
from dandelionknot.jobs._stored import cancel_key, job_key
from dandelionknot.manager._view import JobEntry, View, job_entry
from dandelionknot.store import (
    Item,
    Precondition,
    Put,
    Store,
    StoreError,
    WriteOutcome,
    Written,
)

# Highest age of the view at which calls are decided, as a share of `revoke_ms`, the
# time for which a withdrawn key may still work. The rest of that time covers clock
# errors and the duration of the call.
MAX_VIEW_AGE_SHARE = 0.6
# Highest age of the view at which the process reports itself ready to the balancer.
MAX_READY_AGE_MS = 2500
# Time limit of one call to the store.
CALL_TIMEOUT_MS = 900
# Pause before a failed call to the store is repeated.
RETRY_MS = 60
# Time reserved for the answer to reach the caller before the caller's deadline.
ANSWER_MARGIN_MS = 150
# Value of `Retry-After` in answers to calls that were not accepted.
RETRY_AFTER_S = 1
# If the store has not answered a watch call for this long, it is assumed to reject the
# calls of this host.
STORE_SILENCE_MS = 1000
# Time limit of the read before a refusal for load: a quarter of an objective of 600 ms,
# after which a refusal is late for its caller.
REFUSAL_READ_TIMEOUT_MS = 150


@dataclass(slots=True)
class CallHandler:
    """Checks calls against the view and writes accepted jobs and cancellations."""

    settings: ManagerSettings
    store: Store
    view: View
    configuration_key: str
    observe: Callable[[Event, dict[str, Any]], None]
    admission: Admission = field(default_factory=Admission)
    load_shedding: LoadShedding = field(
        default_factory=lambda: LoadShedding(random.random)
    )
    attempts: Attempts = field(default_factory=Attempts)
    stopping: bool = False
    was_fresh: bool = False

    def _log(self, event: Event, **fields: Any) -> None:
        self.observe(event, fields)
        log_event(event, **fields)

    def age_ms(self) -> int:
        """Returns the highest possible age of the view."""
        return now_ms() - self.view.current_as_of_ms

    def usable(self) -> bool:
        """Whether the view is current enough to check keys; logs each change."""
        limit = int(self.settings.timing.revoke_ms * MAX_VIEW_AGE_SHARE)
        fresh = self.view.current_as_of_ms > 0 and self.age_ms() <= limit
        if fresh != self.was_fresh:
            self.was_fresh = fresh
            event = Event.STORE_VIEW_FRESH if fresh else Event.STORE_VIEW_STALE
            self._log(event, age_ms=self.age_ms(), revision=self.view.revision)
        return fresh

    def ready(self) -> bool:
        """Whether the balancer may send new connections here."""
        if self.stopping or self.view.configuration is None or not self.usable():
            return False
        return self.age_ms() <= MAX_READY_AGE_MS

    def find_queue(self, host: str, path: str) -> tuple[str, str] | None:
        """Returns the queue name and the job id of a path, or None for an unknown path.

        An empty queue name means that the configuration is missing or out of date.
        """
        self._refresh()
        if self.view.configuration is None or not self.usable():
            return '', ''
        return self.admission.find_queue(host, path)

    def _refresh(self) -> None:
        """Passes the configuration of the view on to the admission rules."""
        configuration = self.view.configuration
        if configuration is not None:
            self.admission.set_configuration(configuration)

    def _account(self, queue: Queue, key: str) -> str | None:
        return self.admission.account_for(queue, key)

    async def submit(
        self, queue_name: str, key: str, job_id: str, spec: JobSpec, deadline_ms: int
    ) -> CallerReply:
        """Stores a job and returns whether it was accepted.

        A repeated call with the same id is accepted without storing a second job.
        """
        if not self.settings.admission_forecast:
            return await self._submit(queue_name, key, job_id, spec, deadline_ms)
        verdict = CallerVerdict.UNKNOWN
        self.attempts.begin(job_id)
        try:
            reply = await self._submit(queue_name, key, job_id, spec, deadline_ms)
            verdict = reply.verdict
        finally:
            is_known = verdict is not CallerVerdict.UNKNOWN
            self.attempts.end(job_id, is_known)
        return reply

    async def _submit(
        self, queue_name: str, key: str, job_id: str, spec: JobSpec, deadline_ms: int
    ) -> CallerReply:
        give_up_ms = now_ms() + deadline_ms - ANSWER_MARGIN_MS
        unknown = False
        is_admitted = not self.settings.admission_forecast
        publication = self.view.waiting
        while True:
            self._refresh()
            queue = self.admission.queue(queue_name)
            if queue is None:
                return self._refuse(
                    job_id,
                    CallerVerdict.NOT_FOUND,
                    'the queue is gone',
                    unknown,
                )
            account = self._account(queue, key)
            if account is None:
                return self._refuse(
                    job_id, CallerVerdict.KEY_UNKNOWN, 'unknown key', unknown
                )
            if not is_admitted:
                is_admitted = True
                reply = await self._shed(queue, account, job_id, spec, give_up_ms)
                if reply is not None:
                    return reply
            written = await self._write_job(queue, account, job_id, spec, give_up_ms)
            if isinstance(written, Err) and written.err_value.rejected:
                verdict, problem = CallerVerdict.MALFORMED, written.err_value.message
                return self._refuse(job_id, verdict, problem, unknown)
            if isinstance(written, Err):
                unknown = unknown or not written.err_value.not_done
                problem = written.err_value.message
            elif self._evaluate_write(written.ok_value, job_id):
                return self._accept(queue, account, job_id, repeated=unknown)
            else:
                problem = 'the configuration changed meanwhile'
            late = now_ms() + RETRY_MS >= give_up_ms
            # If the store rejects the calls of this host, the call is refused early,
            # since another entry host may be able to accept it.
            store_silent = not unknown and self.age_ms() > STORE_SILENCE_MS
            if late or store_silent:
                verdict = CallerVerdict.NOT_ACCEPTED
                self.load_shedding.not_stored(queue, spec, publication)
                return self._refuse(job_id, verdict, problem, unknown)
            await asyncio.sleep(seconds(RETRY_MS if isinstance(written, Err) else 0))

    def _accept(
        self, queue: Queue, account: str, job_id: str, repeated: bool
    ) -> CallerReply:
        self._log(
            Event.JOB_ACCEPTED,
            job_id=job_id,
            queue=queue.name,
            client_account=account,
            configuration_version=self.admission.version,
            repeated=repeated,
        )
        return CallerReply(verdict=CallerVerdict.ACCEPTED)

    async def _shed(
        self, queue: Queue, account: str, job_id: str, spec: JobSpec, give_up_ms: int
    ) -> CallerReply | None:
        """Returns the reply to a job that cannot end in useful time, else None.

        A job that an earlier call has stored is accepted. If that is not known, None is
        returned, so that the write decides.
        """
        now, view = now_ms(), self.view
        age_ms = now - view.waiting_written_after_ms
        refusal = self.load_shedding.decide(
            job_id, queue, spec, view.waiting, age_ms, now, unix_ms()
        )
        if refusal is None:
            return None
        timeout_ms = min(REFUSAL_READ_TIMEOUT_MS, self._timeout_ms(give_up_ms))
        page = await self.store.read_page(job_key(job_id), '', timeout_ms)
        if isinstance(page, Err) or self.attempts.may_be_stored(job_id):
            return None
        if any(item.key == job_key(job_id) for item in page.ok_value.items):
            return self._accept(queue, account, job_id, repeated=True)
        self.load_shedding.refused(job_id, refusal.retry_after_s, now)
        return self._refuse_for_load(queue, account, job_id, refusal, age_ms)

    def _refuse_for_load(
        self,
        queue: Queue,
        account: str,
        job_id: str,
        refusal: Refusal,
        forecast_age_ms: int,
    ) -> CallerReply:
        reason = refusal.reason
        verdict = CallerVerdict.NOT_ACCEPTED
        self._log(
            Event.JOB_REFUSED,
            job_id=job_id,
            verdict=verdict.value,
            reason=reason,
            cause=refusal.cause.value,
            queue=queue.name,
            client_account=account,
            wait_ms=refusal.wait_ms,
            useful_wait_ms=refusal.useful_wait_ms,
            accepted_here=refusal.accepted_here,
            forecast_age_ms=forecast_age_ms,
            retry_after_s=refusal.retry_after_s,
            configuration_version=self.admission.version,
        )
        return CallerReply(
            verdict=verdict, reason=reason, retry_after_s=refusal.retry_after_s
        )

    async def _write_job(
        self, queue: Queue, account: str, job_id: str, spec: JobSpec, give_up_ms: int
    ) -> Result[Written, StoreError]:
        job = Job(
            job_id=job_id,
            queue=queue.name,
            service=queue.service,
            client_account=account,
            accepted_unix_ms=unix_ms(),
            spec=spec,
            accepted_queue=queue,
        )
        key, value = job_key(job_id), msgspec.json.encode(job)
        limit = self.settings.max_value_bytes
        if len(value) > limit:
            problem = f'the job takes {len(value)} bytes, and at most {limit} are kept'
            return Err(StoreError(not_done=True, message=problem, rejected=True))
        return await self.store.write(
            [
                Precondition(self.configuration_key, self.view.configuration_revision),
                Precondition(key, 0),
            ],
            [Put(key, value)],
            [],
            self._timeout_ms(give_up_ms),
        )

    def _evaluate_write(self, written: Written, job_id: str) -> bool:
        """Returns whether the job is stored.

        If it is not, the configuration in the answer is applied to the view, since it
        may be newer.
        """
        if written.outcome is WriteOutcome.WRITTEN:
            return True
        for item in written.items:
            if item.key == job_key(job_id) and item.revision:
                return True
        self._apply_configuration(written.items)
        return False

    def _apply_configuration(self, items: list[Item]) -> None:
        for item in items:
            if item.key == self.configuration_key and item.revision:
                fact = self.view.decode_fact(item)
                if fact is not None:
                    self.view.apply_configuration(fact)

    def _refuse(
        self, job_id: str, verdict: CallerVerdict, reason: str, unknown: bool
    ) -> CallerReply:
        """Logs a refusal and returns the reply.

        `unknown` is set if an earlier write may have been carried out. The reply then
        states that the outcome is unknown.
        """
        if unknown:
            verdict = CallerVerdict.UNKNOWN
        self._log(
            Event.JOB_REFUSED,
            job_id=job_id,
            verdict=verdict.value,
            reason=reason,
            view_age_ms=self.age_ms(),
            configuration_version=self.admission.version,
        )
        retry = RETRY_AFTER_S if verdict is CallerVerdict.NOT_ACCEPTED else 0
        return CallerReply(verdict=verdict, reason=reason, retry_after_s=retry)

    def _account_or_refusal(self, queue_name: str, key: str) -> CallerReply | str:
        """Returns the client account of a call, or the reply that refuses it."""
        self._refresh()
        queue = self.admission.queue(queue_name)
        if queue is None:
            return CallerReply(verdict=CallerVerdict.NOT_FOUND)
        account = self._account(queue, key)
        if account is None:
            return CallerReply(verdict=CallerVerdict.KEY_UNKNOWN)
        return account

    async def state(
        self, queue_name: str, key: str, job_id: str, deadline_ms: int
    ) -> CallerReply:
        """Returns the phase of a job, as read from the store for this call."""
        give_up_ms = now_ms() + deadline_ms - ANSWER_MARGIN_MS
        checked = self._account_or_refusal(queue_name, key)
        if isinstance(checked, CallerReply):
            return checked
        while True:
            found = await self._read_job(job_id, give_up_ms)
            if isinstance(found, Ok):
                break
            if now_ms() + RETRY_MS >= give_up_ms:
                reason = f'state not read: {found.err_value.message}'
                verdict = CallerVerdict.NOT_ACCEPTED
                return self._refuse(job_id, verdict, reason, unknown=False)
            await asyncio.sleep(seconds(RETRY_MS))
        entry, _ = found.ok_value
        if entry is None:
            return CallerReply(verdict=CallerVerdict.NOT_FOUND)
        reason = entry.record.reason if entry.record else ''
        return CallerReply(
            verdict=CallerVerdict.KNOWN, phase=entry.phase, reason=reason
        )

    async def _read_job(
        self, job_id: str, give_up_ms: int
    ) -> Result[tuple[JobEntry | None, int], StoreError]:
        """Reads the stored items of a job.

        Returns the job, or None if it is not stored, and the revision of its job item.
        """
        key, after = job_key(job_id), ''
        items: list[Item] = []
        while True:
            # A job that takes almost a whole value fills a page by itself.
            page = await self.store.read_page(key, after, self._timeout_ms(give_up_ms))
            if isinstance(page, Err):
                return page
            items += page.ok_value.items
            if not page.ok_value.more or not page.ok_value.items:
                break
            after = items[-1].key
        revision = next((item.revision for item in items if item.key == key), 0)
        return Ok((job_entry(job_id, items), revision))

    def waiting(self, queue_name: str, key: str) -> CallerReply:
        """Returns how many jobs of a queue have not started, by the leader's count."""
        checked = self._account_or_refusal(queue_name, key)
        if isinstance(checked, CallerReply):
            return checked
        count = self.view.waiting.jobs_by_queue.get(queue_name, 0)
        return CallerReply(verdict=CallerVerdict.KNOWN, waiting_jobs=count)

    async def cancel(
        self, queue_name: str, key: str, job_id: str, deadline_ms: int
    ) -> CallerReply:
        """Stores the cancellation of a job, unless the job has ended."""
        give_up_ms = now_ms() + deadline_ms - ANSWER_MARGIN_MS
        checked = self._account_or_refusal(queue_name, key)
        if isinstance(checked, CallerReply):
            return checked
        while True:
            written = await self._write_cancellation(job_id, give_up_ms)
            if isinstance(written, Ok):
                return written.ok_value
            if now_ms() + RETRY_MS >= give_up_ms:
                return self._refuse(
                    job_id,
                    CallerVerdict.UNKNOWN,
                    f'cancellation not stored: {written.err_value.message}',
                    True,
                )
            await asyncio.sleep(seconds(RETRY_MS))

    async def _write_cancellation(
        self, job_id: str, give_up_ms: int
    ) -> Result[CallerReply, StoreError]:
        """Stores a cancellation unless the job has ended; returns the reply."""
        found = await self._read_job(job_id, give_up_ms)
        if isinstance(found, Err):
            return found
        entry, revision = found.ok_value
        if entry is None:
            return Ok(CallerReply(verdict=CallerVerdict.NOT_FOUND))
        if entry.phase in FINAL_PHASES:
            return Ok(CallerReply(verdict=CallerVerdict.KNOWN, phase=entry.phase))
        written = await self.store.write(
            [Precondition(job_key(job_id), revision)],
            [Put(cancel_key(job_id), b'{}')],
            [],
            self._timeout_ms(give_up_ms),
        )
        if isinstance(written, Err):
            return written
        if written.ok_value.outcome is not WriteOutcome.WRITTEN:
            return Ok(CallerReply(verdict=CallerVerdict.NOT_FOUND))
        self._log(Event.JOB_CANCEL_STORED, job_id=job_id)
        return Ok(CallerReply(verdict=CallerVerdict.KNOWN, phase=JobPhase.CANCELLED))

    def _timeout_ms(self, give_up_ms: int) -> int:
        """Returns the time limit of a store call, which must end by `give_up_ms`."""
        return max(1, min(CALL_TIMEOUT_MS, give_up_ms - now_ms()))
