"""Decodes messages and items of the platform into the classes of dandelionknot.

Each kind of message is translated in one place.
"""

import re
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from dandelionknot.addresses import address_problem
from dandelionknot.errors import DecodeError
from dandelionknot.jobs._generated import (
    BackendReport,
    ClientAccount,
    EndedTask,
    EndReason,
    HoldReport,
    Host,
    JobConfiguration,
    JobSpec,
    PoolPolicy,
    Queue,
    Resources,
    RunningTask,
    StepSpec,
    UpkeepWave,
)
from dandelionknot.platform._generated import (
    WireAmounts,
    WireConfig,
    WireLists,
    WireMachine,
    WireRoute,
    WireServer,
    WireStep,
    WireSubmission,
    WireWave,
)

T = TypeVar('T')

# Most tasks of one job over all its occurrences. Every leader holds the state of all of
# them in memory, and their record has to fit into one value of the store.
MAX_TASKS = 4000
# Most braces of a submission. Those of 4000 steps, of the job and of a payload of 4000
# bytes are fewer; 100,000 steps that are decoded only to be refused need 30 MB.
MAX_BRACES = 10_000
# Most commas of a submission. A stored record of 1 MB has fewer list entries.
MAX_COMMAS = 333_000
# Most characters of a malformed row that a log line contains.
MAX_ROW_LOGGED = 100

# Largest amount or time in an entry or a job, up to which floats are exact. Larger ones
# could not be added or divided with others.
MAX_NUMBER = 2**53
# Characters of the id of a backend server, which is sent in a header.
ID_PATTERN = re.compile(r'[!-.0-~]+')

# States of a backend server in its registry entry.
READY = 'ready'
DRAINING = 'draining'


def decode(data: bytes, cls: type[T], where: str) -> Result[T, DecodeError]:
    """Decodes JSON into a wire class and checks types; errors contain `where`."""
    try:
        return Ok(msgspec.json.decode(data, type=cls))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Err(DecodeError(where=where, problem=str(error)))


def _resources(amounts: WireAmounts | WireStep) -> Resources:
    return Resources(
        cpu_millicores=amounts.cpu,
        memory_mb=amounts.mem_mb,
        accelerators=amounts.gpu,
    )


def decode_job_spec(data: bytes) -> Result[JobSpec, DecodeError]:
    """Decodes and validates a job that a caller submits."""
    if data.count(b'{') > MAX_BRACES or data.count(b',') > MAX_COMMAS:
        problem = 'more steps, or more steps to come after, than a job can have'
        return Err(DecodeError(where='submission', problem=problem))
    decoded = decode(data, WireSubmission, 'submission')
    if isinstance(decoded, Err):
        return decoded
    wire = decoded.ok_value
    problem = _step_problem(wire)
    if problem:
        return Err(DecodeError(where='submission', problem=problem))
    return Ok(
        JobSpec(
            payload=wire.spec,
            steps=[_step(step) for step in wire.steps],
            repeats=wire.times,
            first_due_unix_ms=int(wire.first_ms),
            interval_ms=int(wire.interval_ms),
        )
    )


def _step_problem(wire: WireSubmission) -> str:
    """Returns what is wrong with the steps of a job, or an empty text."""
    if not wire.steps:
        return 'no steps'
    times = (wire.times, wire.first_ms, wire.interval_ms)
    if min(times) < 0:
        return 'a number of occurrences or a time is negative'
    if max(times) > MAX_NUMBER:
        return f'a number of occurrences or a time is above {MAX_NUMBER}'
    for number, step in enumerate(wire.steps):
        if step.count < 1:
            return f'step {number} has no tasks'
        if any(not 0 <= earlier < number for earlier in step.after):
            return f'step {number} comes after a step that is not before it'
        if min(_amounts(step)) < 0:
            return f'step {number} has a negative amount'
        if max(_amounts(step)) > MAX_NUMBER:
            return f'step {number} has an amount above {MAX_NUMBER}'
    tasks = max(1, wire.times) * sum(step.count for step in wire.steps)
    if tasks > MAX_TASKS:
        # A number of more than 4300 digits cannot be converted to text.
        tasks = min(tasks, MAX_NUMBER)
        return f'the job has {tasks} tasks, and at most {MAX_TASKS} are possible'
    return ''


def _amounts(step: WireStep) -> tuple[float, ...]:
    return (
        step.cpu,
        step.mem_mb,
        step.gpu,
        step.est_ms,
        step.max_per_server,
        step.may_miss,
        step.latency_slo_ms,
    )


def _step(wire: WireStep) -> StepSpec:
    return StepSpec(
        task_count=wire.count,
        resources=_resources(wire),
        estimated_ms=int(wire.est_ms),
        after=wire.after,
        checkpoints=wire.checkpoint,
        gang=wire.gang,
        same_rack=wire.same_rack,
        required_label=wire.requires,
        preferred_rack=wire.affinity,
        max_per_host=wire.max_per_server,
        speculative=wire.speculative,
        long_running=wire.daemon,
        image=wire.image,
        latency_objective_ms=int(wire.latency_slo_ms),
        uses_idle_capacity=wire.fills,
        max_unavailable=wire.may_miss,
    )


def configuration(data: bytes) -> Result[JobConfiguration, DecodeError]:
    """Decodes the operators' configuration."""
    decoded = decode(data, WireConfig, 'configuration')
    if isinstance(decoded, Err):
        return decoded
    wire = decoded.ok_value
    return Ok(
        JobConfiguration(
            version=wire.version,
            queues=[_queue(route) for route in wire.routes],
            pools=[
                PoolPolicy(
                    name=service.name,
                    standby=service.standby,
                )
                for service in wire.services
            ],
            client_accounts=[
                ClientAccount(
                    name=tenant.name,
                    keys=tenant.keys,
                    weight=tenant.weight,
                    limit=_resources(tenant.cap),
                )
                for tenant in wire.tenants
            ],
        )
    )


