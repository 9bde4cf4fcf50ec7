"""Generates `docs/events.md` and `docs/metrics.md` from the tables in the code.

Run `python -m tools.generate_catalogues` after changing the tables. With `--check`
it only compares the committed pages with the tables, as CI does.
"""

import logging
import sys

from dandelionknot.events import INFO_BY_EVENT, Event
from dandelionknot.metrics import MEANING_BY_COUNTER, Counter, Measure
from tools.outputs import ROOT, write_or_check

DOCS = ROOT / 'docs'

MEANING_BY_MEASURE = {
    Measure.START_DELAY: 'Time from arrival until the first start was sent.',
    Measure.ANSWER_TIME: 'Time from arrival until the answer was given.',
}


def events_page() -> str:
    """Returns the page that lists the log events."""
    lines = [
        '# Log events',
        '',
        'Every log line is one JSON object on standard error with `event` (the',
        'number below), `message`, `levelname`, `asctime` and the fields of the',
        'event. Keys, tokens and payloads are never logged. This page is generated',
        'from `dandelionknot/events.py`.',
        '',
        '| Number | Name | Level | Meaning | What to do |',
        '| --- | --- | --- | --- | --- |',
    ]
    for event in Event:
        info = INFO_BY_EVENT[event]
        name = event.name.lower()
        level = logging.getLevelName(info.level)
        lines.append(
            f'| {int(event)} | {name} | {level} | {info.meaning} | {info.action} |'
        )
    return '\n'.join(lines) + '\n'


def metrics_page() -> str:
    """Returns the page that lists the counters and histograms."""
    lines = [
        '# Metrics',
        '',
        'Counters and timings are sent by statsd if the settings name a server.',
        'Names start with the `prefix` of the settings. This page is generated from',
        '`dandelionknot/metrics.py`.',
        '',
        '## Counters',
        '',
        '| Name | Meaning |',
        '| --- | --- |',
    ]
    lines += [f'| `{name}` | {MEANING_BY_COUNTER[name]} |' for name in Counter]
    lines += [
        '',
        '## Histograms',
        '',
        'Timings are named `MEASURE.TEAM.CLASS`, where the class is the priority',
        '`urgent` or `overnight`. Each entry host keeps a histogram of each, with',
        'two significant digits, and shows them at `GET /v1/histograms` of the',
        'operator address. They can be added up over entry hosts.',
        '',
        '| Measure | Meaning |',
        '| --- | --- |',
    ]
    lines += [f'| `{name}` | {MEANING_BY_MEASURE[name]} |' for name in Measure]
    return '\n'.join(lines) + '\n'


def main() -> int:
    """Writes the pages, or only compares them with `--check`."""
    text_by_path = {
        DOCS / 'events.md': events_page(),
        DOCS / 'metrics.md': metrics_page(),
    }
    return write_or_check(text_by_path, 'python -m tools.generate_catalogues')


if __name__ == '__main__':
    sys.exit(main())
