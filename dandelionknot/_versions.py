"""Versions of the configuration: which to act on, and how to make the next one."""

from collections.abc import Callable
from dataclasses import dataclass, fields, replace
from typing import TypeAlias

from result import Err, Ok, Result

from dandelionknot.configuration import Configuration
from dandelionknot.messages import Refusal

# A write whose answer was lost is recognised while at most this many changes
# followed it; the schema allows no longer list.
MAX_CHANGE_IDS = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class Adopt:
    """The offered configuration is newer and is acted on from now on."""

    configuration: Configuration


@dataclass(frozen=True, slots=True, kw_only=True)
class Keep:
    """The known configuration stays; the offered one says the same."""

    configuration: Configuration


@dataclass(frozen=True, slots=True, kw_only=True)
class Republish:
    """The offered configuration is older; the known one is written back.

    The write expects the revision at which the older one was read, so it has no
    effect if the platform has moved on since.
    """

    configuration: Configuration


@dataclass(frozen=True, slots=True, kw_only=True)
class Diverged:
    """Two histories exist: an invariant is broken and operators must choose.

    The known configuration stays. Only field names are given, since values may
    hold key digests.
    """

    known_version: int
    offered_version: int
    fields: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """A change that was based on a version which is not the latest."""

    base_version: int
    current_version: int


Edit: TypeAlias = Callable[[Configuration], Result[Configuration, Conflict | Refusal]]


def adopt(
    known: Configuration | None, offered: Configuration
) -> Adopt | Keep | Republish | Diverged:
    """Decides what to do with a configuration from the platform or a peer.

    An older one from a peer is answered with the known one instead of a write.
    """
    if known is None:
        return Adopt(configuration=offered)
    if offered.version < known.version:
        return Republish(configuration=known)
    if offered.version == known.version:
        if offered == known:
            return Keep(configuration=known)
        return _diverged(known, offered)
    if _is_successor(known, offered):
        return Adopt(configuration=offered)
    return _diverged(known, offered)


def next_version(
    current: Configuration, change_id: str, edit: Edit
) -> Result[Configuration, Conflict | Refusal]:
    """Returns the configuration to write, with the change id and version set.

    A change that was applied before gives the current configuration itself, so
    a repeated attempt after a lost answer changes nothing. An edit cannot set
    the version or the change ids.
    """
    if already_applied(current, change_id):
        return Ok(current)
    edited = edit(current)
    if isinstance(edited, Err):
        return edited
    change_ids = [*current.change_ids, change_id][-MAX_CHANGE_IDS:]
    version = current.version + 1
    return Ok(replace(edited.ok_value, version=version, change_ids=change_ids))


def replace_base(base_version: int, replacement: Configuration) -> Edit:
    """Returns an edit that replaces everything if the base is still current."""

    def edit(current: Configuration) -> Result[Configuration, Conflict | Refusal]:
        if current.version == base_version:
            return Ok(replacement)
        conflict = Conflict(base_version=base_version, current_version=current.version)
        return Err(conflict)

    return edit


def already_applied(configuration: Configuration, change_id: str) -> bool:
    """Tells whether a change is part of a configuration."""
    return change_id in configuration.change_ids


def version_of_change(configuration: Configuration, change_id: str) -> int | None:
    """Returns the version that a change made, or null if it is not known.

    Every version adds one change id, so the last id belongs to the version.
    """
    if not already_applied(configuration, change_id):
        return None
    later = len(configuration.change_ids) - 1
    return configuration.version - later + configuration.change_ids.index(change_id)


def _is_successor(known: Configuration, offered: Configuration) -> bool:
    """Tells whether the known version is in the history of the offered one.

    After more changes than the list holds this cannot be told and is assumed.
    """
    gap = offered.version - known.version
    if not known.change_ids or gap >= MAX_CHANGE_IDS:
        return True
    position = len(offered.change_ids) - 1 - gap
    return position >= 0 and offered.change_ids[position] == known.change_ids[-1]


def _diverged(known: Configuration, offered: Configuration) -> Diverged:
    names = tuple(
        each.name
        for each in fields(Configuration)
        if each.name != 'version'
        and getattr(known, each.name) != getattr(offered, each.name)
    )
    return Diverged(
        known_version=known.version, offered_version=offered.version, fields=names
    )
