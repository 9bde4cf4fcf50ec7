"""Operators' messages, edits of the configuration and the errors of an edit."""

from dandelionknot._generated_classes import (
    ChangeOutcome,
    ChangeReport,
    ChangeRequest,
    Edit,
    EditKind,
    FleetStatus,
    HistogramReport,
    HistogramSummary,
    HostCondition,
    HostStatus,
    JournalEntry,
    MemberStatus,
    TaskStatus,
    WhyKind,
    WhyReport,
)
from dandelionknot.operators._edits import (
    EditDecisions,
    EditError,
    EditErrorKind,
    apply_edit,
)
from dandelionknot.operators._replacement import differences_from_files

__all__ = [
    'ChangeOutcome',
    'ChangeReport',
    'ChangeRequest',
    'Edit',
    'EditError',
    'EditErrorKind',
    'EditKind',
    'FleetStatus',
    'HistogramReport',
    'HistogramSummary',
    'HostCondition',
    'HostStatus',
    'JournalEntry',
    'MemberStatus',
    'EditDecisions',
    'TaskStatus',
    'WhyKind',
    'WhyReport',
    'apply_edit',
    'differences_from_files',
]
