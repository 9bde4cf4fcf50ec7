"""Decisions as values, for the log.

The scheduler has no output of its own; it leaves a note for each decision and
the process writes them.
"""

from dataclasses import dataclass, field
from typing import Any

from dandelionknot.events import Event


@dataclass(slots=True, frozen=True)
class Note:
    """One decision with the inputs that led to it."""

    event: Event
    fields: dict[str, Any] = field(default_factory=dict)
