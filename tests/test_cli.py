"""Guards against commands that report the wrong outcome or leak a secret."""

import asyncio
import contextlib
import hashlib
import io
import json
import socket
import sys
import tempfile
import threading
import types
import unittest
import unittest.mock
from dataclasses import replace
from pathlib import Path

from hypothesis import given, settings, strategies
from result import Err, Ok
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from dandelionknot import cli, codec
from dandelionknot.cli import _commands
from dandelionknot.configuration import (
    Configuration,
    MaintenancePlan,
    Service,
    Team,
)
from dandelionknot.decisions._keys import authenticate
from dandelionknot.exit_status import ExitStatus
from dandelionknot.messages import (
    AnswerBody,
    ErrorCode,
    Refusal,
    RequestBody,
    RequestPhase,
    RunState,
)
from dandelionknot.operators import (
    ChangeOutcome,
    ChangeReport,
    ChangeRequest,
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
    apply_edit,
)
from tests.test_edits import FIRST, HOST, decisions

TOKEN = 'operator-token-of-ana'
ENVIRONMENT = cli.Environment(
    random_bytes=lambda count: bytes(range(count)), unix_ms=lambda: 1_700_000_000_000
)
# Time-out of calls that the server never answers. Each of them takes this long.
UNANSWERED_TIMEOUT_MS = 1000
# Time-out of all other calls, which end long before it.
ANSWERED_TIMEOUT_MS = 30_000
RUN_STATE = {'run_state': RunState.RAN}


def _application(host):
    routes = [('(.*)', Handler, {'host': host})]
    return Application(routes, log_function=lambda _: None)


WORDS = strategies.one_of(
    strategies.sampled_from(
        ['key', 'give', 'drain', 'check', 'status', 'plan', 'show']
    ),
    strategies.sampled_from(
        ['--json', '--entry', '-', '-h', '--', '--x=1', '=', '_function']
    ),
    strategies.text(max_size=8),
)


class EntryHost:
    """A minimal operator API; `mode` sets how it answers a change or a request."""

    def __init__(self):
        self.mode = 'normal'
        self.configuration = FIRST
        self.posted = []
        self.address = ''
        self._started = threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._serve()))
        self._thread.start()
        self._started.wait()

    def stop(self):
        self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join()

    async def _serve(self):
        self._loop, self._stop = asyncio.get_running_loop(), asyncio.Event()
        server = HTTPServer(_application(self))
        (listener,) = bind_sockets(0, '127.0.0.1', family=socket.AF_INET)
        server.add_sockets([listener])
        self.address = f'127.0.0.1:{listener.getsockname()[1]}'
        self._started.set()
        await self._stop.wait()
        server.stop()
        await server.close_all_connections()

    def change(self, body):
        request = codec.decode_json(body, ChangeRequest, 'change').unwrap()
        self.posted.append(request)
        report = ChangeReport(
            change_id=request.change_id, outcome=ChangeOutcome.ACCEPTED, version=2
        )
        edited = apply_edit(self.configuration, request.edit, 'ana', 0, decisions([]))
        if request.dry_run:
            return replace(report, outcome=ChangeOutcome.DRY_RUN, version=1)
        if self.mode in ('pending', 'conflict', 'refused'):
            outcome = ChangeOutcome(self.mode)
            return replace(report, outcome=outcome, unconfirmed=['entry-2'])
        self.configuration = replace(edited.unwrap(), version=2)
        return report

    def answer(self, path):
        host = HostStatus(
            host_id=HOST,
            availability_zone='sofia',
            pool='quotes-north',
            condition=HostCondition.AVAILABLE,
            running=3,
            slots=8,
        )
        task = TaskStatus(
            task_id='t-1',
            request_id='r-1',
            service='quotes-north',
            phase=RequestPhase.RUNNING,
            **RUN_STATE,
        )
        entry = JournalEntry(at_unix_ms=0, member_id='entry-1', event=12, text='chosen')
        member = MemberStatus(
            member_id='entry-1', availability_zone='sofia', confirmed_version=1
        )
        summary = HistogramSummary(name='wait', count=1, p50_ms=1, p99_ms=2, max_ms=3)
        return {
            '/v1/configuration': self.configuration,
            '/v1/status': FleetStatus(
                version=1,
                members=[member],
                hosts=[host],
                running_by_team={'hotel-group': 3},
            ),
            '/v1/changes/c-1': ChangeReport(
                change_id='c-1',
                outcome=ChangeOutcome.PENDING,
                version=2,
                unconfirmed=['entry-2'],
            ),
            '/v1/why/task/t-1': WhyReport(
                kind=WhyKind.TASK, id='t-1', entries=[entry], task=task
            ),
            '/v1/why/availability_zone/sofia': WhyReport(
                kind=WhyKind.AVAILABILITY_ZONE, id='sofia', entries=[]
            ),
            '/v1/histograms': HistogramReport(histograms=[summary]),
        }.get(path)


