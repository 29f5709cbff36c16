"""Provide the command line of operators, troutstandctl."""

from __future__ import annotations

import os
import secrets
import sys
from pathlib import Path
from typing import Annotated

import msgspec
from cyclopts import App, Parameter

from troutstand.control.client import AdminApiError, AdminClient
from troutstand.control.explanation import explain_request
from troutstand.control.printing import AsJson, print_columns, print_json
from troutstand.control.rollouts import rollout
from troutstand.control.tablefiles import read_table, read_version, write_table
from troutstand.control.timeline import LogLine, make_trace, merge_logs, read_logs
from troutstand.core.codes import ResultCode, describe_code
from troutstand.core.errors import TroutstandError, flatten_group
from troutstand.core.reports import DrainReport, EventReport, KeepersReport, StatusReport
from troutstand.core.table import diff_rows, get_row_id, make_change
from troutstand.generated.control import ControlSettings
from troutstand.generated.settings import Address

app = App(name="troutstandctl", help="Operate a site of troutstand.")
table = App(name="table", help="Export, check and edit the operators' table.")
keepers = App(name="keepers", help="Form the keeper set, or replace a keeper that lost its disk.")
app.command(table)
app.command(keepers)
app.command(rollout)

TOKEN_VARIABLE = "TROUTSTAND_OPERATOR_TOKEN"
SETTINGS_VARIABLE = "TROUTSTAND_CONTROL"
_EDIT_ID_BYTES = 9

SettingsFile = Annotated[Path, Parameter(name="--settings", env_var=SETTINGS_VARIABLE)]


def _read_settings(path: Path) -> ControlSettings:
    try:
        return msgspec.json.decode(path.read_bytes(), type=ControlSettings)
    except OSError as error:
        raise TroutstandError(ResultCode.SETTINGS_UNREADABLE, str(error)) from error
    except msgspec.DecodeError as error:
        raise TroutstandError(ResultCode.SETTINGS_INVALID, str(error)) from error


def _make_client(path: Path) -> AdminClient:
    settings = _read_settings(path)
    token = os.environ.get(TOKEN_VARIABLE, "")
    if settings.operator_token_file:
        token = Path(settings.operator_token_file).read_text().strip()
    admins = {item.name: Address(item.ip, item.port) for item in settings.processes}
    return AdminClient(admins, token)


def _collect_statuses(client: AdminClient) -> list[StatusReport]:
    found = [client.try_status(process) for process in client.admins]
    statuses = [status for status in found if status is not None]
    if not statuses:
        raise TroutstandError(ResultCode.PROCESS_UNREACHABLE, "no process responded")
    return statuses


def _find_reachable(client: AdminClient) -> str:
    return _collect_statuses(client)[0].process


@app.command
def status(*, settings: SettingsFile, json: AsJson = False) -> None:
    """Show the state and table version of every process."""
    client = _make_client(settings)
    statuses = _collect_statuses(client)
    if json:
        print_json(statuses)
        return
    newest = max(item.version for item in statuses)
    rows = [["PROCESS", "DOMAIN", "STATE", "VERSION", "EPOCH", "SCHEDULER", "RUN", "WAIT"]]
    for item in statuses:
        behind = "" if item.version == newest else f" (behind {newest})"
        row = [item.process, item.failure_domain, item.state, f"{item.version}{behind}"]
        row += [str(item.epoch), item.scheduler or "-", str(item.running), str(item.waiting)]
        rows.append(row)
    reachable = {item.process for item in statuses}
    for process in client.admins:
        if process not in reachable:
            rows.append([process, "-", "silent", "-", "-", "-", "-", "-"])
    print_columns(rows)


@app.command
def hosts(*, settings: SettingsFile, process: str | None = None, json: AsJson = False) -> None:
    """Show the other processes as one process knows them from their heartbeats."""
    client = _make_client(settings)
    report = client.read_status(process or _find_reachable(client))
    if json:
        print_json(report.hosts)
        return
    rows = [["PROCESS", "STATE", "VERSION", "HEARD", "SCHEDULER"]]
    for item in report.hosts:
        last_heard = "never" if item.heard_s is None else f"{item.heard_s:.1f} s ago"
        version = f"{item.version}{' (behind)' if item.is_behind else ''}"
        rows.append(
            [item.process, item.state, version, last_heard, "yes" if item.scheduling else ""]
        )
    print_columns(rows)


