"""Log entries as values.

The scheduler does not write to the log. It collects an entry for each decision, and
the process writes the entries.
"""

from dataclasses import dataclass, field
from typing import Any

from dandelionknot.events import Event


@dataclass(slots=True, frozen=True)
class LogEntry:
    """A decision of the scheduler with the inputs that led to it."""

    event: Event
    fields: dict[str, Any] = field(default_factory=dict)
