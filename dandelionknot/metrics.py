"""Counters sent to statsd, and latency histograms by team and priority."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

import statsd
from hdrh.histogram import HdrHistogram

from dandelionknot.settings import StatsdSettings

# Range and resolution of the histograms; a duration outside of the range is recorded
# as the nearest limit.
HISTOGRAM_MIN_MS = 1
HISTOGRAM_MAX_MS = 24 * 3600 * 1000
HISTOGRAM_SIGNIFICANT_DIGITS = 2


class Counter(StrEnum):
    """Name of a counter."""

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
    CLIENTS_LIMITED = 'clients_limited'


MEANING_BY_COUNTER: dict[Counter, str] = {
    Counter.REQUESTS: 'Requests that arrived from callers or peers.',
    Counter.REFUSALS: 'Requests that were refused.',
    Counter.ANSWERS: 'Requests that ended with an answer from their task.',
    Counter.STARTS: 'Starts sent to backend servers.',
    Counter.RETRIES: 'Attempts of a request after its first.',
    Counter.UNKNOWN_OUTCOMES: 'Requests whose outcome could not be determined.',
    Counter.PEER_MESSAGES_MALFORMED: 'Malformed peer messages that were dropped.',
    Counter.PEERS_REFUSED: 'Peer connections closed because the secret was not proved.',
    Counter.FORWARDED: 'Requests forwarded to the owner of their slice.',
    Counter.CLAIM_WRITES: 'Writes of claim segments to the platform.',
    Counter.GRANT_WRITES: 'Writes of grant records to the platform.',
    Counter.WORK_WRITES: 'Writes of asynchronous-request segments.',
    Counter.WORK_DELETIONS: 'Deletions of asynchronous-request segments.',
    Counter.WORK_NOT_KEPT: 'Asynchronous requests that could not be stored.',
    Counter.WORK_TAKEN_OVER: 'Asynchronous requests taken over from a former owner.',
    Counter.TICKS_LATE: 'Ticks of the dispatcher that came more than 1 s late.',
    Counter.CLIENTS_LIMITED: 'Log lines of event 8013, one a second by port and limit.',
}


class Measure(StrEnum):
    """Duration that a histogram records, in milliseconds from arrival."""

    START_DELAY = 'start_delay_ms'
    ANSWER_TIME = 'answer_time_ms'


@dataclass(frozen=True, slots=True)
class HistogramKey:
    """Duration, team and priority that a histogram covers."""

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
        """Returns metrics that are sent to statsd if the settings name a server."""
        if settings is None:
            return cls(lambda name: None, lambda name, value: None)
        client = statsd.StatsClient(
            settings.host, settings.port, prefix=settings.prefix
        )
        return cls(client.incr, client.timing)

    def count(self, name: str) -> None:
        """Increments a counter."""
        self.counts_by_name[name] = self.counts_by_name.get(name, 0) + 1
        self.send_count(name)

    def observe(self, key: HistogramKey, value_ms: int) -> None:
        """Records a duration in a histogram and sends it as a statsd timing."""
        histogram = self.histograms_by_key.get(key)
        if histogram is None:
            histogram = HdrHistogram(
                HISTOGRAM_MIN_MS, HISTOGRAM_MAX_MS, HISTOGRAM_SIGNIFICANT_DIGITS
            )
            self.histograms_by_key[key] = histogram
        histogram.record_value(max(HISTOGRAM_MIN_MS, min(value_ms, HISTOGRAM_MAX_MS)))
        self.send_timing(f'{key.measure}.{key.team}.{key.priority}', value_ms)
