"""Versions of the configuration, which only increase and include each change once."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from dandelionknot.configuration import Configuration

# Newest change ids in a configuration, by which a repeated change is recognised.
MAX_CHANGE_IDS = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class Adopt:
    """The offered configuration is newer and takes effect."""

    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class KeepCurrent:
    """The known configuration stays in effect.

    `differs` means that the offered one has the same version but other content.
    """

    version: int
    differs: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class Republish:
    """The offered configuration is older; the known one must be written again."""

    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """An edit that cannot be applied to the current version."""

    version: int
    message: str


def adopt(
    known: Configuration | None, offered: Configuration
) -> Adopt | KeepCurrent | Republish:
    """Decides what to do with a configuration that the platform or a peer offers.

    Compare-and-swap never produces two different documents of one version. If they
    occur, the known one stays in effect and the difference is reported.
    """
    if known is None or offered.version > known.version:
        return Adopt(version=offered.version)
    if offered.version < known.version:
        return Republish(version=known.version)
    return KeepCurrent(version=known.version, differs=offered != known)


def already_applied(configuration: Configuration, change_id: str) -> bool:
    """Returns whether a configuration includes a change.

    Only the last `MAX_CHANGE_IDS` changes are recognised.
    """
    return change_id in configuration.change_ids


def next_version(
    current: Configuration,
    change_id: str,
    edit: Callable[[Configuration], Configuration],
) -> Result[Configuration, Conflict]:
    """Returns the next version, which is the current one with an edit applied."""
    if already_applied(current, change_id):
        message = f'change {change_id!r} is already part of version {current.version}'
        return Err(Conflict(version=current.version, message=message))
    change_ids = [*current.change_ids, change_id][-MAX_CHANGE_IDS:]
    edited = edit(current)
    return Ok(replace(edited, version=current.version + 1, change_ids=change_ids))
