"""Builds a timeline of one subject, such as a job or a host, from log lines.

The log lines may come from several processes and are sorted by time. The timeline
also lists what is missing from it: expected events that were not found, and lines
that a process dropped to limit its log volume.
"""

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime

from dandelionknot.events import Event

TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'
# Fields whose value is the subject of a line.
SUBJECT_FIELDS = ('job_id', 'task', 'backend_id', 'host_id', 'wave', 'client_account')
COMMON_FIELDS = frozenset({'asctime', 'levelname', 'message', 'event', 'member_id'})
# Events that the timeline of an accepted job should contain, with the text to report
# if one is missing.
MISSING_TEXT_BY_JOB_EVENT = {
    Event.JOB_ACCEPTED: 'no line shows that the job was accepted',
    Event.TASK_STARTED: 'no line shows that a task of the job was started',
    Event.JOB_ENDED: 'no line shows that the job has ended',
}


@dataclass(slots=True, frozen=True)
class LogLine:
    """One parsed log line; `fields` has those outside of `COMMON_FIELDS`."""

    at: datetime
    member_id: str
    event: int
    message: str
    fields: dict


@dataclass(slots=True)
class Timeline:
    """The log lines about a subject, and a text for each thing that is missing."""

    lines: list[LogLine] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)


def parse_line(text: str) -> LogLine | None:
    """Parses a log line, skipping any prefix; returns None if it is not valid."""
    start = text.find('{')
    if start < 0:
        return None
    try:
        data = json.loads(text[start:])
        at = datetime.strptime(data['asctime'], TIME_FORMAT)
        event = int(data['event'])
    except (ValueError, KeyError, TypeError):
        return None
    return LogLine(
        at=at,
        member_id=str(data.get('member_id', '')),
        event=event,
        message=str(data.get('message', '')),
        fields={name: data[name] for name in data.keys() - COMMON_FIELDS},
    )


def build_timeline(subject: str, texts: Iterable[str]) -> Timeline:
    """Returns the lines about a subject, sorted by time, and what is missing."""
    lines = [line for line in map(parse_line, texts) if line is not None]
    lines.sort(key=lambda line: line.at)
    timeline = Timeline([line for line in lines if _is_about(line, subject)])
    if not timeline.lines:
        timeline.missing.append(f'no log line is about {subject}')
        return timeline
    if any(line.fields.get('job_id') == subject for line in timeline.lines):
        events = {line.event for line in timeline.lines}
        is_refused = Event.JOB_REFUSED in events and Event.JOB_ACCEPTED not in events
        if not is_refused:
            timeline.missing += [
                text
                for event, text in MISSING_TEXT_BY_JOB_EVENT.items()
                if event not in events
            ]
    timeline.missing += _dropped_lines_texts(
        lines, timeline.lines[0].at, timeline.lines[-1].at
    )
    return timeline


def _is_about(line: LogLine, subject: str) -> bool:
    for name in SUBJECT_FIELDS:
        value = str(line.fields.get(name, ''))
        if value == subject or (name == 'task' and value.startswith(f'{subject}.')):
            return True
    # The loss of a backend server is also about the tasks that may have caused it.
    return any(
        f'{task}.'.startswith(f'{subject}.')
        for task in line.fields.get('recent_tasks', [])
    )


def _dropped_lines_texts(
    lines: list[LogLine], first: datetime, last: datetime
) -> list[str]:
    """Returns a text for each process and event with lines dropped since `first`."""
    counts: Counter[tuple[str, str]] = Counter()
    for line in lines:
        if line.event == Event.LINES_LEFT_OUT and first <= line.at:
            for event_number, count in line.fields.get('lines_by_event', {}).items():
                counts[line.member_id, event_number] += count
    texts = []
    for (member_id, event_number), count in sorted(counts.items()):
        name = Event(int(event_number)).name.lower().replace('_', ' ')
        texts.append(f'{member_id} dropped {count} lines of "{name}"')
    return texts


def timeline_lines(timeline: Timeline) -> list[str]:
    """Formats a timeline, with one text for each log line and each missing item."""
    shown = []
    for line in timeline.lines:
        offset = (line.at - timeline.lines[0].at).total_seconds()
        details = ' '.join(f'{k}={v}' for k, v in sorted(line.fields.items()))
        shown.append(f'{offset:+9.3f} s {line.member_id} {line.message}: {details}')
    return shown + [f'missing: {text}' for text in timeline.missing]
