"""Serve the HTTP API for operators of a process."""

from __future__ import annotations

import hashlib
import hmac
import resource
from typing import TYPE_CHECKING, TypeVar

import msgspec
from aiohttp import hdrs, web

from troutstand.core.codec import decode_json
from troutstand.core.codes import ResultCode, Run
from troutstand.core.errors import TroutstandError, flatten_group
from troutstand.core.reports import (
    AcceptCall,
    AcceptReport,
    DrainReport,
    EventReport,
    HostReport,
    KeepersReport,
    ReplaceCall,
    StatusReport,
    TableReport,
    TargetReport,
    TargetsReport,
)
from troutstand.daemon.entry import EntryProcess
from troutstand.daemon.errorresponse import make_error_response
from troutstand.daemon.keeper import KeeperProcess
from troutstand.util.clock import read_clock_s
from troutstand.util.events import format_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from troutstand.generated.messages import KeeperSet

    Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

T = TypeVar("T")
_BEARER_PREFIX = "Bearer "
_PAGE_BYTES = 4096


def _make_response(report: msgspec.Struct) -> web.Response:
    return web.Response(body=msgspec.json.encode(report), content_type="application/json")


async def _decode_body(request: web.Request, body_type: type[T]) -> T:
    return decode_json(await request.read(), body_type, ResultCode.TABLE_INVALID)


def _read_resident_bytes() -> int:
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * _PAGE_BYTES


