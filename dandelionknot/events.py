"""Numbered log events and their descriptions for operators.

`docs/events.md` is generated from `INFO_BY_EVENT`.
"""

import logging
import traceback
from dataclasses import dataclass
from enum import IntEnum

from pythonjsonlogger.json import JsonFormatter

from dandelionknot.log_stream import RateLimitedHandler

LOGGER_NAME = 'dandelionknot'
# Most characters of a traceback that a log line contains; the last ones are kept.
MAX_TRACEBACK = 2000


class Event(IntEnum):
    """Number of each log event; the number of a removed event is not reused."""

    ENTRY_STARTED = 1001
    ENTRY_STOPPING = 1002
    ENTRY_STOPPED = 1003
    SETTINGS_REFUSED = 1004
    TASK_ENDED_UNEXPECTEDLY = 1005
    PLATFORM_UNREACHABLE = 2001
    PLATFORM_REACHED = 2002
    PLATFORM_VALUE_MALFORMED = 2003
    MEMBER_LEASE_LOST = 2004
    MEMBER_JOINED = 2005
    CONFIGURATION_ADOPTED = 3001
    CONFIGURATION_REVERSION_REFUSED = 3002
    CONFIGURATION_REPUBLISHED = 3003
    CHANGE_WRITTEN = 3004
    CHANGE_ACCEPTED = 3005
    FRESHNESS_LOST = 3006
    FRESHNESS_REGAINED = 3007
    OPERATOR_REFUSED = 3008
    ZONE_EXIT_FORCED = 3009
    PEER_CONNECTED = 4001
    PEER_DISCONNECTED = 4002
    PEER_REFUSED = 4003
    PEER_MESSAGE_MALFORMED = 4004
    HOST_UNREACHABLE = 5001
    HOST_REACHED = 5002
    HOST_EJECTED = 5003
    HOST_RETURNED = 5004
    ATTEMPT_OUTCOME_UNKNOWN = 5005
    START_REFUSED = 5006
    SLICES_TAKEN = 6001
    SLICES_RELEASED = 6002
    CLAIMS_NOT_WRITTEN = 6003
    GRANT_CHANGED = 6004
    GRANT_RECLAIMED = 6005
    MEMBER_RECORD_DELETED = 6006
    WORK_TAKEN_OVER = 6007
    WORK_HANDED_OVER = 6008
    WORK_NOT_KEPT = 6009
    MOVE_ADVANCED = 7001
    PLAN_ADVANCED = 7002
    MANAGER_STARTED = 8001
    MANAGER_STOPPING = 8002
    MANAGER_STOPPED = 8003
    MANAGER_SETTINGS_READ = 8004
    STORE_VIEW_STALE = 8005
    STORE_VIEW_FRESH = 8006
    STORE_HISTORY_LOST = 8007
    LEADERSHIP_GAINED = 8008
    LEADERSHIP_LOST = 8009
    LINES_LEFT_OUT = 8010
    UNEXPECTED_ERROR = 8011
    MESSAGE_DROPPED = 8012
    CLIENTS_LIMITED = 8013
    JOB_ACCEPTED = 8101
    JOB_REFUSED = 8102
    JOB_CANCEL_STORED = 8103
    JOB_ENDED = 8104
    TASK_STARTED = 8105
    TASK_ENDED = 8106
    TASK_REQUEUED = 8107
    TASK_STOPPED = 8108
    ORPHAN_STOPPED = 8109
    TASK_PACED = 8110
    TASK_SUSPECTED = 8111
    TASK_ISOLATED = 8112
    TASK_CLEARED = 8113
    TASK_GIVEN_UP = 8114
    CRASH_WITHDRAWN = 8115
    JOB_STANDS_STILL = 8116
    JOB_RUNS_AGAIN = 8117
    RUN_ADOPTED = 8118
    INTERFERENCE_FOUND = 8119
    INTERFERENCE_ENDED = 8120
    NEIGHBOUR_AVOIDED = 8121
    NEIGHBOUR_NOT_AVOIDED = 8122
    ENDS_MISSING = 8123
    ENDS_ACKNOWLEDGED_LATE = 8124
    BACKEND_APPEARED = 8201
    BACKEND_DRAINING = 8202
    BACKEND_GONE = 8203
    BACKEND_REBORN = 8204
    BACKEND_AVOIDED = 8205
    BACKEND_ANSWER_MALFORMED = 8206
    BACKEND_ENTRY_IGNORED = 8207
    BACKEND_LOST = 8208
    RECORDS_NOT_STORED = 8209
    ORDER_REPEATED = 8210
    BACKEND_GOES_ON = 8211
    RECORDS_REJECTED = 8212
    CHECKPOINTS_LEFT_OUT = 8213
    ZONES_EXCLUDED = 8301
    WAVE_ADVANCED = 8302
    UPKEEP_ORDERED = 8303
    HOST_MOVE_ORDERED = 8304
    HOST_LIST_UNREACHABLE = 8305
    HOST_ORDER_FINISHED = 8306
    HOST_ROW_MALFORMED = 8307
    POOL_LACKS_HOSTS = 8308
    SURGE_PREDICTED = 8309
    CORDON_ENDED = 8310
    POOL_HOSTS = 8320
    BACKLOG_BEGAN = 8321
    BACKLOG_ENDED = 8322


