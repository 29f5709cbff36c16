"""Give readers text that cannot be read."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import TYPE_CHECKING

from behave import then, when

from troutstand.backends import engine
from troutstand.backends.base import Reply
from troutstand.core.answerstream import AnswerEvent
from troutstand.core.errors import TroutstandError, flatten_group
from troutstand.daemon.enginerelay import assemble_answer
from troutstand.daemon.startup import decode_settings
from troutstand.generated.messages import TargetNotice
from troutstand.generated.routing import RoutingRole
from troutstand.routing.dialect import (
    decode_default_configuration,
    decode_default_rollout,
    decode_default_targets,
)
from troutstand.routing.startup import load_routing_settings
from troutstand.testing.routedsite import HOST, KEY
from troutstand.tests.environment import make_folder
from troutstand.tests.steps.platform import FOLDER, load_folder

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from behave.runner import Context


_DEPTH = 50_000
_TEXTS = {
    "values nested too deeply": b'{"id":' + b"[" * _DEPTH + b"]" * _DEPTH + b"}",
    "bytes that are no text": b'{"id":"\xff\xfe","version":"\xff","service":"\xff","site":"\xff"}',
    "an escaped lone surrogate": rb'{"id":"\ud800","version":"\ud800","service":"\ud800"}',
}
_WAIT_S = 10.0


# Readers


def _load_rollout_reader() -> Callable[[bytes], object]:
    sys.path.insert(0, str(FOLDER))
    try:
        import wire_rollouts
    finally:
        sys.path.remove(str(FOLDER))
    return wire_rollouts.decode_rollout


def _read_event(data: bytes) -> object:
    return assemble_answer([AnswerEvent(data, is_usage=False)], is_chat=False, usage=None)


def _read_report(data: bytes) -> object:
    reply = Reply(200, "application/json", data, TargetNotice("engine"))
    return engine._decode(reply, dict[str, str])


def _read_settings_file(folder: Path, data: bytes) -> object:
    path = folder / "settings.json"
    path.write_bytes(data)
    return load_routing_settings(path)


def _get_reader(context: Context, name: str) -> Callable[[bytes], object]:
    match name:
        case "a configuration":
            return decode_default_configuration
        case "the platform's configuration":
            return load_folder()[0].decode_configuration
        case "a rollout order":
            return decode_default_rollout
        case "the platform's rollout order":
            return _load_rollout_reader()
        case "a routed process's settings":
            return lambda data: _read_settings_file(make_folder(context), data)
        case "a process's settings":
            return decode_settings
        case "a page of the list of targets":
            return decode_default_targets
        case "an engine's report":
            return _read_report
        case "an engine's event":
            return _read_event
        case _:
            raise AssertionError(name)


@when("{reader} reads a text with {fault}")
def read_text(context: Context, reader: str, fault: str) -> None:
    context.codes = []
    try:
        _get_reader(context, reader)(_TEXTS[fault])
    except* TroutstandError as group:
        errors = flatten_group(group)
        context.codes = [int(e.code) for e in errors if isinstance(e, TroutstandError)]


@then("the text is refused with {code:d}")
def check_code(context: Context, code: int) -> None:
    assert context.codes == [code], context.codes


# Callers


_NO_TEXT = b"\xff\xfe\xed\xa0\x80"


def _write_head(place: str) -> bytes:
    values = {
        "path": b"/do/x",
        "Host": HOST.encode(),
        "key": KEY.encode(),
        "request id": b"r-no-text",
        "model": b"m",
        "deadline": b"2000",
        "tokens": b"10,10",
        "parts": b"p:10",
        "last event": b"",
        "method": b"POST",
    }
    values[place] = values[place] + _NO_TEXT
    lines = [
        values["method"] + b" " + values["path"] + b" HTTP/1.1",
        b"Host: " + values["Host"],
        b"X-Workspace-Key: " + values["key"],
        b"X-Request-Id: " + values["request id"],
        b"X-Model: " + values["model"],
        b"X-Deadline-Ms: " + values["deadline"],
        b"X-Tokens: " + values["tokens"],
        b"X-Prompt-Parts: " + values["parts"],
        b"Last-Event-Id: " + values["last event"],
        b"Content-Length: 1",
    ]
    return b"\r\n".join(lines) + b"\r\n\r\nx"


async def _exchange(callers: str, data: bytes) -> int:
    host, _, port = callers.rpartition(":")
    async with asyncio.timeout(_WAIT_S):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        line = await reader.readline()
        writer.close()
    assert line, "the connection was closed without an answer"
    return int(line.split(b" ")[1])


@when("a caller sends bytes that are no text in its {place}")
def send_no_text(context: Context, place: str) -> None:
    gateway = context.scene.site.list_role(RoutingRole.gateway)[0]
    context.status = asyncio.run(_exchange(gateway.settings.callers, _write_head(place)))


@then("the caller gets one of the statuses {statuses}")
def check_status(context: Context, statuses: str) -> None:
    assert context.status in json.loads(f"[{statuses}]"), context.status