class Handler(RequestHandler):
    def initialize(self, host):
        self.entry_host = host

    def refuse(self, status, code):
        refusal = Refusal(code=code, message='not here', run_state=RunState.NOT_RUN)
        self.set_status(status)
        self.finish(codec.encode_json(refusal))

    def get(self, path):
        if self.request.headers['Authorization'] != f'Bearer {TOKEN}':
            return self.refuse(401, ErrorCode.NOT_AUTHORIZED)
        answer = self.entry_host.answer(path)
        if answer is None:
            return self.refuse(404, ErrorCode.REQUEST_NOT_FOUND)
        self.finish(codec.encode_json(answer))

    async def post(self, path):
        mode = self.entry_host.mode
        if mode == 'silent':
            await asyncio.Event().wait()
        if mode == 'drop':
            return self.request.connection.stream.close()
        if mode == 'garbage':
            return self.finish(b'{"version": "?"}')
        if mode == 'broken':
            return self.set_status(502)
        if mode in set(RunState):
            refusal = Refusal(
                code=ErrorCode.TASK_FAILED, message='failed', run_state=RunState(mode)
            )
            self.set_status(500)
            return self.finish(codec.encode_json(refusal))
        if path == '/v1/requests':
            phase = RequestPhase.FINISHED
            if mode in set(RequestPhase):
                phase = RequestPhase(mode)
            request = codec.decode_json(self.request.body, RequestBody, 'r').unwrap()
            self.entry_host.posted.append(request)
            return self.finish(
                codec.encode_json(
                    AnswerBody(
                        request_id=request.request_id,
                        phase=phase,
                        result=self.request.headers.get('Authorization'),
                        **RUN_STATE,
                    )
                )
            )
        self.finish(codec.encode_json(self.entry_host.change(self.request.body)))


