"""Reads running totals of a bench, and computes rates between two readings."""

from collections import Counter
from dataclasses import dataclass
from statistics import median

from dandelionknot.clock import now_ms, seconds
from measure.cost_bench import MEMBER_FIRST_IP, Bench, call_json
from measure.processes import cpu_seconds
from standins.backend import following_ips


@dataclass(frozen=True, slots=True, kw_only=True)
class Reading:
    """Running totals at one point in time.

    Processor time is listed by member, bytes are those of the second member, and calls
    are those of all members to the platform.
    """

    at_ms: int
    cpu_s_by_member: list[float]
    platform_bytes: int
    peer_bytes: int
    backend_bytes: int
    calls_by_kind: dict[str, int]


async def read_totals(bench: Bench) -> Reading:
    """Reads processor times, byte counts and numbers of platform calls."""
    ip = following_ips(MEMBER_FIRST_IP, 2)[1]
    assert bench.platform_relay is not None
    peer_bytes = sum(relay.bytes_by_source_ip[ip] for relay in bench.peer_relays)
    peer_bytes += bench.peer_relays[1].bytes_by_source_ip.total()
    return Reading(
        at_ms=now_ms(),
        cpu_s_by_member=[cpu_seconds(pid) for pid in bench.member_pids()],
        platform_bytes=bench.platform_relay.bytes_by_source_ip[ip],
        peer_bytes=peer_bytes,
        backend_bytes=sum(
            relay.bytes_by_source_ip[ip] for relay in bench.backend_relays
        ),
        calls_by_kind=await call_json(bench, bench.platform_address, '/v1/calls'),
    )


def rates_between(before: Reading, after: Reading) -> dict:
    """Returns rates per second between two readings.

    The first member carries out the fleet duties, so its processor time is reported
    separately, as `steward_cpu_percent`, and is not in the median `cpu_percent`.
    """
    elapsed_s = seconds(after.at_ms - before.at_ms)
    cpu = [
        (end - start) / elapsed_s * 100
        for start, end in zip(
            before.cpu_s_by_member, after.cpu_s_by_member, strict=True
        )
    ]
    calls = Counter(after.calls_by_kind)
    calls.subtract(before.calls_by_kind)
    return {
        'elapsed_s': elapsed_s,
        'steward_cpu_percent': cpu[0],
        'cpu_percent': median(cpu[1:]),
        'cpu_percent_max': max(cpu),
        'platform_bytes_per_s': (after.platform_bytes - before.platform_bytes)
        / elapsed_s,
        'peer_bytes_per_s': (after.peer_bytes - before.peer_bytes) / elapsed_s,
        'backend_bytes_per_s': (after.backend_bytes - before.backend_bytes) / elapsed_s,
        'platform_calls_per_s': calls.total() / elapsed_s,
        'calls_per_s_by_kind': {
            kind: count / elapsed_s for kind, count in calls.items() if count
        },
    }
