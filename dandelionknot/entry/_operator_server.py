"""HTTP server for operators."""

import hmac
from collections.abc import Mapping
from http import HTTPStatus

import tornado.web
from result import Err

from dandelionknot import codec, decisions
from dandelionknot._http_server import LimitedServer
from dandelionknot._mailbox import Mailbox
from dandelionknot.entry._caller_server import BEARER, refusal_of, server_context
from dandelionknot.entry._client_limits import MAX_CHANGE_BYTES, EntryPorts
from dandelionknot.events import Event, log_event
from dandelionknot.messages import (
    ChangeQuery,
    ConfigurationQuery,
    ErrorCode,
    HistogramQuery,
    OperatorChange,
    Refusal,
    RunState,
    StatusQuery,
    WhyQuery,
)
from dandelionknot.operators import ChangeOutcome, ChangeRequest, WhyKind
from dandelionknot.settings import (
    EntrySettings,
    OperatorAccess,
    operators_of,
)

# Limits how long the answer to a change waits for its acceptance.
ACCEPTANCE_WAIT_MS = 8000

STATUS_BY_OUTCOME = {
    ChangeOutcome.ACCEPTED: HTTPStatus.OK,
    ChangeOutcome.DRY_RUN: HTTPStatus.OK,
    ChangeOutcome.PENDING: HTTPStatus.ACCEPTED,
    ChangeOutcome.CONFLICT: HTTPStatus.CONFLICT,
    ChangeOutcome.REFUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
}


def _refusal(code: ErrorCode, message: str) -> Refusal:
    return Refusal(code=code, message=message, run_state=RunState.NOT_RUN)


class _Handler(tornado.web.RequestHandler):
    """Serves requests of operators whose token is in the settings, and no others.

    Every role may send queries. The role that a change needs depends on its edit.
    """

    dispatcher: Mailbox
    changes: Mailbox
    operators_by_id: Mapping[str, OperatorAccess]
    operator_id: str

    def initialize(
        self,
        dispatcher: Mailbox,
        changes: Mailbox,
        operators_by_id: Mapping[str, OperatorAccess],
    ) -> None:
        self.dispatcher = dispatcher
        self.changes = changes
        self.operators_by_id = operators_by_id

    def prepare(self) -> None:
        operator_id = self.authenticated_operator()
        if operator_id is None:
            text = 'the operator token is missing or not valid'
            self.send(_refusal(ErrorCode.NOT_AUTHORIZED, text), HTTPStatus.UNAUTHORIZED)
            return
        self.operator_id = operator_id

    def authenticated_operator(self) -> str | None:
        """Returns the operator of the token in the request, or None.

        The token is compared with that of every operator, so that the time for it
        does not depend on which one matches.
        """
        header = self.request.headers.get('Authorization', '')
        presented = header.removeprefix(BEARER).strip().encode()
        found = None
        for operator_id, access in self.operators_by_id.items():
            if hmac.compare_digest(presented, access.token.encode()):
                found = operator_id
        return found if header.startswith(BEARER) else None

    def send(self, value: object, status: HTTPStatus = HTTPStatus.OK) -> None:
        """Sends a response with a JSON body."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.finish(codec.encode_json(value))

    async def ask(self, mailbox: Mailbox, message: object) -> object | None:
        """Returns the reply of a task; answers 503 itself if its mailbox is full."""
        reply = await mailbox.ask(message)
        if isinstance(reply, Err):
            text = 'the entry host is overloaded'
            self.send(
                _refusal(ErrorCode.QUEUE_FULL, text), HTTPStatus.SERVICE_UNAVAILABLE
            )
            return None
        return reply.ok_value


class _QueryHandler(_Handler):
    """Answers with the reply of the dispatcher to one fixed query."""

    question: object

    def initialize(  # type: ignore[override]
        self, question: object, **arguments: object
    ) -> None:
        super().initialize(**arguments)  # type: ignore[arg-type]
        self.question = question

    async def get(self) -> None:
        reply = await self.ask(self.dispatcher, self.question)
        if reply is not None:
            self.send(reply)


class _ChangesHandler(_Handler):
    async def post(self) -> None:
        decoded = codec.decode_json(self.request.body, ChangeRequest, 'change')
        if isinstance(decoded, Err):
            problem = str(decoded.err_value)
            refusal = _refusal(ErrorCode.MALFORMED_REQUEST, problem)
            self.send(refusal, HTTPStatus.BAD_REQUEST)
            return
        change = decoded.ok_value
        if not self.may_send(change):
            return
        message = OperatorChange(
            operator_id=self.operator_id, change=change, wait_ms=ACCEPTANCE_WAIT_MS
        )
        report = await self.ask(self.changes, message)
        if report is not None:
            self.send(report, STATUS_BY_OUTCOME[report.outcome])  # type: ignore

    def may_send(self, change: ChangeRequest) -> bool:
        """Returns whether the operator's role allows a change; answers 403 if not."""
        own_role = self.operators_by_id[self.operator_id].role
        needed = decisions.roles.role_needed(change.edit)
        if decisions.roles.is_sufficient(own_role, needed):
            return True
        log_event(
            Event.OPERATOR_REFUSED,
            operator_id=self.operator_id,
            edit=change.edit.kind.value,
            change_id=change.change_id,
            role=own_role.value,
            needed_role=needed.value,
        )
        text = (
            f'{change.edit.kind.value} needs the role {needed.value}, and operator '
            f'{self.operator_id!r} has the role {own_role.value}'
        )
        refusal = _refusal(ErrorCode.ROLE_NOT_SUFFICIENT, text)
        self.send(refusal, HTTPStatus.FORBIDDEN)
        return False


class _ChangeHandler(_Handler):
    async def get(self, change_id: str) -> None:
        report = await self.ask(self.changes, ChangeQuery(change_id=change_id))
        if report is not None:
            self.send(report, STATUS_BY_OUTCOME[report.outcome])  # type: ignore


class _WhyHandler(_Handler):
    async def get(self, kind: str, subject_id: str) -> None:
        if kind not in set(WhyKind):
            refusal = _refusal(
                ErrorCode.MALFORMED_REQUEST, f'subject kind {kind!r} is not known'
            )
            self.send(refusal, HTTPStatus.NOT_FOUND)
            return
        query = WhyQuery(kind=WhyKind(kind), subject_id=subject_id)
        reply = await self.ask(self.dispatcher, query)
        if reply is not None:
            self.send(reply)


def start_operator_server(
    settings: EntrySettings, dispatcher: Mailbox, changes: Mailbox, ports: EntryPorts
) -> LimitedServer:
    """Starts the HTTP server on the operator address."""
    arguments = {
        'dispatcher': dispatcher,
        'changes': changes,
        'operators_by_id': operators_of(settings),
    }

    def question(value: object) -> dict[str, object]:
        return {'question': value, **arguments}

    application = tornado.web.Application(
        [
            (r'/v1/configuration', _QueryHandler, question(ConfigurationQuery())),
            (r'/v1/status', _QueryHandler, question(StatusQuery())),
            (r'/v1/histograms', _QueryHandler, question(HistogramQuery())),
            (r'/v1/changes', _ChangesHandler, arguments),
            (r'/v1/changes/([a-z0-9-]{1,64})', _ChangeHandler, arguments),
            (r'/v1/why/([a-z_]+)/([^/]{1,128})', _WhyHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
    server = LimitedServer(
        application,
        ports.table,
        ports.operators,
        ssl_options=server_context(settings),
        refusal=lambda reason: refusal_of(reason, MAX_CHANGE_BYTES),
    )
    server.listen_on(settings.operator_address)
    return server
