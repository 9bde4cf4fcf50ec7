"""Temporary."""

from dataclasses import dataclass, replace

from result import Ok


@dataclass(frozen=True, slots=True)
class Adopt:
    pass


@dataclass(frozen=True, slots=True)
class Keep:
    pass


@dataclass(frozen=True, slots=True)
class Republish:
    pass


def adopt(known, offered):
    if known is None or offered.version > known.version:
        return Adopt()
    return Republish() if offered.version < known.version else Keep()


def already_applied(configuration, change_id):
    return change_id in configuration.change_ids


def next_version(current, change_id, edit):
    new = edit(current)
    return Ok(
        replace(
            new,
            version=current.version + 1,
            change_ids=[*current.change_ids, change_id][-64:],
        )
    )