@app.command
def targets(*, settings: SettingsFile, json: AsJson = False) -> None:
    """Show the targets of every failure domain, as reported by its scheduler."""
    client = _make_client(settings)
    schedulers = sorted({s.scheduler for s in _collect_statuses(client) if s.scheduler})
    reports = [client.read_targets(name) for name in schedulers if name in client.admins]
    if json:
        print_json(reports)
        return
    rows = [["DOMAIN", "TARGET", "STATE", "HEALTH", "RUNNING", "PREFILL/S", "DECODE/S"]]
    for report in reports:
        for item in report.targets:
            row = [report.failure_domain, item.name, item.state, item.health]
            row += [f"{item.running}/{item.slots}"]
            row += [f"{item.prefill_tokens_per_s:.0f}", f"{item.decode_tokens_per_s:.0f}"]
            rows.append(row)
    print_columns(rows)


@app.command
def drain(process: str, *, settings: SettingsFile, json: AsJson = False) -> None:
    """Drain an entry process and show the progress until it has stopped."""
    client = _make_client(settings)
    client.start_drain(process)
    last = DrainReport("draining", -1)
    while True:
        try:
            report = client.call(process, "GET", "/admin/drain", DrainReport)
        except OSError:
            break
        if report != last and not json:
            print(f"{process}: {report.state}, {report.open} open", flush=True)
        last = report
    final = DrainReport("stopped", max(0, last.open))
    if json:
        print_json(final)
    else:
        print(f"{process}: stopped")


@app.command
def explain(
    request: str,
    *,
    settings: SettingsFile | None = None,
    logs: list[Path] | None = None,
    json: AsJson = False,
) -> None:
    """Show why a request got its target, waited or was rejected.

    Parameters
    ----------
    logs
        Log files of a routed site's processes; read instead of calling the processes.
    """
    if logs:
        _explain_logs(request, logs, json)
        return
    if settings is None:
        raise TroutstandError(ResultCode.USAGE, "--settings or --logs is required")
    client = _make_client(settings)
    texts: list[str] = []
    for process in client.admins:
        try:
            report = client.call(process, "GET", f"/admin/events/{request}", EventReport)
        except OSError:
            print(f"{process} is unreachable", file=sys.stderr)
            continue
        texts += report.lines
    lines = merge_logs(texts)
    if not lines:
        raise TroutstandError(ResultCode.NOT_FOUND, f"no process has events of request {request!r}")
    _print_lines(lines, json)


def _explain_logs(request: str, logs: list[Path], json: bool) -> None:
    explanation = explain_request(read_logs(logs), request)
    if explanation is None:
        raise TroutstandError(ResultCode.NOT_FOUND, f"no log line of request {request!r}")
    _print_lines([*explanation.state_lines, *explanation.steps], json)
    print(f"cause: {explanation.cause}")


@app.command
def timeline(
    *logs: Path,
    settings: SettingsFile | None = None,
    request: str | None = None,
    json: AsJson = False,
) -> None:
    """Merge the logs of all processes in causal order."""
    _print_lines(_select_lines(logs, settings, request), json)


@app.command
def trace(
    *logs: Path, output: Path, settings: SettingsFile | None = None, request: str | None = None
) -> None:
    """Write the merged logs as a trace file in the Trace Event Format."""
    lines = _select_lines(logs, settings, request)
    output.write_bytes(make_trace(lines))
    print(f"{output}: {len(lines)} events")


def _select_lines(
    logs: tuple[Path, ...], settings: Path | None, request: str | None
) -> list[LogLine]:
    paths = list(logs)
    if not paths and settings is not None:
        paths = [Path(name) for name in _read_settings(settings).log_files]
    if not paths:
        raise TroutstandError(
            ResultCode.USAGE, "log files are required, as arguments or as log_files in the settings"
        )
    lines = read_logs(paths)
    return [line for line in lines if request is None or line.request == request]