@dataclass(frozen=True, slots=True)
class EventInfo:
    """Level of an event, its meaning, and what an operator should do about it."""

    level: int
    meaning: str
    action: str


INFO = logging.INFO
WARNING = logging.WARNING
ERROR = logging.ERROR
NO_ACTION = 'None.'

INFO_BY_EVENT: dict[Event, EventInfo] = {
    Event.ENTRY_STARTED: EventInfo(
        INFO, 'The entry host has started and accepts requests.', NO_ACTION
    ),
    Event.ENTRY_STOPPING: EventInfo(
        INFO,
        'The entry host accepts no new requests and finishes those in progress.',
        NO_ACTION,
    ),
    Event.ENTRY_STOPPED: EventInfo(INFO, 'The entry host has stopped.', NO_ACTION),
    Event.SETTINGS_REFUSED: EventInfo(
        ERROR,
        'The settings file is not valid and was not applied.',
        'Correct the field that `problem` names.',
    ),
    Event.TASK_ENDED_UNEXPECTEDLY: EventInfo(
        ERROR,
        'An internal task of the process failed with an exception; the process stops.',
        'Report the traceback; the balancer uses the other entry hosts.',
    ),
    Event.PLATFORM_UNREACHABLE: EventInfo(
        WARNING,
        'A call to the platform was not answered.',
        'Check the platform; service continues while all entry hosts answer each '
        'other.',
    ),
    Event.PLATFORM_REACHED: EventInfo(INFO, 'The platform answers again.', NO_ACTION),
    Event.PLATFORM_VALUE_MALFORMED: EventInfo(
        ERROR,
        'A value stored on the platform does not match the schema and is ignored.',
        'Find the program that wrote the key; apply the configuration again.',
    ),
    Event.MEMBER_LEASE_LOST: EventInfo(
        WARNING,
        'The lease of this member has ended; the member requests a new one.',
        NO_ACTION,
    ),
    Event.MEMBER_JOINED: EventInfo(
        INFO, "This member's record is stored on the platform.", NO_ACTION
    ),
    Event.CONFIGURATION_ADOPTED: EventInfo(
        INFO, 'A newer configuration is in force on this entry host.', NO_ACTION
    ),
    Event.CONFIGURATION_REVERSION_REFUSED: EventInfo(
        ERROR,
        'A configuration older than the one in force was read and is ignored.',
        'Check whether the platform was restored; the newer one is written back.',
    ),
    Event.CONFIGURATION_REPUBLISHED: EventInfo(
        WARNING,
        'This entry host wrote the newer configuration back to the platform.',
        NO_ACTION,
    ),
    Event.CHANGE_WRITTEN: EventInfo(
        INFO, 'A change of the configuration was written to the platform.', NO_ACTION
    ),
    Event.CHANGE_ACCEPTED: EventInfo(
        INFO,
        'A change of the configuration is in force on every entry host.',
        NO_ACTION,
    ),
    Event.FRESHNESS_LOST: EventInfo(
        WARNING,
        'The configuration may be out of date; no request that needs a key is started.',
        'Check the connections to the platform and to the peers.',
    ),
    Event.FRESHNESS_REGAINED: EventInfo(
        INFO,
        'The configuration is current; requests that need a key are started again.',
        NO_ACTION,
    ),
    Event.OPERATOR_REFUSED: EventInfo(
        WARNING,
        'An operator sent a command that needs another role; nothing was changed.',
        'Check who uses the token, or change the role in the settings.',
    ),
    Event.ZONE_EXIT_FORCED: EventInfo(
        WARNING,
        'An operator took a zone out of service despite the availability budgets.',
        'Return the zone or other hosts to service; `exceeded` names the services.',
    ),
    Event.PEER_CONNECTED: EventInfo(INFO, 'A connection to a peer is open.', NO_ACTION),
    Event.PEER_DISCONNECTED: EventInfo(
        WARNING, 'A connection to a peer was lost and is opened again.', NO_ACTION
    ),
    Event.PEER_REFUSED: EventInfo(
        WARNING,
        'A connection was closed; the other side did not prove it has the peer secret.',
        'Check the settings of the process at the named address.',
    ),
    Event.PEER_MESSAGE_MALFORMED: EventInfo(
        WARNING, 'A message of a peer could not be decoded and was dropped.', NO_ACTION
    ),
    Event.HOST_UNREACHABLE: EventInfo(
        WARNING,
        'A backend server does not answer. The lease of its tasks was computed to '
        'lapse in `lapses_in_ms`.',
        'Check the host.',
    ),
    Event.HOST_REACHED: EventInfo(INFO, 'A backend server answers again.', NO_ACTION),
    Event.HOST_EJECTED: EventInfo(
        WARNING,
        'A backend server fails far more often than its pool and gets no requests.',
        'Check the host.',
    ),
    Event.HOST_RETURNED: EventInfo(
        INFO,
        'An ejected backend server gets requests again after successful probes.',
        NO_ACTION,
    ),
    Event.ATTEMPT_OUTCOME_UNKNOWN: EventInfo(
        WARNING, 'It could not be determined whether a task ran.', NO_ACTION
    ),
    Event.START_REFUSED: EventInfo(
        INFO,
        'A backend server refused to start a task; the task has not run. With the '
        'outcome `no_answer`, the start may have been carried out, or still may be.',
        NO_ACTION,
    ),
    Event.SLICES_TAKEN: EventInfo(
        INFO,
        'This member has become the owner of more slices of the request ids.',
        NO_ACTION,
    ),
    Event.SLICES_RELEASED: EventInfo(
        INFO,
        'This member owns fewer slices of the request ids; others own them now.',
        NO_ACTION,
    ),
    Event.CLAIMS_NOT_WRITTEN: EventInfo(
        WARNING,
        'Claims could not be written to the platform; the requests wait.',
        'Check the platform.',
    ),
    Event.GRANT_CHANGED: EventInfo(
        INFO, 'The grant of a member for a team has changed.', NO_ACTION
    ),
    Event.GRANT_RECLAIMED: EventInfo(
        INFO,
        'The grant of a stopped member is available to other members again.',
        NO_ACTION,
    ),
    Event.MEMBER_RECORD_DELETED: EventInfo(
        INFO, 'The record of a stopped member was deleted from the platform.', NO_ACTION
    ),
    Event.WORK_TAKEN_OVER: EventInfo(
        INFO,
        'This member read asynchronous requests of a former owner from the platform.',
        NO_ACTION,
    ),
    Event.WORK_HANDED_OVER: EventInfo(
        INFO,
        'Queued asynchronous requests were handed over to new owners of their slices.',
        NO_ACTION,
    ),
    Event.WORK_NOT_KEPT: EventInfo(
        WARNING,
        'Asynchronous requests could not be written to the platform; they are refused.',
        'Check the platform; the callers received the error `work_not_kept`.',
    ),
    Event.MOVE_ADVANCED: EventInfo(
        INFO,
        'The move of a host to another pool has entered its next phase.',
        NO_ACTION,
    ),
    Event.PLAN_ADVANCED: EventInfo(
        INFO, 'A maintenance plan drained hosts or returned them to service.', NO_ACTION
    ),
    Event.MANAGER_STARTED: EventInfo(
        INFO, 'The manager process has started and serves calls.', NO_ACTION
    ),
    Event.MANAGER_STOPPING: EventInfo(
        INFO,
        'The manager process is no longer ready and finishes the calls in progress.',
        NO_ACTION,
    ),
    Event.MANAGER_STOPPED: EventInfo(
        INFO, 'The manager process has stopped.', NO_ACTION
    ),
    Event.MANAGER_SETTINGS_READ: EventInfo(
        INFO,
        'A changed settings file was read; it is in force from the next start.',
        NO_ACTION,
    ),
    Event.STORE_VIEW_STALE: EventInfo(
        WARNING,
        'The store has not answered for too long; calls are refused.',
        'Check the network path to the store; other entry hosts serve meanwhile.',
    ),
    Event.STORE_VIEW_FRESH: EventInfo(
        INFO, 'The store answers again; calls are accepted.', NO_ACTION
    ),
    Event.STORE_HISTORY_LOST: EventInfo(
        WARNING,
        'The store no longer has the requested changes; all items are read again.',
        NO_ACTION,
    ),
    Event.LEADERSHIP_GAINED: EventInfo(
        INFO, 'This process has become leader and decides where tasks run.', NO_ACTION
    ),
    Event.LEADERSHIP_LOST: EventInfo(
        WARNING,
        'This process is no longer leader; another process takes over.',
        NO_ACTION,
    ),
    Event.LINES_LEFT_OUT: EventInfo(
        WARNING,
        'Log lines were dropped to limit the volume; `lines_by_event` has the counts.',
        NO_ACTION,
    ),
    Event.JOB_ACCEPTED: EventInfo(INFO, 'A job was accepted and stored.', NO_ACTION),
    Event.JOB_REFUSED: EventInfo(
        INFO,
        'A call was refused; its job never runs unless `verdict` is `unknown`. With a '
        '`cause`, the job could not have ended in useful time: `backlog` is what the '
        'leader has published, `burst` what this host has accepted since.',
        'If `cause` is frequent, see "Too little room" in OPERATIONS.md.',
    ),
    Event.JOB_CANCEL_STORED: EventInfo(
        INFO, 'The cancellation of a job was stored.', NO_ACTION
    ),
    Event.JOB_ENDED: EventInfo(INFO, 'A job has ended.', NO_ACTION),
    Event.TASK_STARTED: EventInfo(
        INFO,
        'A backend server accepted the start of a task. `try_unanswered` says whether '
        'another try of the same start has no answer and may be carried out late.',
        NO_ACTION,
    ),
    Event.TASK_ENDED: EventInfo(INFO, 'A run of a task has ended.', NO_ACTION),
    Event.TASK_REQUEUED: EventInfo(
        INFO,
        'A task waits for its next run; its previous run is known to have ended.',
        NO_ACTION,
    ),
    Event.TASK_STOPPED: EventInfo(
        INFO,
        'The scheduler ordered a backend server to stop a run of a task.',
        NO_ACTION,
    ),
    Event.ORPHAN_STOPPED: EventInfo(
        WARNING,
        'A backend server was ordered to stop a run that is no longer wanted. '
        '`latest_run` and `assigned_to` tell what its leader knows of the task.',
        NO_ACTION,
    ),
    Event.RUN_ADOPTED: EventInfo(
        WARNING,
        'A backend server runs the latest run of a task that waited to be placed, so '
        'the run goes on.',
        NO_ACTION,
    ),
    Event.ENDS_MISSING: EventInfo(
        WARNING,
        'A backend server numbers its ends without gaps, and a report leaves out '
        '`missing` of them. It has forgotten them before this leader could learn of '
        'them, so their tasks may be started again.',
        'Report it with the lines of this backend server.',
    ),
    Event.ENDS_ACKNOWLEDGED_LATE: EventInfo(
        INFO,
        'A backend server was told `longest_ms` after it had listed an end, or several '
        'ends, that these are stored. Until then, a start without an answer might have '
        'run a task once more. Jobs are shown as done without this delay.',
        'None, unless most ends are late: then calls to backend servers often get no '
        'answer.',
    ),
    Event.INTERFERENCE_FOUND: EventInfo(
        INFO,
        'Tasks of the image `victim` are slowed by the factor `slow_down` while tasks '
        'of the image `neighbour` run on the same host; the bounds are two standard '
        'errors away. New tasks of the two are kept apart where there is room.',
        'None. If both must share hosts, lower the load of one of them.',
    ),
    Event.INTERFERENCE_ENDED: EventInfo(
        INFO,
        'A pair of images is no longer known to interfere: newer observations speak '
        'against it, or it was not observed for five minutes.',
        NO_ACTION,
    ),
    Event.NEIGHBOUR_AVOIDED: EventInfo(
        INFO,
        'A task was placed apart from images with which it interferes, although a '
        'host with them had room.',
        NO_ACTION,
    ),
    Event.NEIGHBOUR_NOT_AVOIDED: EventInfo(
        INFO,
        'A task was placed beside images with which it interferes, since no other '
        'host had room or each was worse for another reason.',
        'Add hosts to the pool if serving tasks stay over their objective.',
    ),
    Event.TASK_PACED: EventInfo(
        INFO,
        'A backend server was ordered to run a task at another share of full speed.',
        NO_ACTION,
    ),
    Event.TASK_SUSPECTED: EventInfo(
        WARNING,
        'A task may have crashed its backend server. It is only started alone, until '
        'it is cleared or given up.',
        NO_ACTION,
    ),
    Event.TASK_ISOLATED: EventInfo(
        INFO, 'A suspected task was placed alone on a backend server.', NO_ACTION
    ),
    Event.TASK_CLEARED: EventInfo(
        INFO, 'A task is not suspected any more, for `reason`.', NO_ACTION
    ),
    Event.TASK_GIVEN_UP: EventInfo(
        WARNING,
        'A task crashed backend servers on which it ran alone; its job has failed.',
        'Tell the client account; the task has a fault that ends the process.',
    ),
    Event.CRASH_WITHDRAWN: EventInfo(
        INFO,
        'A backend server that was taken for crashed reports a run of that time, so '
        'only contact was lost.',
        NO_ACTION,
    ),
    Event.JOB_STANDS_STILL: EventInfo(
        WARNING,
        'Nothing of a job has run for `stands_ms` although a task is ready; it waits '
        'for `cause`.',
        'None while its pool is full. Otherwise look for the backend server or the '
        'task that the line names.',
    ),
    Event.JOB_RUNS_AGAIN: EventInfo(
        INFO, 'A job that stood still for `stood_ms` runs again.', NO_ACTION
    ),
    Event.BACKEND_APPEARED: EventInfo(
        INFO, 'A backend server has registered.', NO_ACTION
    ),
    Event.BACKEND_DRAINING: EventInfo(
        INFO, 'A backend server leaves the fleet and gets no further starts.', NO_ACTION
    ),
    Event.BACKEND_GONE: EventInfo(
        INFO, 'The registration of a backend server was removed.', NO_ACTION
    ),
    Event.BACKEND_REBORN: EventInfo(
        WARNING,
        'A backend server has restarted; its former tasks have ended or are kept.',
        NO_ACTION,
    ),
    Event.BACKEND_AVOIDED: EventInfo(
        WARNING,
        'A backend server gets no starts for `for_ms` because of `reason`.',
        'Check the host if it happens again.',
    ),
    Event.BACKEND_LOST: EventInfo(
        WARNING,
        'A backend server with running tasks was lost. `recent_tasks` had begun on it '
        'shortly before, and one of them may have crashed it.',
        'Check the host, or the named tasks if it happens again with them.',
    ),
    Event.ORDER_REPEATED: EventInfo(
        WARNING,
        'A backend server refused or did not answer an order to stop or to pace a run, '
        'so it is repeated until it is carried out.',
        'If this continues, check the backend server that `backend_id` names.',
    ),
    Event.BACKEND_GOES_ON: EventInfo(
        INFO,
        'A backend server answers although an order about its host was accepted; the '
        'order had ended an earlier one, so it gets starts again.',
        NO_ACTION,
    ),
    Event.RECORDS_NOT_STORED: EventInfo(
        WARNING,
        'The store did not accept records; no task is started until a retry succeeds.',
        NO_ACTION,
    ),
    Event.RECORDS_REJECTED: EventInfo(
        ERROR,
        'The store does not take some records, now or later. The jobs in `job_ids` are '
        'ended as failed; others are stored. An empty list stands for the records of '
        'hosts, waves and counts.',
        'Compare `largest_bytes` of event 8209 with `max_value_bytes` in the settings.',
    ),
    Event.CHECKPOINTS_LEFT_OUT: EventInfo(
        WARNING,
        'The checkpoints of a number of tasks are too large to be stored with those of '
        'other tasks. After a change of the leader, these tasks begin anew.',
        'None, or let the tasks of this queue write shorter checkpoints.',
    ),
    Event.ZONES_EXCLUDED: EventInfo(
        INFO,
        'Operators took availability zones out of service or returned them.',
        NO_ACTION,
    ),
    Event.WAVE_ADVANCED: EventInfo(
        INFO, 'A maintenance wave has advanced or is done.', NO_ACTION
    ),
    Event.UPKEEP_ORDERED: EventInfo(
        INFO, 'The platform was ordered to take a host down for maintenance.', NO_ACTION
    ),
    Event.CORDON_ENDED: EventInfo(
        INFO,
        'A host that was kept empty for its maintenance gets starts again, since the '
        'maintenance cannot begin because of `reason`. It is tried again later.',
        'If this continues, look for the tasks that the host may not lose.',
    ),
    Event.BACKLOG_BEGAN: EventInfo(
        INFO,
        'New jobs of a queue have to wait `wait_ms` for a start. Entry hosts learn it '
        'and refuse those that cannot end in useful time.',
        'If this continues, see "Too little room" in OPERATIONS.md.',
    ),
    Event.BACKLOG_ENDED: EventInfo(
        INFO, 'New jobs of a queue start soon again.', NO_ACTION
    ),
    Event.UNEXPECTED_ERROR: EventInfo(
        ERROR,
        'An operation failed with an exception that the program does not expect; '
        'other operations go on.',
        'Report the line with its traceback; `part` names the operation.',
    ),
    Event.MESSAGE_DROPPED: EventInfo(
        ERROR,
        'A message between two tasks was dropped, since the mailbox was full.',
        'Restart the process, and report what it was doing.',
    ),
    Event.CLIENTS_LIMITED: EventInfo(
        WARNING,
        'Connections of clients were closed or their requests refused because of a '
        'limit; `reason` names it and `count` is their number since the last line '
        'for this port and reason.',
        'If ordinary callers are concerned, raise the limit; see `limits` in the '
        'settings. Otherwise find the clients at the balancer.',
    ),
    Event.BACKEND_ANSWER_MALFORMED: EventInfo(
        ERROR,
        'An answer of a backend server, or one row of it, does not match the '
        'protocol and is ignored.',
        'Check the program at `address`.',
    ),
    Event.BACKEND_ENTRY_IGNORED: EventInfo(
        WARNING,
        'A registry entry names no lifetime of the backend server, or not certainly '
        'its latest state; the former entry stays in use. The reason says which.',
        'If the entry names no start time, find the program that wrote it.',
    ),
    Event.POOL_LACKS_HOSTS: EventInfo(
        INFO,
        'A pool has fewer hosts than the division of all hosts grants it, and no '
        'more can be moved now; logged when this begins.',
        'If it lasts, compare `wanted` of all pools with the hosts that there are.',
    ),
    Event.POOL_HOSTS: EventInfo(
        INFO,
        'How many hosts a pool needs and holds, at most once a second and only after '
        'a change: `wanted` are those that the division of all hosts grants it, '
        '`present` those that can run tasks, `running` those that do, `pinned` those '
        'with a long-running task, which cannot be moved.',
        'Compare `wanted` and `present` of all pools to see where hosts are missing or '
        'idle.',
    ),
    Event.SURGE_PREDICTED: EventInfo(
        INFO,
        'A recurrent surge of a pool is expected, and hosts are moved to it.',
        NO_ACTION,
    ),
    Event.HOST_ROW_MALFORMED: EventInfo(
        ERROR,
        "A row of the platform's list of hosts does not match the protocol and is "
        'ignored.',
        'Report the row to the platform team.',
    ),
    Event.HOST_LIST_UNREACHABLE: EventInfo(
        WARNING, 'The list of hosts could not be read; maintenance waits.', NO_ACTION
    ),
    Event.HOST_ORDER_FINISHED: EventInfo(
        INFO,
        'An order to the platform about a host has ended; see the field `outcome`.',
        NO_ACTION,
    ),
    Event.HOST_MOVE_ORDERED: EventInfo(
        INFO, 'The platform was ordered to move a host to another pool.', NO_ACTION
    ),
}


