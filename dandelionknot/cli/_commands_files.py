"""Commands that read configuration files: check, diff, apply, voters propose."""

import asyncio
from pathlib import Path

from result import Err, Ok, Result

from dandelionknot.cli._command_options import (
    CHANGE_OPTIONS,
    OUTPUT_OPTIONS,
    REMOTE_OPTIONS,
    CommandCall,
    command,
    endpoint,
)
from dandelionknot.cli._command_outcomes import Outcome, failed_call, failure
from dandelionknot.cli._commands_changes import send_change
from dandelionknot.cli._operator_client import OperatorError, http_operator_port
from dandelionknot.configuration import (
    Configuration,
    ConfigurationChange,
    ConfigurationFault,
    OverlayFile,
    diff,
    load_base,
    load_overlay,
    merge,
)
from dandelionknot.exit_status import ExitStatus
from dandelionknot.operators import Edit, EditKind, differences_from_files
from dandelionknot.operators._replacement import replace_configuration

BASE_NAME = 'base.yaml'
OVERLAY_PATTERN = 'overlays/*.yaml'

LoadResult = Result[Configuration, list[ConfigurationFault]]


@command(OUTPUT_OPTIONS)
def check(call: CommandCall, base: str, *overlays: str) -> Outcome:
    """Checks a base file with its overlays, or a directory that contains them."""
    loaded = load_files(base, overlays)
    if isinstance(loaded, Err):
        return _faults_outcome(loaded.err_value)
    configuration = loaded.ok_value
    line = (
        f'valid: {len(configuration.hosts_by_id)} hosts, '
        f'{len(configuration.services_by_id)} services, '
        f'{len(configuration.teams_by_id)} teams, '
        f'{len(configuration.availability_zones_by_id)} availability zones'
    )
    return Outcome(lines=[line], data=[])


@command(REMOTE_OPTIONS)
def diff_files(
    call: CommandCall, base: str, *overlays: str, previous: str = ''
) -> Outcome:
    """Shows what files would change in the running fleet or in --previous files."""
    loaded = load_files(base, overlays)
    if isinstance(loaded, Err):
        return _faults_outcome(loaded.err_value)
    if not previous:
        return _diff_running(call, loaded.ok_value)
    old = load_files(previous, ())
    if isinstance(old, Err):
        return _faults_outcome(old.err_value)
    return _differences_outcome(diff(old.ok_value, loaded.ok_value), [])


@command(CHANGE_OPTIONS)
def apply(call: CommandCall, base: str, *overlays: str) -> Outcome:
    """Applies the configuration of files to the whole fleet."""
    loaded = load_files(base, overlays)
    if isinstance(loaded, Err):
        return _faults_outcome(loaded.err_value)
    edit = Edit(kind=EditKind.APPLY_CONFIGURATION, configuration=loaded.ok_value)
    return send_change(call, edit)


@command(CHANGE_OPTIONS)
def voters_propose(
    call: CommandCall, proposal_id: str, base: str, *overlays: str
) -> Outcome:
    """Proposes the co-operatives and voters of files to the current voters."""
    loaded = load_files(base, overlays)
    if isinstance(loaded, Err):
        return _faults_outcome(loaded.err_value)
    edit = Edit(
        kind=EditKind.PROPOSE_VOTERS,
        proposal_id=proposal_id,
        cooperatives_by_id=loaded.ok_value.cooperatives_by_id,
    )
    return send_change(call, edit)


def load_files(base: str, overlays: tuple[str, ...]) -> LoadResult:
    """Loads and merges files; a directory stands for its base file and overlays."""
    base_path = Path(base)
    paths = [Path(overlay) for overlay in overlays]
    if base_path.is_dir() and not paths:
        paths = sorted(base_path.glob(OVERLAY_PATTERN))
        base_path = base_path / BASE_NAME
    loaded = load_base(base_path)
    files: list[OverlayFile] = []
    faults = loaded.err_value if isinstance(loaded, Err) else []
    for path in paths:
        overlay = load_overlay(path)
        if isinstance(overlay, Ok):
            files.append(overlay.ok_value)
        else:
            faults = [*faults, *overlay.err_value]
    if isinstance(loaded, Ok) and not faults:
        return merge(loaded.ok_value, files)
    return Err(faults)


def _faults_outcome(faults: list[ConfigurationFault]) -> Outcome:
    count = f'{len(faults)} faults' if len(faults) > 1 else '1 fault'
    return Outcome(
        status=ExitStatus.INVALID_INPUT,
        lines=[str(fault) for fault in faults],
        data=faults,
        error=f'the configuration has {count}',
    )


def _diff_running(call: CommandCall, offered: Configuration) -> Outcome:
    target = endpoint(call)
    if isinstance(target, Err):
        return failure(ExitStatus.USAGE, target.err_value)
    port = http_operator_port(target.ok_value)

    async def fetch_configuration() -> Result[Configuration, OperatorError]:
        return await port.configuration()

    running = asyncio.run(fetch_configuration())
    if isinstance(running, Err):
        return failed_call(running.err_value)
    combined = replace_configuration(running.ok_value, offered)
    if isinstance(combined, Err):
        return failure(ExitStatus.REFUSED, combined.err_value.message)
    return _differences_outcome(
        diff(running.ok_value, combined.ok_value),
        differences_from_files(offered, combined.ok_value),
    )


def _differences_outcome(
    changes: list[ConfigurationChange], overridden: list[ConfigurationChange]
) -> Outcome:
    lines = [str(change) for change in changes] or ['no changes']
    lines += [
        f'differs from the files (files -> in force): {change}' for change in overridden
    ]
    return Outcome(lines=lines, data=changes)
