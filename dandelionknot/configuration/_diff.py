"""Compares two configurations and lists the differences as typed changes."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, fields
from enum import Enum, StrEnum
from typing import Any

from dandelionknot._generated_classes import Configuration

# Sections that are compared, with the name of an entry of each in the output. The
# version and the change ids are not compared: they differ after every write.
LABELS_BY_SECTION = {
    'sites_by_id': 'site',
    'availability_zones_by_id': 'availability zone',
    'pools_by_id': 'pool',
    'hosts_by_id': 'host',
    'services_by_id': 'service',
    'teams_by_id': 'team',
    'cooperatives_by_id': 'co-operative',
    'limit_proposals_by_id': 'limit proposal',
    'voters_proposals_by_id': 'voters proposal',
    'moves_by_host': 'move of host',
    'maintenance_plans_by_id': 'maintenance plan',
}
KEYS_FIELD = 'keys_by_id'


class ChangeKind(StrEnum):
    """What happened to an entry or a field."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationChange:
    """One difference; `field`, `old` and `new` are set only for a changed field."""

    kind: ChangeKind
    subject: str
    field: str = ''
    old: str = ''
    new: str = ''

    def __str__(self) -> str:
        """Formats the change as one line, such as `host a: slots 8 -> 16`."""
        if self.field:
            return f'{self.subject}: {self.field} {self.old} -> {self.new}'
        return f'{self.subject}: {self.kind}'


def diff(old: Configuration, new: Configuration) -> list[ConfigurationChange]:
    """Returns the changes that turn the old configuration into the new one.

    A change of a key contains only the id of the key, never its salt or digest.
    """
    changes = list(_field_changes('fleet bounds', old.bounds, new.bounds))
    for section, label in LABELS_BY_SECTION.items():
        changes.extend(
            _entry_changes(label, getattr(old, section), getattr(new, section))
        )
    return changes


def _entry_changes(
    label: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[ConfigurationChange]:
    for name in sorted(old.keys() | new.keys()):
        subject = f'{label} {name}'
        if name not in old:
            yield ConfigurationChange(kind=ChangeKind.ADDED, subject=subject)
            yield from _key_changes(subject, {}, _keys(new[name]))
        elif name not in new:
            yield ConfigurationChange(kind=ChangeKind.REMOVED, subject=subject)
        else:
            yield from _field_changes(subject, old[name], new[name])


def _keys(entry: Any) -> Mapping[str, Any]:
    return getattr(entry, KEYS_FIELD, {})


def _field_changes(subject: str, old: Any, new: Any) -> Iterator[ConfigurationChange]:
    for item in fields(old):
        before = getattr(old, item.name)
        after = getattr(new, item.name)
        if item.name == KEYS_FIELD:
            yield from _key_changes(subject, before, after)
        elif before != after:
            yield ConfigurationChange(
                kind=ChangeKind.CHANGED,
                subject=subject,
                field=item.name,
                old=_format_value(before),
                new=_format_value(after),
            )


def _key_changes(
    subject: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[ConfigurationChange]:
    for key_id in sorted(old.keys() | new.keys()):
        key = f'{subject}: key {key_id}'
        if key_id not in old:
            yield ConfigurationChange(kind=ChangeKind.ADDED, subject=key)
        elif key_id not in new:
            yield ConfigurationChange(kind=ChangeKind.REMOVED, subject=key)
        elif old[key_id] != new[key_id]:
            yield ConfigurationChange(kind=ChangeKind.CHANGED, subject=key)


def _format_value(value: Any) -> str:
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, list):
        return '[' + ', '.join(map(str, value)) + ']'
    return str(value)