def log_event(event: Event, **fields: object) -> None:
    """Logs an event with its fields; keys and tokens must not be passed as values."""
    info = INFO_BY_EVENT[event]
    logging.getLogger(LOGGER_NAME).log(
        info.level,
        event.name.lower().replace('_', ' '),
        extra={'event': int(event), **fields},
    )


def log_unexpected_error(part: str, error: BaseException, **fields: object) -> None:
    """Logs an exception that nothing expects, with its traceback."""
    lines = traceback.format_exception(error)
    log_event(
        Event.UNEXPECTED_ERROR,
        part=part,
        problem=repr(error),
        traceback=''.join(lines)[-MAX_TRACEBACK:],
        **fields,
    )


def set_up_logging(
    level: str, descriptor: int | None = None, member_id: str = ''
) -> None:
    """Sends log events as JSON lines to standard error or to a file descriptor.

    Writes to standard error block while its reader is slow. Writes to a descriptor
    never block, and their volume is bounded. If a member id is given, each line
    contains it, since the lines of several processes are read together.
    """
    handler: logging.Handler = logging.StreamHandler()
    if descriptor is not None:
        handler = RateLimitedHandler(descriptor, int(Event.LINES_LEFT_OUT))
    handler.setFormatter(
        JsonFormatter(
            '%(asctime)s %(levelname)s %(message)s %(event)s',
            static_fields={'member_id': member_id} if member_id else {},
        )
    )
    logger = logging.getLogger(LOGGER_NAME)
    logger.handlers = [handler]
    logger.setLevel(level)
    logger.propagate = False
