"""Callers that submit jobs, ask for their state and cancel some of them."""

import asyncio
from dataclasses import dataclass, field

import msgspec

from dandelionknot._http_client import FetchResult
from dandelionknot.clock import now_ms
from dandelionknot.errors import PortErrorKind
from dandelionknot.jobs._generated import JobSpec, StepSpec
from emulator.backends import LASTING_PAYLOAD
from emulator.fleet import TIMING
from soak.fleet import Member, SoakFleet
from soak.profiles import CALLER_HOST, queue_path

SUBMIT_ATTEMPTS = 6
# Deadline that callers put into each call.
DEADLINE_MS = 3000
# Share of the accepted jobs that callers cancel.
CANCEL_SHARE = 0.1
# Statuses that assure the caller that the job was not accepted.
REFUSAL_STATUSES = (429, 503)
# A process may close an idle connection just when a request is sent on it, and then
# does not read the request. If a connection breaks later than this after the start of
# a call, the process was already handling the request.
IDLE_CLOSE_WINDOW_MS = 200


@dataclass(slots=True)
class Callers:
    """Callers of one soak run. Connections stay open until their process has ended."""

    fleet: SoakFleet
    number: int = 0
    lasting_job_ids: list[str] = field(default_factory=list)

    async def load(self, end_ms: int, jobs_per_s: float) -> None:
        """Submits jobs at a mean rate until `end_ms` and waits for the last answers."""
        calls: set[asyncio.Task] = set()
        while now_ms() < end_ms:
            self.number += 1
            calls.add(asyncio.create_task(self._run_caller(f'{self.number:016x}')))
            await asyncio.sleep(self.fleet.rng.expovariate(jobs_per_s))
        await asyncio.gather(*calls)

    async def submit_lasting(self) -> None:
        """Submits the jobs of all services whose tasks last."""
        profile = self.fleet.profile
        for service in profile.services * profile.lasting_jobs:
            self.number += 1
            job_id = f'{self.number:016x}'
            self.lasting_job_ids.append(job_id)
            self.fleet.oracle.services_by_job_id[job_id] = service
            await self._submit(job_id, lasting=True)

    async def cancel_lasting(self) -> None:
        """Cancels these jobs, until each cancellation is answered."""
        for job_id in self.lasting_job_ids:
            self.fleet.oracle.cancelled_job_ids.add(job_id)
            for _ in range(SUBMIT_ATTEMPTS):
                member = self._random_member()
                fetched = await self._call(member, 'DELETE', job_id, None)
                if fetched.code in (200, 202, 410):
                    break

    async def _run_caller(self, job_id: str) -> None:
        services = self.fleet.profile.services
        # A single service takes no number from the generator, so that the seeds of
        # former runs keep their meaning.
        service = services[0] if len(services) == 1 else self.fleet.rng.choice(services)
        self.fleet.oracle.services_by_job_id[job_id] = service
        if not await self._submit(job_id):
            return
        if self.fleet.rng.random() < CANCEL_SHARE:
            await asyncio.sleep(self.fleet.rng.uniform(0, 1))
            self.fleet.oracle.cancelled_job_ids.add(job_id)
            fetched = await self._call(self._random_member(), 'DELETE', job_id, None)
            if fetched.code == 410:
                self.fleet.oracle.report(
                    f'job {job_id}: cancel of the accepted job was answered 410'
                )

    def _random_member(self) -> Member:
        return self.fleet.rng.choice(list(self.fleet.members_by_id.values()))

    async def _submit(self, job_id: str, lasting: bool = False) -> bool:
        """Submits a job at random processes and returns whether it was accepted.

        Makes up to `SUBMIT_ATTEMPTS` attempts. The job counts as refused only if
        every attempt was answered with a refusal.
        """
        oracle = self.fleet.oracle
        body, oracle.specs_by_job_id[job_id] = (
            self._lasting_job() if lasting else self._random_job()
        )
        statuses = set()
        for _ in range(SUBMIT_ATTEMPTS):
            key = self.fleet.keys[0]
            sent_ms = now_ms()
            fetched = await self._call(self._random_member(), 'POST', job_id, body, key)
            statuses.add(fetched.code)
            if 200 <= fetched.code < 300:
                oracle.accepted_at_ms[job_id] = now_ms()
                self._check_accepted_key(job_id, key, sent_ms)
                return True
            await asyncio.sleep(self.fleet.rng.uniform(0.05, 0.3))
        if statuses <= set(REFUSAL_STATUSES):
            oracle.refused_job_ids.add(job_id)
        return False

    def _check_accepted_key(self, job_id: str, key: str, sent_ms: int) -> None:
        withdrawn = self.fleet.withdrawn_at_ms.get(key)
        if withdrawn is not None and sent_ms > withdrawn + TIMING.revoke_ms:
            self.fleet.oracle.report(f'job {job_id} was accepted with a withdrawn key')

    def _random_job(self) -> tuple[dict, JobSpec]:
        rng, profile = self.fleet.rng, self.fleet.profile
        counts = [
            rng.randint(1, profile.max_tasks)
            for _ in range(rng.randint(1, profile.max_steps))
        ]
        specs = [
            StepSpec(
                task_count=count,
                resources=profile.task,
                estimated_ms=self._random_task_ms(),
                after=[number - 1] if number else [],
            )
            for number, count in enumerate(counts)
        ]
        return _job('work', specs)

    def _random_task_ms(self) -> int:
        """Returns the estimate of a step.

        A profile without long tasks takes no number from the generator, so that the
        seeds of former runs keep their meaning.
        """
        profile = self.fleet.profile
        if profile.long_share and self.fleet.rng.random() < profile.long_share:
            return profile.long_task_ms
        return profile.task_ms

    def _lasting_job(self) -> tuple[dict, JobSpec]:
        profile = self.fleet.profile
        step = StepSpec(
            task_count=profile.lasting_tasks,
            resources=profile.lasting_task,
            long_running=True,
            max_per_host=1,
            max_unavailable=profile.max_unavailable,
        )
        return _job(LASTING_PAYLOAD, [step])

    async def _call(
        self,
        member: Member,
        method: str,
        job_id: str,
        body: dict | None,
        key: str = '',
    ) -> FetchResult:
        """Makes one call and reports the request if a graceful stop broke it off.

        Such a request is reported only if no fault disturbed the process during the
        call.
        """
        process, sent_ms = member.process, now_ms()
        service = self.fleet.oracle.services_by_job_id.get(
            job_id, self.fleet.profile.services[0]
        )
        undisturbed_at_start = sent_ms > member.disturbed_until_ms
        fetched = await self.fleet.client.call(
            self.fleet.client.connections(member.caller_address, None, 500),
            method,
            queue_path(service) + job_id,
            None if body is None else msgspec.json.encode(body),
            DEADLINE_MS + 500,
            {
                'Host': CALLER_HOST,
                'X-Api-Key': key or self.fleet.keys[0],
                'X-Deadline-Ms': str(DEADLINE_MS),
            },
        )
        error = fetched.error
        is_broken = error is not None and error.kind is PortErrorKind.NO_ANSWER
        is_broken = is_broken and now_ms() - sent_ms > IDLE_CLOSE_WINDOW_MS
        undisturbed = undisturbed_at_start and now_ms() > member.disturbed_until_ms
        if is_broken and undisturbed and member.stopping and member.process is process:
            self.fleet.oracle.report(
                f'job {job_id}: {member.member_id} cut a request during its stop'
            )
        return fetched

    async def phase(self, job_id: str) -> str | None:
        """Returns the phase of a job from the first process that answers with 200."""
        for member in self.fleet.members_by_id.values():
            fetched = await self._call(member, 'GET', job_id, None)
            if fetched.code == 200:
                state = msgspec.json.decode(fetched.body)['state']
                return 'cancelled' if state == 'canceled' else state
        return None

    async def check_withdrawn_keys(self) -> None:
        """Calls each process with the withdrawn keys and reports those still accepted.

        A key is tried only after `revoke_ms`, the time allowed for its withdrawal.
        """
        for key, at_ms in list(self.fleet.withdrawn_at_ms.items()):
            for member in self.fleet.members_by_id.values():
                sent_ms = now_ms()
                if key in self.fleet.keys or sent_ms <= at_ms + TIMING.revoke_ms:
                    continue
                fetched = await self._call(member, 'GET', '', None, key)
                if fetched.code == 200:
                    text = f'{member.member_id} still accepts the withdrawn key {key}'
                    self.fleet.oracle.report(text)


def _job(payload: str, specs: list[StepSpec]) -> tuple[dict, JobSpec]:
    """Returns the body of a submission, and the job that it describes."""
    steps = [
        {
            'count': spec.task_count,
            'cpu': spec.resources.cpu_millicores,
            'mem_mb': spec.resources.memory_mb,
            'est_ms': spec.estimated_ms,
            'after': spec.after,
            'daemon': spec.long_running,
            'max_per_server': spec.max_per_host,
            'may_miss': spec.max_unavailable,
        }
        for spec in specs
    ]
    body = {'spec': payload, 'steps': steps}
    return body, JobSpec(payload=payload, steps=specs)
