"""Define the result codes reported to callers, operators and programs."""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import NamedTuple


class Run(Enum):
    """Enumerate whether a refused request was run."""

    NO = "no"
    UNKNOWN = "unknown"


class ResultCode(IntEnum):
    """Enumerate the result codes; docs/RESULT-CODES.md lists them."""

    OK = 0

    SETTINGS_UNREADABLE = 1001
    SETTINGS_INVALID = 1002
    SETTINGS_DUPLICATE_HOST = 1003
    SETTINGS_ROLE = 1004
    DATA_FOLDER_FOREIGN = 1005
    DATA_FOLDER_UNFORMATTED = 1006
    ADDRESS_IN_USE = 1007
    DATA_FOLDER_IN_USE = 1008

    BODY_MALFORMED = 2001
    BODY_TOO_LARGE = 2002
    FIELD_INVALID = 2003
    TOKEN_UNKNOWN = 2004
    TIER_FORBIDDEN = 2005
    MODEL_UNKNOWN = 2006
    SERVICE_UNKNOWN = 2007
    KEY_INVALID = 2008
    PATH_UNKNOWN = 2009
    KEY_REUSED = 2010
    HEAD_TOO_LARGE = 2011
    HEAD_MALFORMED = 2012
    REQUEST_TIMEOUT = 2013

    SHED_OVERLOAD = 3001
    SHED_DEADLINE = 3002
    WORKSPACE_LIMIT = 3003
    QUEUE_FULL = 3004
    PREEMPTED = 3005
    DRAINING = 3006
    STARTING = 3007
    NO_TARGET = 3008
    NO_SCHEDULER = 3009
    HISTORY_UNKNOWN = 3010
    RETRY_BUDGET = 3011
    REQUEST_QUARANTINED = 3012
    TARGETS_RESTING = 3013
    TARGETS_LIMITED = 3014
    BODIES_FULL = 3015
    STREAM_VERSION_GONE = 3016
    STREAM_ORIGIN_UNKNOWN = 3017
    CONNECTIONS_FULL = 3018
    MEMORY_FULL = 3019
    CLIENT_STALLED = 3020

    COMMAND_UNAVAILABLE = 4001
    COMMAND_OUTCOME_UNKNOWN = 4002
    COMMAND_NOT_RUN = 4003
    COMMAND_STILL_RUNNING = 4004

    TARGET_UNREACHABLE = 5001
    TARGET_FAULT = 5002
    ANSWER_CUT = 5003
    ANSWER_FOREIGN = 5004
    TARGET_TIMEOUT = 5005
    ANSWER_TOO_LARGE = 5006

    TABLE_STALE = 6001
    TABLE_INVALID = 6002
    TABLE_UNKNOWN = 6003
    OPERATOR_TOKEN = 6004
    NOT_FOUND = 6005
    USAGE = 6006
    PROCESS_UNREACHABLE = 6007
    KEEPER_CHANGE_REFUSED = 6008
    CONFIGURATION_INVALID = 6009
    CONFIGURATION_STALE = 6010
    CONFIGURATION_UNKNOWN = 6011
    ROLLOUT_UNDER_WAY = 6012
    ROLLOUT_UNKNOWN = 6013

    LINK_REFUSED = 7001
    LINK_MALFORMED = 7002
    LINK_CLOSED = 7003
    LINK_TIMEOUT = 7004
    LINK_QUEUE_FULL = 7005

    STORAGE_CORRUPT = 8001
    STORAGE_FAILED = 8002
    KEEPER_NOT_VOTING = 8003
    KEEPER_EPOCH = 8004
    KEEPER_DISK_OLD = 8005
    QUORUM_UNREACHABLE = 8006
    INTERNAL = 9001


class CodeInfo(NamedTuple):
    """Describe a result code."""

    http_status: int
    text: str
    exit_code: int


