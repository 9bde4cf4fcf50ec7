"""Bounded journal of decisions, which the `why` command shows."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

# Number of subjects whose decisions are retained.
MAX_SUBJECTS = 5000
# Number of decisions retained for each subject.
MAX_ENTRIES_PER_SUBJECT = 50


class Subject(StrEnum):
    """Kind of object that a decision is about."""

    REQUEST = 'request'
    HOST = 'host'
    TEAM = 'team'
    CHANGE = 'change'
    PLAN = 'plan'
    MEMBER = 'member'


@dataclass(frozen=True, slots=True)
class Decision:
    """A decision: its Unix time in milliseconds, what was decided, and the reason."""

    unix_ms: int
    what: str
    reason: str


@dataclass(slots=True)
class Journal:
    """The latest decisions of each subject.

    Beyond `MAX_SUBJECTS`, the subject without a new decision for the longest time
    is dropped. The decisions are stored in lists, since most subjects have only a
    few and an empty deque takes 760 bytes.
    """

    decisions_by_subject: OrderedDict[tuple[Subject, str], list[Decision]] = field(
        default_factory=OrderedDict
    )

    def record(self, subject: Subject, subject_id: str, decision: Decision) -> None:
        """Adds a decision about a subject and drops what exceeds the limits."""
        key = (subject, subject_id)
        decisions = self.decisions_by_subject.get(key)
        if decisions is None:
            decisions = []
            self.decisions_by_subject[key] = decisions
        decisions.append(decision)
        if len(decisions) > MAX_ENTRIES_PER_SUBJECT:
            del decisions[0]
        self.decisions_by_subject.move_to_end(key)
        if len(self.decisions_by_subject) > MAX_SUBJECTS:
            self.decisions_by_subject.popitem(last=False)

    def why(self, subject: Subject, subject_id: str) -> list[Decision]:
        """Returns the decisions about a subject, oldest first."""
        return list(self.decisions_by_subject.get((subject, subject_id), ()))
