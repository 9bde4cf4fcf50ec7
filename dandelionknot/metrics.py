"""Counters sent by statsd, and histograms for each team and class."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

import statsd
from hdrh.histogram import HdrHistogram

from dandelionknot.settings import StatsdSettings

LOWEST_MS = 1
HIGHEST_MS = 24 * 3600 * 1000
SIGNIFICANT_DIGITS = 2


class Counter(StrEnum):
    """Names of the counters."""

    REQUESTS = 'requests'
    REFUSALS = 'refusals'
    ANSWERS = 'answers'
    STARTS = 'starts'
    RETRIES = 'retries'
    UNKNOWN_OUTCOMES = 'unknown_outcomes'
    PEER_MESSAGES_MALFORMED = 'peer_messages_malformed'
    PEERS_REFUSED = 'peers_refused'
    FORWARDED = 'forwarded'
    CLAIM_WRITES = 'claim_writes'
    GRANT_WRITES = 'grant_writes'
    WORK_WRITES = 'work_writes'
    WORK_DELETIONS = 'work_deletions'
    WORK_NOT_KEPT = 'work_not_kept'
    WORK_TAKEN_OVER = 'work_taken_over'
    TICKS_LATE = 'ticks_late'


MEANING_BY_COUNTER: dict[Counter, str] = {
    Counter.REQUESTS: 'Requests that arrived from callers or peers.',
    Counter.REFUSALS: 'Requests that were refused.',
    Counter.ANSWERS: 'Whole answers given.',
    Counter.STARTS: 'Starts sent to backend servers.',
    Counter.RETRIES: 'Attempts after the first.',
    Counter.UNKNOWN_OUTCOMES: 'Requests whose outcome could not be settled.',
    Counter.PEER_MESSAGES_MALFORMED: 'Peer messages that were dropped.',
    Counter.PEERS_REFUSED: 'Peer connections without the peer secret.',
    Counter.FORWARDED: 'Requests passed to their slice owner.',
    Counter.CLAIM_WRITES: 'Claim segments written to the platform.',
    Counter.GRANT_WRITES: 'Grant records written to the platform.',
    Counter.WORK_WRITES: 'Segments of asynchronous work written to the platform.',
    Counter.WORK_DELETIONS: 'Segments of asynchronous work deleted again.',
    Counter.WORK_NOT_KEPT: 'Asynchronous requests refused as not kept.',
    Counter.WORK_TAKEN_OVER: 'Asynchronous requests read from a former owner.',
    Counter.TICKS_LATE: 'Ticks of the dispatcher that came over 1 s late.',
}


class Measure(StrEnum):
    """What a histogram measures, in milliseconds from arrival."""

    START_DELAY = 'start_delay_ms'
    ANSWER_TIME = 'answer_time_ms'


@dataclass(frozen=True, slots=True)
class HistogramKey:
    """Which requests a histogram covers."""

    measure: Measure
    team: str
    priority: str


@dataclass(slots=True)
class Metrics:
    """Counters and histograms of one process."""

    send_count: Callable[[str], None]
    send_timing: Callable[[str, int], None]
    counts_by_name: dict[str, int] = field(default_factory=dict)
    histograms_by_key: dict[HistogramKey, HdrHistogram] = field(default_factory=dict)

    @classmethod
    def from_settings(cls, settings: StatsdSettings | None) -> 'Metrics':
        """Sends to a statsd server if the settings name one."""
        if settings is None:
            return cls(lambda name: None, lambda name, value: None)
        client = statsd.StatsClient(
            settings.host, settings.port, prefix=settings.prefix
        )
        return cls(client.incr, client.timing)

    def count(self, name: str) -> None:
        """Adds one to a counter."""
        self.counts_by_name[name] = self.counts_by_name.get(name, 0) + 1
        self.send_count(name)

    def observe(self, key: HistogramKey, value_ms: int) -> None:
        """Records a duration for a team and class."""
        histogram = self.histograms_by_key.get(key)
        if histogram is None:
            histogram = HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
            self.histograms_by_key[key] = histogram
        histogram.record_value(max(LOWEST_MS, min(value_ms, HIGHEST_MS)))
        self.send_timing(f'{key.measure}.{key.team}.{key.priority}', value_ms)
