"""Guards against timelines that hide the order or the absence of log lines."""

import json
import unittest

from dandelionknot.cli._explain import build_timeline, timeline_lines
from dandelionknot.events import Event


def line(at, event, member='edge-1', prefix='', **fields):
    """Returns a log line in the format that a manager writes."""
    data = {
        'asctime': f'2026-12-04 10:00:{at}',
        'event': int(event),
        'message': event.name.lower().replace('_', ' '),
        'member_id': member,
        **fields,
    }
    return prefix + json.dumps(data)


class ExplainTest(unittest.TestCase):
    def test_lines_of_several_hosts_come_in_order_of_time(self):
        """Guards against a timeline in the order of the files instead of time."""
        texts = [
            line('02,000', Event.JOB_ENDED, job_id='j', phase='done'),
            line('01,500', Event.TASK_STARTED, job_id='j', task='j.0.0.0'),
            'not json',
            line('01,000', Event.JOB_ACCEPTED, 'edge-2', '1.0 edge-2 ', job_id='j'),
            line('01,200', Event.JOB_ACCEPTED, job_id='other'),
        ]
        timeline = build_timeline('j', texts)
        self.assertEqual(
            [shown.split(':')[0] for shown in timeline_lines(timeline)],
            [
                '   +0.000 s edge-2 job accepted',
                '   +0.500 s edge-1 task started',
                '   +1.000 s edge-1 job ended',
            ],
        )

    def test_missing_lines_are_reported(self):
        """Guards against an incomplete timeline that looks complete."""
        texts = [
            line('01,000', Event.JOB_ACCEPTED, job_id='j'),
            line('02,000', Event.LINES_LEFT_OUT, lines_by_event={'8105': 12}),
        ]
        missing = build_timeline('j', texts).missing
        self.assertIn('no line shows that a task of the job was started', missing)
        self.assertIn('edge-1 dropped 12 lines of "task started"', missing)

    def test_a_refused_job_has_no_missing_parts(self):
        """Guards against reporting lines as missing that a refused job never has."""
        timeline = build_timeline('j', [line('01,000', Event.JOB_REFUSED, job_id='j')])
        self.assertEqual(timeline.missing, [])

    def test_a_task_a_host_and_a_wave_have_timelines(self):
        """Guards against timelines that work for jobs only."""
        texts = [
            line('01,000', Event.TASK_STARTED, job_id='j', task='j.0.0.1'),
            line('02,000', Event.UPKEEP_ORDERED, host_id='m-1', wave=4),
        ]
        for subject in ('j.0.0.1', 'm-1', '4'):
            with self.subTest(subject):
                self.assertEqual(len(build_timeline(subject, texts).lines), 1)


if __name__ == '__main__':
    unittest.main()
