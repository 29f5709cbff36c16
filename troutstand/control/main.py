"""Operate a site from the command line."""

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
table = App(name="table", help="Work on the operators' table.")
keepers = App(name="keepers", help="Form the keeper set, or replace a keeper that lost its disk.")
app.command(table)
app.command(keepers)
app.command(rollout)

TOKEN_VARIABLE = "TROUTSTAND_OPERATOR_TOKEN"
SETTINGS_VARIABLE = "TROUTSTAND_CONTROL"
_EDIT_BYTES = 9

SettingsFile = Annotated[Path, Parameter(name="--settings", env_var=SETTINGS_VARIABLE)]


def _read_settings(path: Path) -> ControlSettings:
    try:
        return msgspec.json.decode(path.read_bytes(), type=ControlSettings)
    except OSError as error:
        raise TroutstandError(ResultCode.SETTINGS_UNREADABLE, str(error)) from error
    except msgspec.DecodeError as error:
        raise TroutstandError(ResultCode.SETTINGS_INVALID, str(error)) from error


def _make_operator(path: Path) -> AdminClient:
    settings = _read_settings(path)
    token = os.environ.get(TOKEN_VARIABLE, "")
    if settings.operator_token_file:
        token = Path(settings.operator_token_file).read_text().strip()
    admins = {item.name: Address(item.ip, item.port) for item in settings.processes}
    return AdminClient(admins, token)


def _collect_statuses(operator: AdminClient) -> list[StatusReport]:
    found = [operator.try_status(process) for process in operator.admins]
    statuses = [status for status in found if status is not None]
    if not statuses:
        raise TroutstandError(ResultCode.PROCESS_UNREACHABLE, "no process answers")
    return statuses


def _first_live(operator: AdminClient) -> str:
    return _collect_statuses(operator)[0].process


@app.command
def status(*, settings: SettingsFile, json: AsJson = False) -> None:
    """Show every process, the version it runs, and which are behind."""
    operator = _make_operator(settings)
    statuses = _collect_statuses(operator)
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
    answered = {item.process for item in statuses}
    for process in operator.admins:
        if process not in answered:
            rows.append([process, "-", "silent", "-", "-", "-", "-", "-"])
    print_columns(rows)


@app.command
def hosts(*, settings: SettingsFile, process: str | None = None, json: AsJson = False) -> None:
    """Show what one process hears of the others."""
    operator = _make_operator(settings)
    report = operator.read_status(process or _first_live(operator))
    if json:
        print_json(report.hosts)
        return
    rows = [["PROCESS", "STATE", "VERSION", "HEARD", "SCHEDULER"]]
    for item in report.hosts:
        heard = "never" if item.heard_s is None else f"{item.heard_s:.1f} s ago"
        version = f"{item.version}{' (behind)' if item.is_behind else ''}"
        rows.append([item.process, item.state, version, heard, "yes" if item.scheduling else ""])
    print_columns(rows)


@app.command
def targets(*, settings: SettingsFile, json: AsJson = False) -> None:
    """Show the targets of every failure domain as its scheduler knows them."""
    operator = _make_operator(settings)
    schedulers = sorted({s.scheduler for s in _collect_statuses(operator) if s.scheduler})
    reports = [operator.read_targets(name) for name in schedulers if name in operator.admins]
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
    """Stop an entry process without cutting a request, and show its progress."""
    operator = _make_operator(settings)
    operator.start_drain(process)
    last = DrainReport("draining", -1)
    while True:
        try:
            report = operator.call(process, "GET", "/admin/drain", DrainReport)
        except OSError:
            break
        if report != last and not json:
            print(f"{process}: {report.state}, {report.open} open", flush=True)
        last = report
    ended = DrainReport("stopped", max(0, last.open))
    if json:
        print_json(ended)
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
    """Show why a request got its target, waited or was refused.

    Parameters
    ----------
    logs
        Collected logs of a routed site's processes, instead of asking processes.
    """
    if logs:
        _explain_logs(request, logs, json)
        return
    if settings is None:
        raise TroutstandError(ResultCode.USAGE, "--settings or --logs is needed")
    operator = _make_operator(settings)
    texts: list[str] = []
    for process in operator.admins:
        try:
            report = operator.call(process, "GET", f"/admin/events/{request}", EventReport)
        except OSError:
            print(f"{process} does not answer", file=sys.stderr)
            continue
        texts += report.lines
    lines = merge_logs(texts)
    if not lines:
        raise TroutstandError(ResultCode.NOT_FOUND, f"no process keeps events of {request!r}")
    _print_lines(lines, json)


def _explain_logs(request: str, logs: list[Path], json: bool) -> None:
    explanation = explain_request(read_logs(logs), request)
    if explanation is None:
        raise TroutstandError(ResultCode.NOT_FOUND, f"no line names {request!r}")
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
    """Write the merged logs as a file that a trace viewer opens."""
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
        raise TroutstandError(ResultCode.USAGE, "name log files, or settings that do")
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
    operator = _make_operator(settings)
    report = operator.read_table(_first_live(operator))
    for path in write_table(folder, report.version, report.rows):
        print(path)
    print(f"version {report.version}")


@table.command
def check(folder: Path) -> None:
    """Check a table's files without sending them."""
    print(f"{len(read_table(folder))} rows are in order")


@table.command
def diff(folder: Path, *, settings: SettingsFile, json: AsJson = False) -> None:
    """Show how a table's files differ from the table in force."""
    operator = _make_operator(settings)
    report = operator.read_table(_first_live(operator))
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
    """Accept a table's files as the next version.

    Parameters
    ----------
    edit_id
        Names the edit; sending the same edit again answers as the first time.
    """
    operator = _make_operator(settings)
    base = read_version(folder)
    rows = read_table(folder)
    process = _first_live(operator)
    edit_id = edit_id or secrets.token_urlsafe(_EDIT_BYTES)
    print(f"edit {edit_id}, from version {base}", file=sys.stderr)
    before = {get_row_id(row): row for row in operator.read_table(process).rows}
    change = make_change(edit_id, base, diff_rows(before, rows))
    report = operator.send_change(process, change)
    write_table(folder, report.version, rows.values())
    if json:
        print_json(report)
    else:
        print(f"accepted as version {report.version}")


@keepers.command
def form(*, settings: SettingsFile, process: str, json: AsJson = False) -> None:
    """Make all formatted keepers the first keeper set, once in a site's life."""
    operator = _make_operator(settings)
    _print_keepers(operator.call(process, "POST", "/admin/keepers/form", KeepersReport), json)


@keepers.command
def replace(lost: str, *, settings: SettingsFile, process: str, json: AsJson = False) -> None:
    """Put a keeper's newly formatted disk in the place of its lost one.

    Parameters
    ----------
    lost
        The keeper process whose disk was lost; it runs on a new one.
    process
        Another keeper process, which carries the change out.
    """
    _print_keepers(_make_operator(settings).replace_keeper(process, lost), json)


def _print_keepers(report: KeepersReport, as_json: bool) -> None:
    if as_json:
        print_json(report)
        return
    print(f"epoch {report.epoch}")
    for member in report.members:
        print(f"  {member}")


def _report(error: BaseException) -> int:
    """Print every single error and return the exit code of the first."""
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
    """Run the command line."""
    exit_code = 0
    try:
        app()
    except* (TroutstandError, AdminApiError, OSError) as group:
        exit_code = _report(group)
    sys.exit(exit_code)


if __name__ == "__main__":
    run()