class CliTest(unittest.TestCase):
    def setUp(self):
        self.host = EntryHost()
        self.addCleanup(self.host.stop)
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = Path(directory.name)
        self.token_file = self.directory / 'token'
        self.token_file.write_text(TOKEN + '\n')

    def run_line(self, line, *more, remote=True):
        """Runs a command line and stores its output; an error must be one line."""
        words = [*line.split(), *map(str, more)]
        if remote:
            words += ['--entry', self.host.address]
            words += ['--token_file', str(self.token_file)]
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            status = cli.main(words, ENVIRONMENT)
        self.out, self.err = out.getvalue(), err.getvalue()
        if status in (ExitStatus.SUCCESS, ExitStatus.PENDING):
            self.assertEqual(self.err, '')
        else:
            self.assertEqual(self.err.count('\n'), 1, self.err)
        self.assertNotIn(TOKEN, self.out + self.err)
        return status

    def test_mistakes_give_one_line_and_their_status(self):
        """Guards against long usage texts, stack traces and wrong exit codes."""
        usage, invalid = ExitStatus.USAGE, ExitStatus.INVALID_INPUT
        cases = [
            ('', usage, 'a command is missing'),
            ('chekc', usage, "unknown command 'chekc'"),
            ('key', usage, 'key needs one of: give, withdraw'),
            ('key lend', usage, "unknown command 'key lend'"),
            ('chekc --help', usage, "no command begins with 'chekc'"),
            ('check', usage, 'argument base is missing'),
            ('drain a b', usage, "unexpected argument 'b'"),
            ('drain a --force', usage, "unexpected argument '--force'"),
            ('zone back a --force', usage, "unexpected argument '--force'"),
            ('zone out a --force=3', invalid, '--force takes no value'),
            ('drain a _function b', usage, "unexpected argument '_function'"),
            ('drain a __class__ b', usage, "unexpected argument '__class__'"),
            ('drain a -- --interactive', usage, '-- is not an option'),
            ('drain a', usage, '--entry IP:PORT is missing'),
            ('drain a --entry localhost:80', usage, "'localhost:80' is not"),
            ('drain a --entry 127.0.0.1:0', usage, 'is not between 1 and 65535'),
            ('drain a --entry 127.0.0.1:80', usage, '--token_file FILE is missing'),
            ('drain NO', invalid, 'host_id must match pattern'),
            ('drain a --json=3', invalid, '--json takes no value'),
            ('drain a --timeout_ms 0', invalid, '--timeout_ms is not between'),
            ('limit propose p t many', invalid, "new_limit 'many' is not a whole"),
            ('plan create p', usage, 'needs at least one host'),
            ('status moon', usage, 'status shows one of'),
            ('why moon 1', usage, 'why explains one of'),
            ('check /nowhere.yaml', invalid, 'the configuration has 1 fault'),
            ('entry --settings /nowhere', invalid, '/nowhere'),
            ('submit q --deadline_ms soon', invalid, 'is not a whole number'),
            ('submit q --mode later', invalid, 'mode must be one of'),
            ('completion tcsh', usage, 'shells are: bash, fish'),
        ]
        for line, status, text in cases:
            with self.subTest(line=line):
                self.assertEqual(self.run_line(line, remote=False), status)
                self.assertIn(text, self.err)

    def test_changes_send_their_edit(self):
        """Guards against a command that sends the wrong edit or ignores --dry_run."""
        plan = MaintenancePlan(hosts=[HOST])
        plans = FIRST.maintenance_plans_by_id | {'p': plan}
        self.host.configuration = replace(FIRST, maintenance_plans_by_id=plans)
        cases = [
            (f'move {HOST} ledger-bridge', 'move_host', 'to_pool'),
            (f'cancel-move {HOST}', 'cancel_move', 'host_id'),
            ('zone out sofia', 'zone_out', 'availability_zone'),
            ('zone out sofia --force', 'zone_out', 'force'),
            ('zone back sofia', 'zone_back', 'availability_zone'),
            (f'drain {HOST}', 'drain_host', 'host_id'),
            (f'undrain {HOST}', 'undrain_host', 'host_id'),
            ('limit propose p hotel-group 9', 'propose_limit', 'new_limit'),
            ('limit vote p', 'vote', 'proposal_id'),
            ('voters propose p examples/balkanfit', 'propose_voters', 'proposal_id'),
            ('voters vote p', 'vote', 'proposal_id'),
            (f'plan create q {HOST}', 'plan_create', 'hosts'),
            ('plan pause p', 'plan_pause', 'plan_id'),
            ('plan resume p', 'plan_resume', 'plan_id'),
            ('key withdraw hotel-group demo', 'withdraw_key', 'key_id'),
            ('apply examples/balkanfit', 'apply_configuration', 'configuration'),
            ('member gone entry-2 --dry_run', 'member_gone', 'member_id'),
        ]
        for line, kind, field in cases:
            with self.subTest(line=line):
                for flag in ('--dry_run', ''):
                    status = self.run_line(line if not flag else f'{line} {flag}')
                    self.assertEqual(status, ExitStatus.SUCCESS, self.err)
                    sent = self.host.posted[-1]
                    self.assertEqual(sent.edit.kind, kind)
                    self.assertIsNotNone(getattr(sent.edit, field))
                    self.assertEqual(sent.edit.force, '--force' in line)
                    self.assertEqual(sent.dry_run, bool(flag) or 'dry_run' in line)
                    word = 'dry run' if sent.dry_run else 'accepted'
                    self.assertIn(word, self.out)

    def test_outcomes_have_their_exit_status(self):
        """Guards against reporting success for a change that is not in force."""
        cases = [
            ('pending', ExitStatus.PENDING, ''),
            ('conflict', ExitStatus.CONFLICT, 'conflict: the current version is 2'),
            ('refused', ExitStatus.REFUSED, 'refused'),
            ('silent', ExitStatus.UNKNOWN_OUTCOME, 'confirmed change-0001'),
            ('drop', ExitStatus.UNKNOWN_OUTCOME, 'the outcome is unknown'),
            ('garbage', ExitStatus.UNKNOWN_OUTCOME, 'the outcome is unknown'),
            ('broken', ExitStatus.UNKNOWN_OUTCOME, 'HTTP status 502'),
        ]
        for mode, expected, text in cases:
            with self.subTest(mode=mode):
                self.host.mode = mode
                timeout_ms = (
                    UNANSWERED_TIMEOUT_MS if mode == 'silent' else ANSWERED_TIMEOUT_MS
                )
                line = f'zone out sofia --timeout_ms {timeout_ms}'
                status = self.run_line(line)
                self.assertEqual(status, expected)
                self.assertIn(text, self.err)
        self.assertEqual(self.run_line('confirmed c-1'), ExitStatus.PENDING)
        self.assertIn('not confirmed by entry-2', self.out)
        self.assertEqual(self.run_line('confirmed c-2'), ExitStatus.REFUSED)
        self.token_file.write_text('another-token')
        self.assertEqual(self.run_line('status'), ExitStatus.REFUSED)
        with socket.socket() as closed:
            closed.bind(('127.0.0.1', 0))
            self.host.address = f'127.0.0.1:{closed.getsockname()[1]}'
            self.assertEqual(self.run_line('drain a'), ExitStatus.UNREACHABLE)
            self.assertIn('cannot be reached', self.err)

    def test_a_new_key_is_only_in_its_file(self):
        """Guards against printing a key and against keys in force without a file."""
        path = self.directory / 'key'
        line = 'key give hotel-group night --key_file'
        for mode, is_key_file_kept in (
            ('refused', False),
            ('conflict', False),
            ('silent', True),
        ):
            self.host.mode = mode
            self.run_line(line, path, '--timeout_ms', UNANSWERED_TIMEOUT_MS)
            self.assertEqual(path.exists(), is_key_file_kept, mode)
        self.host.mode = 'normal'
        self.assertEqual(self.run_line(line, path), ExitStatus.INVALID_INPUT)
        path.unlink()
        self.run_line(line, path, '--dry_run')
        self.assertFalse(path.exists())
        self.assertEqual(self.run_line(line, path), ExitStatus.SUCCESS)
        self.assertEqual(path.stat().st_mode & 0o777, 0o600)
        team, key_id, secret = path.read_text().strip().split('.')
        self.assertEqual((team, key_id), ('hotel-group', 'night'))
        self.assertNotIn(secret, self.out + self.err)
        record = self.host.posted[-1].edit.key_record
        salted = bytes.fromhex(record.salt) + secret.encode()
        self.assertEqual(record.digest, hashlib.sha256(salted).hexdigest())
        team = Team(upper_limit=1, keys_by_id={'night': record})
        configuration = Configuration(
            version=1,
            services_by_id={'quotes': Service(pool='quotes')},
            teams_by_id={'hotel-group': team},
        )
        presented = path.read_text().strip()
        caller = authenticate(configuration, 'quotes', presented)
        self.assertEqual(caller.unwrap().team_id, 'hotel-group')
        path.unlink()
        wrong = self.run_line('key give hotel-group Night --key_file', path)
        self.assertEqual(wrong, ExitStatus.INVALID_INPUT)
        self.assertFalse(path.exists())

    def test_queries_show_text_and_json(self):
        """Guards against queries that show nothing or print invalid JSON."""
        cases = [
            ('status', 'hotel-group'),
            ('status pool', 'quotes-north'),
            ('status pool quotes-north', 'quotes-north'),
            ('status team hotel-group', 'hotel-group'),
            ('status zone sofia', 'in_service'),
            ('status host', HOST),
            ('status task t-1', 't-1'),
            ('why task t-1', 'chosen'),
            ('why zone sofia', ''),
            ('plan show', 'sofia-spring'),
            ('plan show sofia-spring', HOST),
            ('histograms', 'wait'),
            ('diff examples/balkanfit', ''),
        ]
        for line, text in cases:
            with self.subTest(line=line):
                self.assertEqual(self.run_line(line), ExitStatus.SUCCESS, self.err)
                self.assertIn(text, self.out)
                self.run_line(f'{line} --json')
                json.loads(self.out)
                self.assertIn(text, self.out)
        for line in ('status pool moon', 'plan show moon'):
            self.assertEqual(self.run_line(line), ExitStatus.INVALID_INPUT)

    def test_submit_sends_the_key_and_a_new_request_id(self):
        """Guards against repeating a request with another id after a lost answer."""
        key_file = self.directory / 'key'
        key_file.write_text('hotel-group.demo.secret')
        line = f'submit quotes-north hello --key_file {key_file}'
        more = ['--entry', self.host.address]
        status = self.run_line(line, *more, remote=False)
        self.assertEqual(status, ExitStatus.SUCCESS, self.err)
        self.assertIn('Bearer hotel-group.demo.secret', self.out)
        request_id = self.host.posted[-1].request_id
        self.assertEqual(request_id[:15], '018bcfe5-6800-7')
        self.host.mode = 'drop'
        status = self.run_line(line, *more, remote=False)
        self.assertEqual(status, ExitStatus.UNKNOWN_OUTCOME)
        self.assertIn(f'--request_id {request_id}', self.err)

    def test_submit_reports_whether_the_request_ran(self):
        """Guards against reporting a refusal for a request that may have run."""
        cases = [
            ('not_run', ExitStatus.REFUSED),
            ('ran', ExitStatus.ERROR),
            ('unknown', ExitStatus.UNKNOWN_OUTCOME),
            ('queued', ExitStatus.PENDING),
            ('failed', ExitStatus.ERROR),
            ('cancelled', ExitStatus.REFUSED),
        ]
        for mode, expected in cases:
            with self.subTest(mode=mode):
                self.host.mode = mode
                line = f'submit quotes-coast --entry {self.host.address}'
                self.assertEqual(self.run_line(line, remote=False), expected)

    @settings(derandomize=True, max_examples=300, deadline=None, database=None)
    @given(strategies.lists(WORDS, max_size=6))
    def test_arbitrary_words_never_raise(self, words):
        """Guards against arguments that make the parser raise an exception or print."""
        out = io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(out):
            parsed = _commands.parse(words)
        self.assertEqual(out.getvalue(), '')
        self.assertIsInstance(parsed, Ok | Err)

    def test_entry_runs_the_core(self):
        """Guards against an entry command that drops the exit status of the daemon."""
        entry_settings = {
            'member_id': 'entry-1',
            'availability_zone': 'sofia',
            'region': 'balkans',
            'peer_secret': 'a-secret-of-peers',
            'operator_tokens_by_id': {'ana': TOKEN},
        }
        for name in ('caller', 'operator', 'peer', 'platform'):
            entry_settings[f'{name}_address'] = '127.0.0.1:8000'
        path = self.directory / 'settings.yaml'
        path.write_text(json.dumps(entry_settings))
        seen = []
        core = types.ModuleType('dandelionknot.core')
        core.run_entry = lambda read: seen.append(read) or ExitStatus.SUCCESS
        with unittest.mock.patch.dict(sys.modules, {'dandelionknot.core': core}):
            status = self.run_line(f'entry --settings {path}', remote=False)
        self.assertEqual(status, ExitStatus.SUCCESS)
        self.assertEqual(seen[0].member_id, 'entry-1')