_CODE_INFOS: dict[ResultCode, CodeInfo] = {
    ResultCode.OK: CodeInfo(200, "done", 0),
    ResultCode.SETTINGS_UNREADABLE: CodeInfo(500, "the settings file cannot be read as JSON", 10),
    ResultCode.SETTINGS_INVALID: CodeInfo(500, "a settings field is unknown or out of range", 10),
    ResultCode.SETTINGS_DUPLICATE_HOST: CodeInfo(500, "two peers share a host id and role", 10),
    ResultCode.SETTINGS_ROLE: CodeInfo(500, "a field that the role needs is missing", 10),
    ResultCode.DATA_FOLDER_FOREIGN: CodeInfo(500, "the data folder belongs to another host", 11),
    ResultCode.DATA_FOLDER_UNFORMATTED: CodeInfo(500, "the data folder is not formatted", 11),
    ResultCode.ADDRESS_IN_USE: CodeInfo(500, "a listen address cannot be opened", 12),
    ResultCode.DATA_FOLDER_IN_USE: CodeInfo(500, "another process uses the data folder", 11),
    ResultCode.BODY_MALFORMED: CodeInfo(400, "the body is not valid JSON for this path", 20),
    ResultCode.BODY_TOO_LARGE: CodeInfo(413, "the body or a header exceeds its limit", 20),
    ResultCode.FIELD_INVALID: CodeInfo(400, "a field has a wrong type or value", 20),
    ResultCode.TOKEN_UNKNOWN: CodeInfo(401, "the bearer token belongs to no workspace", 21),
    ResultCode.TIER_FORBIDDEN: CodeInfo(403, "the tier is above the workspace's own", 21),
    ResultCode.MODEL_UNKNOWN: CodeInfo(404, "no such model in the table", 22),
    ResultCode.SERVICE_UNKNOWN: CodeInfo(404, "no such service in the table", 22),
    ResultCode.KEY_INVALID: CodeInfo(400, "the Idempotency-Key is empty or too long", 20),
    ResultCode.PATH_UNKNOWN: CodeInfo(404, "no such path", 22),
    ResultCode.KEY_REUSED: CodeInfo(422, "the Idempotency-Key was used for another request", 20),
    ResultCode.HEAD_TOO_LARGE: CodeInfo(431, "the head of the request exceeds its limit", 20),
    ResultCode.HEAD_MALFORMED: CodeInfo(400, "the head of the request is malformed", 20),
    ResultCode.REQUEST_TIMEOUT: CodeInfo(408, "the request was not received whole in time", 20),
    ResultCode.SHED_OVERLOAD: CodeInfo(
        429, "shed in favour of a higher tier or for lack of capacity", 30
    ),
    ResultCode.SHED_DEADLINE: CodeInfo(503, "no target can meet the request's deadline", 30),
    ResultCode.WORKSPACE_LIMIT: CodeInfo(429, "the workspace has reached its limit", 30),
    ResultCode.QUEUE_FULL: CodeInfo(429, "too many requests are waiting", 30),
    ResultCode.PREEMPTED: CodeInfo(503, "cancelled while running in favour of a higher tier", 30),
    ResultCode.DRAINING: CodeInfo(503, "this host is stopping; use another", 31),
    ResultCode.STARTING: CodeInfo(503, "this host has no configuration yet", 31),
    ResultCode.NO_TARGET: CodeInfo(503, "no live target serves this request", 31),
    ResultCode.NO_SCHEDULER: CodeInfo(503, "the failure domain has no reachable scheduler", 31),
    ResultCode.HISTORY_UNKNOWN: CodeInfo(
        503, "the targets that received this request are unknown", 31
    ),
    ResultCode.RETRY_BUDGET: CodeInfo(503, "the retry budget is exhausted", 31),
    ResultCode.REQUEST_QUARANTINED: CodeInfo(
        503, "several targets crashed under this request or parts of its prompt", 31
    ),
    ResultCode.TARGETS_RESTING: CodeInfo(
        503, "all targets for this request asked this host to back off", 31
    ),
    ResultCode.TARGETS_LIMITED: CodeInfo(
        503, "all targets for this request are at their rate limits", 31
    ),
    ResultCode.BODIES_FULL: CodeInfo(
        503, "this host holds as many bytes of request bodies as it may", 31
    ),
    ResultCode.STREAM_VERSION_GONE: CodeInfo(
        503, "no target of the version that began this stream serves it", 31
    ),
    ResultCode.STREAM_ORIGIN_UNKNOWN: CodeInfo(
        503, "the version that began this stream is not known", 31
    ),
    ResultCode.CONNECTIONS_FULL: CodeInfo(
        503, "this process has as many connections as it may", 31
    ),
    ResultCode.MEMORY_FULL: CodeInfo(
        503, "this process holds as much for its clients as it may", 31
    ),
    ResultCode.CLIENT_STALLED: CodeInfo(
        503, "the client did not send or read, and others needed what it held", 31
    ),
    ResultCode.COMMAND_UNAVAILABLE: CodeInfo(503, "no quorum of keepers can be reached", 40),
    ResultCode.COMMAND_OUTCOME_UNKNOWN: CodeInfo(
        409, "the command may have run; this result is final", 41
    ),
    ResultCode.COMMAND_NOT_RUN: CodeInfo(503, "the command was not run; it may be retried", 42),
    ResultCode.COMMAND_STILL_RUNNING: CodeInfo(
        409, "the command is still running; retry with its key", 43
    ),
    ResultCode.TARGET_UNREACHABLE: CodeInfo(502, "the target could not be reached", 50),
    ResultCode.TARGET_FAULT: CodeInfo(502, "the target answered with an error", 50),
    ResultCode.ANSWER_CUT: CodeInfo(502, "the answer was interrupted and could not be resumed", 51),
    ResultCode.ANSWER_FOREIGN: CodeInfo(502, "the target answered a different request", 51),
    ResultCode.TARGET_TIMEOUT: CodeInfo(504, "the target did not answer in time", 52),
    ResultCode.ANSWER_TOO_LARGE: CodeInfo(502, "the answer exceeds its limit", 51),
    ResultCode.TABLE_STALE: CodeInfo(409, "the table changed since the edit began", 60),
    ResultCode.TABLE_INVALID: CodeInfo(400, "a row of the table is invalid", 61),
    ResultCode.TABLE_UNKNOWN: CodeInfo(
        503, "the outcome of the edit is unknown; send it again", 62
    ),
    ResultCode.OPERATOR_TOKEN: CodeInfo(401, "the operator token is wrong", 63),
    ResultCode.NOT_FOUND: CodeInfo(404, "no item has this name", 64),
    ResultCode.USAGE: CodeInfo(400, "the command line is wrong", 2),
    ResultCode.PROCESS_UNREACHABLE: CodeInfo(503, "the process does not answer", 65),
    ResultCode.KEEPER_CHANGE_REFUSED: CodeInfo(
        409, "the keeper set cannot be changed in this way", 66
    ),
    ResultCode.CONFIGURATION_INVALID: CodeInfo(400, "the configuration is invalid", 61),
    ResultCode.CONFIGURATION_STALE: CodeInfo(200, "a higher version is already in force", 60),
    ResultCode.CONFIGURATION_UNKNOWN: CodeInfo(
        503, "the newest configuration is currently unknown", 62
    ),
    ResultCode.ROLLOUT_UNDER_WAY: CodeInfo(
        409, "another rollout of the service is in progress", 66
    ),
    ResultCode.ROLLOUT_UNKNOWN: CodeInfo(404, "the service has no rollout", 64),
    ResultCode.LINK_REFUSED: CodeInfo(403, "a link's key, host or site is wrong", 70),
    ResultCode.LINK_MALFORMED: CodeInfo(400, "a message on a link cannot be decoded", 70),
    ResultCode.LINK_CLOSED: CodeInfo(503, "the link closed before the response", 70),
    ResultCode.LINK_TIMEOUT: CodeInfo(504, "the peer did not answer in time", 70),
    ResultCode.LINK_QUEUE_FULL: CodeInfo(503, "the peer reads too slowly", 70),
    ResultCode.STORAGE_CORRUPT: CodeInfo(500, "a record inside the data file is corrupt", 80),
    ResultCode.STORAGE_FAILED: CodeInfo(500, "a write or a sync of the disk failed", 81),
    ResultCode.KEEPER_NOT_VOTING: CodeInfo(503, "this keeper's disk is not in the keeper set", 82),
    ResultCode.KEEPER_EPOCH: CodeInfo(409, "the sender uses an older keeper set", 83),
    ResultCode.KEEPER_DISK_OLD: CodeInfo(
        500, "the data folder is older than the state known to peers", 84
    ),
    ResultCode.QUORUM_UNREACHABLE: CodeInfo(503, "no quorum of keepers answered", 85),
    ResultCode.INTERNAL: CodeInfo(500, "an internal error", 90),
}


def describe_code(code: ResultCode) -> CodeInfo:
    """Return the description of a result code."""
    return _CODE_INFOS[code]
