"""Objects that the tasks of an entry host share."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from dandelionknot.clock import unix_ms
from dandelionknot.journal import Decision, Journal, Subject
from dandelionknot.metrics import Metrics
from dandelionknot.settings import EntrySettings


@dataclass(slots=True)
class Context:
    """Settings, random number source, metrics and journal of an entry host."""

    settings: EntrySettings
    random: Callable[[], float]
    metrics: Metrics
    journal: Journal = field(default_factory=Journal)

    @classmethod
    def from_settings(cls, settings: EntrySettings) -> 'Context':
        """Returns a new context with an empty journal."""
        return cls(
            settings=settings,
            random=random.SystemRandom().random,
            metrics=Metrics.from_settings(settings.statsd),
        )

    def explain(
        self, subject: Subject, subject_id: str, what: str, reason: str = ''
    ) -> None:
        """Records a decision in the journal."""
        self.journal.record(subject, subject_id, Decision(unix_ms(), what, reason))