def _print_lines(lines: list[LogLine], as_json: bool) -> None:
    for line in lines:
        if as_json:
            print_json(line.fields)
        else:
            print(line.text)


@table.command
def export(folder: Path, *, settings: SettingsFile) -> None:
    """Write the table in force as CSV files."""
    client = _make_client(settings)
    report = client.read_table(_find_reachable(client))
    for path in write_table(folder, report.version, report.rows):
        print(path)
    print(f"version {report.version}")


@table.command
def check(folder: Path) -> None:
    """Validate a table's files locally."""
    print(f"{len(read_table(folder))} rows are valid")


@table.command
def diff(folder: Path, *, settings: SettingsFile, json: AsJson = False) -> None:
    """Show how a table's files differ from the table in force."""
    client = _make_client(settings)
    report = client.read_table(_find_reachable(client))
    differences = diff_rows({get_row_id(row): row for row in report.rows}, read_table(folder))
    if json:
        print_json([(d.row_id.kind, d.row_id.name, d.before, d.after) for d in differences])
        return
    for item in differences:
        sign = "+" if item.before is None else "-" if item.after is None else "~"
        print(f"{sign} {item.row_id.kind.value} {item.row_id.name}")
        if item.before is not None:
            print(f"    before {item.before}")
        if item.after is not None:
            print(f"    after  {item.after}")
    print(f"{len(differences)} rows differ from version {report.version}")


@table.command
def accept(
    folder: Path, *, settings: SettingsFile, edit_id: str | None = None, json: AsJson = False
) -> None:
    """Submit a table's files as the next version.

    Parameters
    ----------
    edit_id
        Idempotency key of the edit; a repeated edit returns the first result.
    """
    client = _make_client(settings)
    base = read_version(folder)
    rows = read_table(folder)
    process = _find_reachable(client)
    edit_id = edit_id or secrets.token_urlsafe(_EDIT_ID_BYTES)
    print(f"edit {edit_id}, from version {base}", file=sys.stderr)
    before = {get_row_id(row): row for row in client.read_table(process).rows}
    change = make_change(edit_id, base, diff_rows(before, rows))
    report = client.send_change(process, change)
    write_table(folder, report.version, rows.values())
    if json:
        print_json(report)
    else:
        print(f"accepted as version {report.version}")


@keepers.command
def form(*, settings: SettingsFile, process: str, json: AsJson = False) -> None:
    """Form the initial keeper set from all formatted keepers; run it once per site."""
    client = _make_client(settings)
    _print_keepers(client.call(process, "POST", "/admin/keepers/form", KeepersReport), json)


@keepers.command
def replace(lost: str, *, settings: SettingsFile, process: str, json: AsJson = False) -> None:
    """Replace the lost disk of a keeper by its newly formatted one.

    Parameters
    ----------
    lost
        Keeper process whose disk was lost; it already runs on the new disk.
    process
        Another keeper process, which coordinates the replacement.
    """
    _print_keepers(_make_client(settings).replace_keeper(process, lost), json)


def _print_keepers(report: KeepersReport, as_json: bool) -> None:
    if as_json:
        print_json(report)
        return
    print(f"epoch {report.epoch}")
    for member in report.members:
        print(f"  {member}")


def _print_errors(error: BaseException) -> int:
    """Print every error of a group and return the exit code of the first."""
    code = ResultCode.INTERNAL
    for single in reversed(flatten_group(error)):
        if isinstance(single, TroutstandError):
            code = single.code
            print(f"troutstandctl: {single}", file=sys.stderr)
        elif isinstance(single, AdminApiError):
            code = ResultCode(single.body.number)
            print(
                f"troutstandctl: {code.value} {code.name}: {single.body.message}", file=sys.stderr
            )
        elif isinstance(single, OSError):
            code = ResultCode.PROCESS_UNREACHABLE
            print(f"troutstandctl: {code.value} {code.name}: {single}", file=sys.stderr)
    return describe_code(code).exit_code


def run() -> None:
    """Run troutstandctl and exit with its exit code."""
    exit_code = 0
    try:
        app()
    except* (TroutstandError, AdminApiError, OSError) as group:
        exit_code = _print_errors(group)
    sys.exit(exit_code)


if __name__ == "__main__":
    run()
