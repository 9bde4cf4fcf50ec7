"""Callers that hand jobs in, ask for their state and cancel some of them."""

import asyncio
from dataclasses import dataclass

import msgspec

from dandelionknot._http_client import FetchResult
from dandelionknot.clock import now_ms
from dandelionknot.errors import PortErrorKind
from dandelionknot.jobs._generated import JobSpec, Resources, StepSpec
from emulator.fleet import TIMING
from soak.fleet import Member, SoakFleet

ATTEMPTS = 6
DEADLINE_MS = 3000
CANCEL_SHARE = 0.1
PREFIX = '/quotes/'
REFUSALS = (429, 503)
# A request that crosses the close of an idle connection is not read any more; one
# that is cut later than this was.
LOSS_SLACK_MS = 200


@dataclass(slots=True)
class Callers:
    """The calls of one run; connections stay open until a process is gone."""

    fleet: SoakFleet
    number: int = 0

    async def load(self, end_ms: int, jobs_per_s: float) -> None:
        """Hands jobs in until a time, and waits for the last answers."""
        calls: set[asyncio.Task] = set()
        while now_ms() < end_ms:
            self.number += 1
            calls.add(asyncio.create_task(self._one_job(f'{self.number:016x}')))
            await asyncio.sleep(self.fleet.rng.expovariate(jobs_per_s))
        await asyncio.gather(*calls)

    async def _one_job(self, job_id: str) -> None:
        if not await self._submit(job_id):
            return
        if self.fleet.rng.random() < CANCEL_SHARE:
            await asyncio.sleep(self.fleet.rng.uniform(0, 1))
            fetched = await self._call(self._member(), 'DELETE', job_id, None)
            if fetched.code == 410:
                self.fleet.oracle.report(f'{job_id}: a cancel was answered 410')

    def _member(self) -> Member:
        return self.fleet.rng.choice(list(self.fleet.members_by_id.values()))

    async def _submit(self, job_id: str) -> bool:
        """Hands a job in at any process until it is accepted."""
        oracle = self.fleet.oracle
        body, oracle.specs_by_job_id[job_id] = self._job()
        statuses = set()
        for _ in range(ATTEMPTS):
            key = self.fleet.keys[0]
            sent_ms = now_ms()
            fetched = await self._call(self._member(), 'POST', job_id, body, key)
            statuses.add(fetched.code)
            if 200 <= fetched.code < 300:
                oracle.accepted_at_ms[job_id] = now_ms()
                self._check_key(job_id, key, sent_ms)
                return True
            await asyncio.sleep(self.fleet.rng.uniform(0.05, 0.3))
        if statuses <= set(REFUSALS):
            oracle.refused_job_ids.add(job_id)
        return False

    def _check_key(self, job_id: str, key: str, sent_ms: int) -> None:
        withdrawn = self.fleet.withdrawn_at_ms.get(key)
        if withdrawn is not None and sent_ms > withdrawn + TIMING.revoke_ms:
            self.fleet.oracle.report(f'{job_id}: accepted with a withdrawn key')

    def _job(self) -> tuple[dict, JobSpec]:
        rng = self.fleet.rng
        counts = [rng.randint(1, 4) for _ in range(rng.randint(1, 2))]
        steps = [
            {'count': count, 'cpu': 2000, 'mem_mb': 100, 'est_ms': 100}
            | ({'after': [number - 1]} if number else {})
            for number, count in enumerate(counts)
        ]
        resources = Resources(cpu_millicores=2000, memory_mb=100)
        spec = JobSpec(
            payload='work',
            steps=[
                StepSpec(task_count=n, resources=resources, estimated_ms=100)
                for n in counts
            ],
        )
        return {'spec': 'work', 'steps': steps}, spec

    async def _call(
        self,
        member: Member,
        method: str,
        job_id: str,
        body: dict | None,
        key: str = '',
    ) -> FetchResult:
        """Makes one call and judges a connection that broke around a stop."""
        process, sent_ms = member.process, now_ms()
        calm = sent_ms > member.disturbed_until_ms
        fetched = await self.fleet.client.call(
            self.fleet.client.connections(member.caller_address, None, 500),
            method,
            PREFIX + job_id,
            None if body is None else msgspec.json.encode(body),
            DEADLINE_MS + 500,
            {
                'Host': 'desk.example',
                'X-Api-Key': key or self.fleet.keys[0],
                'X-Deadline-Ms': str(DEADLINE_MS),
            },
        )
        error = fetched.error
        broke = error is not None and error.kind is PortErrorKind.NO_ANSWER
        broke = broke and now_ms() - sent_ms > LOSS_SLACK_MS
        undisturbed = calm and now_ms() > member.disturbed_until_ms
        if broke and undisturbed and member.stopping and member.process is process:
            self.fleet.oracle.report(
                f'{job_id}: {member.member_id} cut a request while it stopped'
            )
        return fetched

    async def phase(self, job_id: str) -> str | None:
        """Returns the state of a job as some process shows it."""
        for member in self.fleet.members_by_id.values():
            fetched = await self._call(member, 'GET', job_id, None)
            if fetched.code == 200:
                state = msgspec.json.decode(fetched.body)['state']
                return 'cancelled' if state == 'canceled' else state
        return None

    async def try_withdrawn_keys(self) -> None:
        """Calls each process with keys that were withdrawn long enough ago."""
        for key, at_ms in list(self.fleet.withdrawn_at_ms.items()):
            for member in self.fleet.members_by_id.values():
                sent_ms = now_ms()
                if key in self.fleet.keys or sent_ms <= at_ms + TIMING.revoke_ms:
                    continue
                fetched = await self._call(member, 'GET', '', None, key)
                if fetched.code == 200:
                    text = f'{member.member_id} serves the withdrawn key {key}'
                    self.fleet.oracle.report(text)