class AdminApi:
    """Serve the operators' HTTP API of one process."""

    def __init__(
        self,
        process: EntryProcess | KeeperProcess,
        request_drain: Callable[[], None],
    ) -> None:
        self._process = process
        self._node = process.node
        self._request_drain = request_drain

    def make_app(self) -> web.Application:
        """Return the aiohttp application with the API's routes."""
        limit = self._node.settings.limits.body_bytes
        app = web.Application(middlewares=[self._guard], client_max_size=limit)
        router = app.router
        router.add_get("/admin/status", self._get_status)
        router.add_get("/admin/table", self._get_table)
        router.add_post("/admin/table/accept", self._accept_edit)
        router.add_get("/admin/events/{request}", self._get_events)
        router.add_get("/admin/targets", self._get_targets)
        router.add_post("/admin/drain", self._start_drain)
        router.add_get("/admin/drain", self._get_drain)
        router.add_post("/admin/keepers/form", self._make_keeper_set)
        router.add_post("/admin/keepers/replace", self._replace_keeper)
        return app

    @web.middleware
    async def _guard(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        try:
            self._check_token(request)
            return await handler(request)
        except* TroutstandError as group:
            errors = [e for e in flatten_group(group) if isinstance(e, TroutstandError)]
            response = make_error_response(_join_errors(errors))
        except* web.HTTPException as group:
            error = TroutstandError(ResultCode.NOT_FOUND, str(group.exceptions[0]))
            response = make_error_response(error)
        return response

    def _check_token(self, request: web.Request) -> None:
        token = request.headers.get(hdrs.AUTHORIZATION, "").removeprefix(_BEARER_PREFIX)
        digest = hashlib.sha256(token.encode()).hexdigest()
        if not hmac.compare_digest(digest, self._node.settings.operator_token_sha256):
            self._node.events.emit("operator_refused", code=ResultCode.OPERATOR_TOKEN)
            raise TroutstandError(ResultCode.OPERATOR_TOKEN)

    # Status

    async def _get_status(self, _: web.Request) -> web.Response:
        process, node = self._process, self._node
        version = process.configuration.version
        traffic = node.peers.traffic
        report = StatusReport(
            process=node.process,
            role=node.settings.role.value,
            failure_domain=node.settings.failure_domain,
            state=node.state.value,
            version=version,
            epoch=process.registers.epoch,
            sent_messages=traffic.messages,
            sent_bytes=traffic.bytes,
            uptime_s=read_clock_s() - node.started_s,
            processor_s=_read_cpu_s(),
            resident_bytes=_read_resident_bytes(),
            hosts=self._list_hosts(version),
        )
        if isinstance(process, EntryProcess):
            report.scheduler = process.placement.scheduler
            report.running = process.placement.running_count
            report.waiting = process.placement.waiting_count
        else:
            report.voting = process.acceptor.is_voting and process.is_disk_checked
            report.disk_id = process.acceptor.identity.disk_id
            report.records = process.storage.sequence
            report.syncs = process.storage.sync_count
        return _make_response(report)

    def _list_hosts(self, version: int) -> list[HostReport]:
        hosts = []
        latest_heartbeats = self._node.peers.heartbeats
        newest = max(
            [version, *(latest.heartbeat.version for latest in latest_heartbeats.values())]
        )
        for peer in sorted(self._node.peers.process_ids):
            latest = latest_heartbeats.get(peer)
            if latest is None:
                hosts.append(HostReport(peer, "unheard", 0, None, is_behind=True))
                continue
            heartbeat = latest.heartbeat
            hosts.append(
                HostReport(
                    process=peer,
                    state=heartbeat.state.value,
                    version=heartbeat.version,
                    heard_s=read_clock_s() - latest.received_s,
                    scheduling=heartbeat.scheduling,
                    is_behind=heartbeat.version < newest,
                )
            )
        return hosts

    async def _get_events(self, request: web.Request) -> web.Response:
        events = self._node.events.find_request(request.match_info["request"])
        return _make_response(EventReport([format_event(event) for event in events]))

    async def _get_targets(self, _: web.Request) -> web.Response:
        process = self._process
        scheduler = (
            process.leased_scheduler.scheduler if isinstance(process, EntryProcess) else None
        )
        if scheduler is None:
            raise TroutstandError(
                ResultCode.NO_SCHEDULER,
                "this process is not the scheduler; ask the scheduler's process",
            )
        targets = [
            TargetReport(
                name=name,
                protocol=target.row.protocol.value,
                state="leaving" if target.is_leaving else "live",
                health=target.health.value,
                running=len(target.running),
                slots=target.row.slots,
                prefill_tokens_per_s=target.prefill_tokens_per_s,
                decode_tokens_per_s=target.decode_tokens_per_s,
            )
            for name, target in sorted(scheduler.targets.items())
        ]
        return _make_response(
            TargetsReport(
                scheduler.failure_domain, scheduler.waiting_count, scheduler.inversions, targets
            )
        )

    # Table

    async def _get_table(self, _: web.Request) -> web.Response:
        table = self._process.configuration.follower.table
        return _make_response(TableReport(table.version, list(table.rows.values())))

    async def _accept_edit(self, request: web.Request) -> web.Response:
        call = await _decode_body(request, AcceptCall)
        version = await self._process.configuration.accept(call.change)
        return _make_response(AcceptReport(version, call.change.edit_id))

    # Drain and keepers

    async def _start_drain(self, _: web.Request) -> web.Response:
        self._request_drain()
        return self._make_drain_response()

    async def _get_drain(self, _: web.Request) -> web.Response:
        return self._make_drain_response()

    def _make_drain_response(self) -> web.Response:
        process = self._process
        open_calls = process.count_open() if isinstance(process, EntryProcess) else 0
        return _make_response(DrainReport(self._node.state.value, open_calls))

    async def _make_keeper_set(self, _: web.Request) -> web.Response:
        return _make_keepers_response(await self._require_keeper().membership.make_initial_set())

    async def _replace_keeper(self, request: web.Request) -> web.Response:
        call = await _decode_body(request, ReplaceCall)
        return _make_keepers_response(await self._require_keeper().membership.replace(call.process))

    def _require_keeper(self) -> KeeperProcess:
        if not isinstance(self._process, KeeperProcess):
            raise TroutstandError(
                ResultCode.KEEPER_CHANGE_REFUSED,
                "this process is not a keeper; ask a keeper process",
            )
        return self._process


def _make_keepers_response(keepers: KeeperSet) -> web.Response:
    members = [f"{m.process} {m.state.value} {m.disk_id}" for m in keepers.members]
    return _make_response(KeepersReport(keepers.epoch, members))


def _read_cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _join_errors(errors: list[TroutstandError]) -> TroutstandError:
    first = errors[0]
    if len(errors) == 1:
        return first
    text = "\n".join(error.detail for error in errors)
    return TroutstandError(first.code, text, Run.NO, first.retry_after_s)
