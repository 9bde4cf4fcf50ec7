"""Measures the time to plan maintenance waves, and simulates their roll-out."""

import heapq
import random
import time
from dataclasses import asdict, replace
from statistics import median

from dandelionknot.configuration import (
    Configuration,
    HostState,
    MaintenancePlan,
    PlanState,
)
from dandelionknot.decisions import _budgets
from dandelionknot.decisions._budgets import FleetHealth
from measure.fleets import fleet, linear_fit

# Largest numbers of hosts that a plan may stop at once. 66, 33 and 13 are limits for
# times with little spare capacity, about 10, 5 and 2 % of the hosts of the largest
# fleet. 0 means that only the budgets of the services limit the number.
STOP_LIMITS = (0, 66, 33, 13)
# Numbers of hosts and pools.
FLEET_SIZES = ((40, 5), (160, 40), (330, 142), (660, 284))
# Measurements of the planning time for each fleet size.
REPEATS = 15
PLAN_ID = 'plan'

# Assumed time for drain, reboot and check of one host.
MIN_STOP_S = 300
MAX_STOP_S = 900


def run() -> dict:
    """Measures processor time in milliseconds and roll-out time in hours.

    Each repetition measures all sizes, so that variations in the speed of the
    machine affect all sizes equally.

    Three ways to roll out a plan are compared. All stop the same hosts, each host for
    the same duration. The first stops one host at a time. The second stops one wave at
    a time and waits until its slowest host has returned. The third calls `next_wave`
    whenever a host is back in service, and stops the hosts of the resulting wave.
    """
    fleets = {hosts: fleet(hosts, pools) for hosts, pools in FLEET_SIZES}
    samples = [
        (hosts, _plan_ms(fleets[hosts])) for _ in range(REPEATS) for hosts in fleets
    ]
    fit = linear_fit([float(hosts) for hosts, _ in samples], [ms for _, ms in samples])
    return {
        'by_hosts': {
            str(hosts): {
                'plan_ms': median(ms for size, ms in samples if size == hosts),
                'largest_plan_ms': max(ms for size, ms in samples if size == hosts),
                **_roll_out_figures(fleets[hosts]),
            }
            for hosts in fleets
        },
        'largest_by_max_stopped': {
            str(limit): _roll_out_figures_with_limit(fleet(*FLEET_SIZES[-1]), limit)
            for limit in STOP_LIMITS
        },
        'plan_ms_fit': asdict(fit),
    }


def _roll_out_figures(configuration: Configuration) -> dict:
    stop_s_by_host = _stop_durations_s(configuration)
    plan = _budgets.plan_waves(configuration, FleetHealth(), stop_s_by_host)
    roll_out_s, peak, calls, call_ms = _roll_out(configuration, stop_s_by_host)
    wave_sizes = [len(wave.host_ids) for wave in plan.waves]
    return {
        'pools': len(configuration.pools_by_id),
        'waves': len(plan.waves),
        'refused': len(plan.refused),
        'largest_wave': max(wave_sizes),
        'one_by_one_h': sum(stop_s_by_host.values()) / 3600,
        'whole_waves_h': _whole_waves_s(plan.waves, stop_s_by_host) / 3600,
        'next_wave_h': roll_out_s / 3600,
        'next_wave_peak_stopped': peak,
        'next_wave_calls': calls,
        'next_wave_call_ms': call_ms,
    }


def _roll_out_figures_with_limit(
    configuration: Configuration, max_stopped: int
) -> dict:
    stop_s_by_host = _stop_durations_s(configuration)
    plan = _budgets.plan_waves(
        configuration, FleetHealth(), stop_s_by_host, max_stopped
    )
    roll_out_s, peak, _, _ = _roll_out(configuration, stop_s_by_host, max_stopped)
    return {
        'waves': len(plan.waves),
        'whole_waves_h': _whole_waves_s(plan.waves, stop_s_by_host) / 3600,
        'next_wave_h': roll_out_s / 3600,
        'next_wave_peak_stopped': peak,
    }


def _plan_ms(configuration: Configuration) -> float:
    started = time.process_time_ns()
    _budgets.plan_waves(configuration, FleetHealth(), configuration.hosts_by_id)
    return (time.process_time_ns() - started) / 1e6


def _stop_durations_s(configuration: Configuration) -> dict[str, float]:
    # With a fixed seed, each simulation of a fleet uses the same durations.
    generator = random.Random(3)
    return {
        host_id: generator.uniform(MIN_STOP_S, MAX_STOP_S)
        for host_id in configuration.hosts_by_id
    }


def _whole_waves_s(
    waves: tuple[_budgets.Wave, ...], stop_s_by_host: dict[str, float]
) -> float:
    """Returns the roll-out time if each wave waits for all hosts of the one before."""
    return sum(
        max(stop_s_by_host[host_id] for host_id in wave.host_ids) for wave in waves
    )


def _roll_out(
    configuration: Configuration, stop_s_by_host: dict[str, float], max_stopped: int = 0
) -> tuple[float, int, int, float]:
    """Simulates a plan until all its hosts have returned.

    Returns the duration in seconds, the peak number of stopped hosts, the number of
    calls of `next_wave` and the processor time of one call in milliseconds.
    """
    plan = MaintenancePlan(
        hosts=list(stop_s_by_host), state=PlanState.RUNNING, max_stopped=max_stopped
    )
    current = replace(configuration, maintenance_plans_by_id={PLAN_ID: plan})
    pending_returns: list[tuple[float, str]] = []
    now_s = 0.0
    peak = calls = spent_ns = 0
    while plan.state is PlanState.RUNNING:
        started = time.process_time_ns()
        wave = _budgets.next_wave(plan, current, FleetHealth())
        spent_ns += time.process_time_ns() - started
        calls += 1
        for host_id in wave.host_ids:
            stopped = HostState.MAINTENANCE
            current = _budgets.with_host_state(current, host_id, stopped)
            heapq.heappush(pending_returns, (now_s + stop_s_by_host[host_id], host_id))
        peak = max(peak, len(pending_returns))
        now_s, host_id = heapq.heappop(pending_returns)
        current = _budgets.return_host(current, host_id, PLAN_ID)
        plan = current.maintenance_plans_by_id[PLAN_ID]
    return now_s, peak, calls, spent_ns / calls / 1e6