def _queue(route: WireRoute) -> Queue:
    return Queue(
        name=route.name,
        host=route.host,
        path_prefix=route.prefix,
        service=route.service,
        priority=route.priority,
        max_attempts=route.attempts,
        stretch=route.stretch,
        objective_ms=int(route.objective_ms),
        open_to_all=route.public,
        needs_advice=route.advice is not None,
    )


def decode_backend_report(
    backend_id: str, data: bytes
) -> Result[BackendReport, DecodeError]:
    """Decodes the registry entry of a backend server.

    An entry with an unknown state, an address that is none, or a number out of range
    is an error, since other writers may have stored it.
    """
    where = f'entry of {backend_id}'
    if not ID_PATTERN.fullmatch(backend_id):
        return Err(DecodeError(where=where, problem='the key names no id'))
    decoded = decode(data, WireServer, where)
    if isinstance(decoded, Err):
        return decoded
    wire = decoded.ok_value
    problem = _entry_problem(wire)
    if problem:
        return Err(DecodeError(where=where, problem=problem))
    return Ok(
        BackendReport(
            backend_id=backend_id,
            born_ms=wire.born,
            entry_number=wire.seq,
            host_id=wire.machine,
            service=wire.service,
            address=wire.addr,
            availability_zone=wire.zone,
            draining=wire.state == DRAINING,
            room=_resources(wire.room),
            labels=wire.labels,
            cold_left_ms=int(wire.cold_left_ms),
            remaining_ms=int(wire.remaining_ms),
        )
    )


def _entry_problem(wire: WireServer) -> str:
    """Returns what is wrong with an entry, or an empty text."""
    if wire.state not in (READY, DRAINING):
        return f'state {wire.state[:MAX_ROW_LOGGED]!r} is not known'
    problem = address_problem(wire.addr)
    if problem:
        return problem
    room = wire.room
    numbers = (
        *(wire.born, wire.seq, wire.cold_left_ms, wire.remaining_ms),
        *(room.cpu, room.mem_mb, room.gpu),
    )
    if min(numbers) < 0 or max(numbers) > MAX_NUMBER:
        return f'a number is not between 0 and {MAX_NUMBER}'
    return ''


def wave(data: bytes) -> Result[UpkeepWave, DecodeError]:
    """Decodes the operators' order of a maintenance wave."""
    decoded = decode(data, WireWave, 'wave')
    if isinstance(decoded, Err):
        return decoded
    wire = decoded.ok_value
    return Ok(
        UpkeepWave(
            number=wire.wave,
            host_ids=wire.machines,
            within_s=wire.within_s,
            max_down=wire.cap,
        )
    )


def host(row: Any) -> Host:
    """Converts a row of the platform's host list.

    Raises `msgspec.ValidationError`, which is a `ValueError`, for a malformed row.
    """
    wire = msgspec.convert(row, WireMachine)
    return Host(
        host_id=wire.machine,
        pool=wire.pool,
        state=wire.state,
        availability_zone=wire.zone,
        backend_id=wire.id or '',
    )


def convert_hold_report(wire: WireLists) -> tuple[HoldReport, list[str]]:
    """Converts the lists of running and ended runs of a backend server.

    Ended runs are sorted by the number under which their end was reported. Malformed
    rows are left out; the second value describes each of them.
    """
    running, problems = convert_rows(wire.running, _running)
    ended, more_problems = convert_rows(wire.finished, _ended)
    ended.sort(key=lambda end: end.number)
    report = HoldReport(
        clock_ms=wire.clock_ms,
        born_ms=wire.born,
        running=running,
        ended=ended,
        complete=not (problems or more_problems),
    )
    return report, problems + more_problems


def convert_rows(
    rows: list[Any], convert: Callable[[Any], T]
) -> tuple[list[T], list[str]]:
    """Converts each row of a message, and describes those that are malformed."""
    converted, problems = [], []
    for row in rows:
        try:
            converted.append(convert(row))
        except (ValueError, TypeError, IndexError, OverflowError) as error:
            problems.append(f'{_row_text(row)}: {error}')
    return converted, problems


def _row_text(row: Any) -> str:
    try:
        return str(row)[:MAX_ROW_LOGGED]
    except RecursionError:
        return 'a deeply nested row'


def _running(row: list) -> RunningTask:
    """Converts a row of task, run, checkpoint, percentage of speed and reading."""
    return RunningTask(
        task_name=_checked(row[0], str),
        run=_checked(row[1], int),
        checkpoint=_checked(row[2] or '', str),
        percent=int(row[3]),
        reading=float(row[4]) if len(row) > 4 and row[4] is not None else 0.0,
    )


def _ended(row: list) -> EndedTask:
    """Converts a row of end number, task, run, reason of the end and checkpoint."""
    return EndedTask(
        number=_checked(row[0], int),
        task_name=_checked(row[1], str),
        run=_checked(row[2], int),
        reason=EndReason(row[3]),
        checkpoint=_checked(row[4] or '', str) if len(row) > 4 else '',
    )


def _checked(value: Any, cls: type[T]) -> T:
    """Returns a value of a row; raises `TypeError` for one of another type."""
    if not isinstance(value, cls) or isinstance(value, bool):
        raise TypeError(f'{value!r} is not of type {cls.__name__}')
    return value
