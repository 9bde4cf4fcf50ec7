"""Sends requests at a fixed rate from one process and reports their latency.

`python -m measure.load FILE` reads a `LoadPlan` in JSON from the file and
prints a JSON object with counts and latencies.
"""

import asyncio
import json
import sys
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
from tornado.httpclient import HTTPError, HTTPRequest

from dandelionknot import codec
from dandelionknot._http_client import HttpClient, new_http_client
from dandelionknot.clock import now_ms, seconds
from dandelionknot.messages import TaskStart
from standins.fleet import new_request_id

CONNECTIONS = 128
# Start tokens expire; the stand-in issues them for 2 s.
TOKEN_REFRESH_MS = 500
TIMEOUT_S = 20
LEASE_MS = 15_000
PAYLOAD = json.dumps({'run_ms': 0, 'text': 'answer'})


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadPlan:
    """Rate, duration and targets of a load.

    With an empty `key`, tasks are started directly on the backend servers at
    `addresses`; otherwise requests are sent to the entry hosts there.
    """

    addresses: list[str]
    services: list[str]
    key: str
    rate_per_s: int
    duration_s: int
    idempotent: bool = True


@dataclass(slots=True)
class _LoadRun:
    plan: LoadPlan
    client: HttpClient
    token: str = ''
    latencies_ms: list[float] = field(default_factory=list)
    answers_by_status: Counter = field(default_factory=Counter)


def _body(load_run: _LoadRun, number: int) -> bytes:
    plan = load_run.plan
    request_id = new_request_id()
    service = plan.services[number % len(plan.services)]
    if not plan.key:
        return codec.encode_json(
            TaskStart(
                task_id=request_id,
                request_id=request_id,
                attempt=1,
                service=service,
                team='team-0',
                pool_epoch=0,
                start_token=load_run.token,
                lease_ms=LEASE_MS,
                wait_ms=1000,
                payload=PAYLOAD,
            )
        )
    body = {
        'request_id': request_id,
        'service': service,
        'deadline_ms': 10_000,
        'idempotent': plan.idempotent,
        'payload': PAYLOAD,
    }
    return json.dumps(body).encode()


async def _send(load_run: _LoadRun, number: int) -> None:
    plan = load_run.plan
    address = plan.addresses[number % len(plan.addresses)]
    path = '/v1/requests' if plan.key else '/v1/tasks'
    request = HTTPRequest(
        f'http://{address}{path}',
        method='POST',
        body=_body(load_run, number),
        headers={'Authorization': f'Bearer {plan.key}'} if plan.key else {},
        request_timeout=TIMEOUT_S,
    )
    started = asyncio.get_running_loop().time()
    try:
        await load_run.client.fetch(request)
        status = '200'
    except HTTPError as error:
        body = error.response.body if error.response else b''
        status = f'{error.code} {(body or b"")[:40].decode(errors="replace")}'
    elapsed_s = asyncio.get_running_loop().time() - started
    load_run.answers_by_status[status] += 1
    load_run.latencies_ms.append(elapsed_s * 1000)


async def _refresh_token(load_run: _LoadRun) -> None:
    while True:
        url = f'http://{load_run.plan.addresses[0]}/v1/usage'
        response = await load_run.client.fetch(url)
        load_run.token = json.loads(response.body)['start_token']
        await asyncio.sleep(seconds(TOKEN_REFRESH_MS))


async def run_load(plan: LoadPlan) -> dict:
    """Carries out a plan and returns its report.

    Each request is sent at its fixed time, even if earlier ones are not answered.
    """
    load_run = _LoadRun(plan, new_http_client(CONNECTIONS))
    refreshing = None
    if not plan.key:
        refreshing = asyncio.create_task(_refresh_token(load_run))
        await asyncio.sleep(seconds(TOKEN_REFRESH_MS))
    loop = asyncio.get_running_loop()
    began = loop.time()
    async with asyncio.TaskGroup() as group:
        for number in range(plan.rate_per_s * plan.duration_s):
            wait_s = began + number / plan.rate_per_s - loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            group.create_task(_send(load_run, number))
    took_s = loop.time() - began
    if refreshing is not None:
        refreshing.cancel()
    load_run.client.close()
    ordered = sorted(load_run.latencies_ms)
    return {
        'answers_by_status': dict(load_run.answers_by_status),
        'took_s': round(took_s, 2),
        'p50_ms': round(ordered[len(ordered) // 2], 2),
        'p99_ms': round(ordered[len(ordered) * 99 // 100], 2),
        'ended_ms': now_ms(),
    }


if __name__ == '__main__':
    decoded = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=LoadPlan)
    print(json.dumps(asyncio.run(run_load(decoded))))
