"""Play the tries of one request of an entry process against scripted targets."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

from troutstand.backends.base import Reply
from troutstand.backends.engine import EngineBackend, make_completion_id
from troutstand.core.codes import ResultCode, Run
from troutstand.core.errors import TroutstandError
from troutstand.generated.messages import Finished, Grant, PlacementAsk, TargetNotice

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    import aiohttp

    from troutstand.backends.base import Backend, Call
    from troutstand.daemon.entry import EntryProcess
    from troutstand.generated.table import Target

REQUEST = "scripted"


@dataclass(frozen=True)
class ScriptedTry:
    """Define what comes of one try; times in seconds.

    Parameters
    ----------
    code
        The failure of the try; OK for an answer.
    first_silence_s
        Silence before the first event.
    silence_s
        Silence between the first event and the rest.
    is_listed
        Whether the table still holds the target.
    """

    code: ResultCode = ResultCode.OK
    first_silence_s: float = 0.0
    silence_s: float = 0.0
    is_listed: bool = True


def make_answer_event(number: int, rest: str) -> bytes:
    """Return one event of an engine's answer."""
    answer = make_completion_id(REQUEST)
    return f'id: {number}\ndata: {{"id":"{answer}",{rest}}}\n\n'.encode()


class ScriptedBackend(EngineBackend):
    """Stand for a target that plays one try."""

    def __init__(self, name: str, script: ScriptedTry) -> None:
        row = cast("Target", SimpleNamespace(name=name, resumes=False, cancels=False))
        super().__init__(row, cast("aiohttp.ClientSession", None))
        # Set by a check, which never ends then.
        self.on_check: asyncio.Event | None = None
        self._script = script

    def _raise_failure(self) -> None:
        if self._script.code is not ResultCode.OK:
            was_sent = self._script.code is not ResultCode.TARGET_UNREACHABLE
            raise TroutstandError(self._script.code, run=Run.UNKNOWN if was_sent else Run.NO)

    async def stream(self, call: Call) -> AsyncIterator[bytes]:
        """Yield an answer of one token."""
        self._raise_failure()
        # The lengths of the silences are what is played.
        await asyncio.sleep(self._script.first_silence_s)
        yield make_answer_event(0, '"choices":[{"index":0,"delta":{"content":"x"}}]')
        await asyncio.sleep(self._script.silence_s)
        last = '"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]'
        yield make_answer_event(1, last) + b"data: [DONE]\n\n"

    async def request(self, call: Call) -> Reply:
        """Return a whole answer."""
        self._raise_failure()
        return Reply(200, "text/plain", b"x", TargetNotice(""))

    async def is_gone(self) -> bool:
        """Return that the target runs, if checks end."""
        if self.on_check is not None:
            self.on_check.set()
            await asyncio.get_running_loop().create_future()
        return False


@dataclass
class ScriptedEntry:
    """Stand for an entry process whose tries are placed at the scripted targets in turn."""

    scripts: list[ScriptedTry]
    asked: list[PlacementAsk] = field(default_factory=list)
    finished: list[Finished] = field(default_factory=list)
    # Set by a check or a record of a target, which never ends then.
    on_check: asyncio.Event | None = None
    on_record: asyncio.Event | None = None

    def make(self) -> EntryProcess:
        """Return what handlers of requests use of an entry process."""
        names = [f"t{number}" for number in range(len(self.scripts))]
        listed = {n: s for n, s in zip(names, self.scripts, strict=True) if s.is_listed}
        rows = {name: SimpleNamespace(prefill_tokens_per_s=1000.0) for name in listed}
        backends = {name: ScriptedBackend(name, script) for name, script in listed.items()}

        for backend in backends.values():
            backend.on_check = self.on_check

        def find_backend(target: str) -> Backend | None:
            return backends.get(target)

        entry = SimpleNamespace(
            placement=SimpleNamespace(place=self._place, finish=self.finished.append),
            table_index=SimpleNamespace(targets=rows),
            find_backend=find_backend,
            tried_targets=SimpleNamespace(collect=self._collect, record=self._record),
            settings=SimpleNamespace(limits=SimpleNamespace(answer_bytes=1 << 20)),
            events=SimpleNamespace(emit=_ignore),
        )
        return cast("EntryProcess", entry)

    async def _collect(self, key: str) -> set[str]:
        return set()

    async def _record(self, key: str, target: str) -> set[str]:
        if self.on_record is not None:
            self.on_record.set()
            await asyncio.get_running_loop().create_future()
        return set()

    async def _place(self, ask: PlacementAsk, _: object) -> Grant:
        if len(self.asked) == len(self.scripts):
            raise TroutstandError(ResultCode.NO_TARGET)
        self.asked.append(ask)
        return Grant(ask.request, f"t{len(self.asked) - 1}")


def _ignore(*args: object, **fields: object) -> None:
    """Ignore an event."""
