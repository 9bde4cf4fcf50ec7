"""Measures the cost for an entry host and the platform while requests arrive."""

import asyncio
import json

import msgspec

from measure.cost_bench import Bench, start_process
from measure.cost_readings import rates_between, read_totals
from measure.cost_sizes import Size
from measure.load import LoadPlan
from measure.processes import cpu_seconds, resident_mb

LOAD_RATE_PER_S = 500
LOAD_S = 10
# Rates of requests that are not idempotent, which need a stored claim each.
CLAIM_RATES_PER_S = (50, 200)
CLAIM_S = 5


async def run_load(bench: Bench, plan: LoadPlan) -> dict:
    """Carries out a load plan in a separate process and returns its report."""
    path = bench.directory / 'load.json'
    path.write_bytes(msgspec.json.encode(plan))
    process = start_process(bench, 'load', ['-m', 'measure.load', str(path)])
    output, _ = await asyncio.to_thread(process.communicate)
    if process.returncode:
        raise RuntimeError((bench.directory / 'load.log').read_text()[-2000:])
    return json.loads(output)


async def measure_load(bench: Bench, size: Size, key: str, idle: dict) -> dict:
    """Measures latency, processor time and claim writes under load.

    The load goes to the second member, since the first carries out the fleet duties.
    For comparison, the same tasks are started on the backend servers directly.
    """
    services = [f'service-{number}' for number in range(min(size.pools, size.hosts))]

    def plan(rate_per_s: int, duration_s: int, idempotent: bool = True) -> LoadPlan:
        return LoadPlan(
            addresses=[bench.caller_addresses[1]],
            services=services,
            key=key,
            rate_per_s=rate_per_s,
            duration_s=duration_s,
            idempotent=idempotent,
        )

    # Warm-up with 50 requests per second for 3 s; its report is not used.
    await run_load(bench, plan(50, 3))
    pid = bench.member_pids()[1]
    began_s = cpu_seconds(pid)
    through = await run_load(bench, plan(LOAD_RATE_PER_S, LOAD_S))
    used_s = cpu_seconds(pid) - began_s
    memory_mb = resident_mb(pid)
    direct_plan = LoadPlan(
        addresses=[relay.address for relay in bench.backend_relays[: size.pools]],
        services=services,
        key='',
        rate_per_s=LOAD_RATE_PER_S,
        duration_s=LOAD_S // 2,
    )
    direct = await run_load(bench, direct_plan)
    claims = []
    for rate in CLAIM_RATES_PER_S:
        before = await read_totals(bench)
        answered = await run_load(bench, plan(rate, CLAIM_S, False))
        rates = rates_between(before, await read_totals(bench))
        written = rates['calls_per_s_by_kind'].get('write', 0)
        idle_writes = idle['calls_per_s_by_kind'].get('write', 0)
        writes = (written - idle_writes) * rates['elapsed_s'] / answered['took_s']
        claims.append({'rate_per_s': rate, 'writes_per_s': writes, 'load': answered})
    idle_ms = idle['cpu_percent'] * 10 * through['took_s']
    requests = LOAD_RATE_PER_S * LOAD_S
    return {
        'through_entry_host': through,
        'direct': direct,
        'added_p50_ms': through['p50_ms'] - direct['p50_ms'],
        'added_p99_ms': through['p99_ms'] - direct['p99_ms'],
        'cpu_ms_per_request': (used_s * 1000 - idle_ms) / requests,
        'cpu_percent': used_s / through['took_s'] * 100,
        'resident_mb': memory_mb,
        'claims': claims,
    }
