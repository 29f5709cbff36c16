"""Number every result that callers, operators and programs are told."""

from __future__ import annotations

from enum import Enum, IntEnum
from typing import NamedTuple


class Run(Enum):
    """Say whether a refused request was run."""

    NO = "no"
    UNKNOWN = "unknown"


class ResultCode(IntEnum):
    """Number a result; docs/RESULT-CODES.md tables them."""

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


class Meaning(NamedTuple):
    """Describe one result code."""

    http_status: int
    text: str
    exit_code: int


_MEANINGS: dict[ResultCode, Meaning] = {
    ResultCode.OK: Meaning(200, "done", 0),
    ResultCode.SETTINGS_UNREADABLE: Meaning(500, "the settings file cannot be read as JSON", 10),
    ResultCode.SETTINGS_INVALID: Meaning(500, "a settings field is unknown or out of range", 10),
    ResultCode.SETTINGS_DUPLICATE_HOST: Meaning(500, "two peers share a host id and role", 10),
    ResultCode.SETTINGS_ROLE: Meaning(500, "a field that the role needs is missing", 10),
    ResultCode.DATA_FOLDER_FOREIGN: Meaning(500, "the data folder belongs to another host", 11),
    ResultCode.DATA_FOLDER_UNFORMATTED: Meaning(500, "the data folder is not formatted", 11),
    ResultCode.ADDRESS_IN_USE: Meaning(500, "a listen address cannot be opened", 12),
    ResultCode.DATA_FOLDER_IN_USE: Meaning(500, "another process holds the data folder", 11),
    ResultCode.BODY_MALFORMED: Meaning(400, "the body is not the JSON that the path takes", 20),
    ResultCode.BODY_TOO_LARGE: Meaning(413, "the body or a header is over its limit", 20),
    ResultCode.FIELD_INVALID: Meaning(400, "a field has a wrong type or value", 20),
    ResultCode.TOKEN_UNKNOWN: Meaning(401, "the bearer token belongs to no workspace", 21),
    ResultCode.TIER_FORBIDDEN: Meaning(403, "the tier is above the workspace's own", 21),
    ResultCode.MODEL_UNKNOWN: Meaning(404, "no such model in the table", 22),
    ResultCode.SERVICE_UNKNOWN: Meaning(404, "no such service in the table", 22),
    ResultCode.KEY_INVALID: Meaning(400, "the Idempotency-Key is empty or too long", 20),
    ResultCode.PATH_UNKNOWN: Meaning(404, "no such path", 22),
    ResultCode.KEY_REUSED: Meaning(422, "the Idempotency-Key named another request before", 20),
    ResultCode.SHED_OVERLOAD: Meaning(
        429, "shed in favour of a higher tier or for want of room", 30
    ),
    ResultCode.SHED_DEADLINE: Meaning(503, "no target can meet the request's deadline", 30),
    ResultCode.WORKSPACE_LIMIT: Meaning(429, "the workspace is at its limit", 30),
    ResultCode.QUEUE_FULL: Meaning(429, "too many requests wait", 30),
    ResultCode.PREEMPTED: Meaning(503, "cancelled in progress in favour of a higher tier", 30),
    ResultCode.DRAINING: Meaning(503, "this host is stopping; use another", 31),
    ResultCode.STARTING: Meaning(503, "this host does not know its configuration yet", 31),
    ResultCode.NO_TARGET: Meaning(503, "no live target serves this", 31),
    ResultCode.NO_SCHEDULER: Meaning(503, "the failure domain has no reachable scheduler", 31),
    ResultCode.HISTORY_UNKNOWN: Meaning(503, "which targets had this request is not known", 31),
    ResultCode.RETRY_BUDGET: Meaning(503, "too many requests were sent again lately", 31),
    ResultCode.REQUEST_QUARANTINED: Meaning(
        503, "targets ended one after the other as they ran this request", 31
    ),
    ResultCode.TARGETS_RESTING: Meaning(
        503, "all targets that serve this asked this host not to send for a while", 31
    ),
    ResultCode.TARGETS_LIMITED: Meaning(
        503, "all targets that serve this take only so many requests a second", 31
    ),
    ResultCode.COMMAND_UNAVAILABLE: Meaning(503, "no majority of keepers can be reached", 40),
    ResultCode.COMMAND_OUTCOME_UNKNOWN: Meaning(409, "the command may have run; it is final", 41),
    ResultCode.COMMAND_NOT_RUN: Meaning(503, "the command was not run; it may be sent again", 42),
    ResultCode.COMMAND_STILL_RUNNING: Meaning(409, "the command runs; ask again with its key", 43),
    ResultCode.TARGET_UNREACHABLE: Meaning(502, "the target could not be reached", 50),
    ResultCode.TARGET_FAULT: Meaning(502, "the target answered with a fault", 50),
    ResultCode.ANSWER_CUT: Meaning(502, "the answer broke off and could not be resumed", 51),
    ResultCode.ANSWER_FOREIGN: Meaning(502, "the target answered for another request", 51),
    ResultCode.TARGET_TIMEOUT: Meaning(504, "the target did not answer in time", 52),
    ResultCode.ANSWER_TOO_LARGE: Meaning(502, "the answer is over its limit", 51),
    ResultCode.TABLE_STALE: Meaning(409, "the table changed since the edit began", 60),
    ResultCode.TABLE_INVALID: Meaning(400, "a row of the table is invalid", 61),
    ResultCode.TABLE_UNKNOWN: Meaning(503, "the edit's fate is not known; send it again", 62),
    ResultCode.OPERATOR_TOKEN: Meaning(401, "the operator token is wrong", 63),
    ResultCode.NOT_FOUND: Meaning(404, "nothing of that name", 64),
    ResultCode.USAGE: Meaning(400, "the command line is wrong", 2),
    ResultCode.PROCESS_UNREACHABLE: Meaning(503, "the process does not answer", 65),
    ResultCode.KEEPER_CHANGE_REFUSED: Meaning(409, "the keeper set cannot be changed so", 66),
    ResultCode.CONFIGURATION_INVALID: Meaning(400, "a configuration cannot be in force", 61),
    ResultCode.CONFIGURATION_STALE: Meaning(200, "a higher version is in force already", 60),
    ResultCode.CONFIGURATION_UNKNOWN: Meaning(
        503, "the newest configuration cannot be told now", 62
    ),
    ResultCode.ROLLOUT_UNDER_WAY: Meaning(409, "another rollout of the service runs", 66),
    ResultCode.ROLLOUT_UNKNOWN: Meaning(404, "the service had no rollout", 64),
    ResultCode.LINK_REFUSED: Meaning(403, "a link's key, host or site is wrong", 70),
    ResultCode.LINK_MALFORMED: Meaning(400, "a message of a link cannot be read", 70),
    ResultCode.LINK_CLOSED: Meaning(503, "the link closed before the answer", 70),
    ResultCode.LINK_TIMEOUT: Meaning(504, "the peer did not answer in time", 70),
    ResultCode.LINK_QUEUE_FULL: Meaning(503, "the peer reads too slowly", 70),
    ResultCode.STORAGE_CORRUPT: Meaning(500, "a record amid the data file is corrupt", 80),
    ResultCode.STORAGE_FAILED: Meaning(500, "the disk refused a write or a sync", 81),
    ResultCode.KEEPER_NOT_VOTING: Meaning(503, "this keeper's disk is not in the keeper set", 82),
    ResultCode.KEEPER_EPOCH: Meaning(409, "the sender knows an older keeper set", 83),
    ResultCode.KEEPER_DISK_OLD: Meaning(500, "the data folder is older than peers saw it", 84),
    ResultCode.QUORUM_UNREACHABLE: Meaning(503, "no majority of keepers answers", 85),
    ResultCode.INTERNAL: Meaning(500, "an error of troutstand's own", 90),
}


def describe_code(code: ResultCode) -> Meaning:
    """Return the meaning of a result code."""
    return _MEANINGS[code]
