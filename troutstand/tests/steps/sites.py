"""Inject faults into real processes and compare the responses with what ran."""

from __future__ import annotations

import asyncio
import json
import shutil
import signal
from concurrent.futures import Future, ThreadPoolExecutor
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.control.client import AdminApiError, HttpResponse, fetch
from troutstand.generated.table import Model
from troutstand.testing.load import LoadGenerator
from troutstand.testing.mixes import IRRIGATION, RequestSampler
from troutstand.testing.score import count_command_runs, score_commands
from troutstand.testing.site import MODEL, SERVICE, Site, SitePlan, wait_for
from troutstand.tests.environment import start_site

if TYPE_CHECKING:
    from behave.runner import Context

_TOKEN = "token-counter"
_RUNS = {"never": (0, 0), "once": (1, 1), "at most once": (0, 1)}
SEED = 20261202


@given("a site of 3 failure domains with 1 keeper each")
def start_three_domains(context: Context) -> None:
    context.plan = SitePlan(
        entries=(2, 1, 1), keepers=(1, 1, 1), engine_speeds=(1.0,), services=1, lease_s=1.0
    )
    context.site = None
    context.pool = ThreadPoolExecutor(8)


def get_site(context: Context) -> Site:
    """Start the scenario's site when its plan is complete."""
    if context.site is None:
        context.site = start_site(context, context.plan)
        for domain in ("north", "south", "west"):
            context.site.find_scheduler(domain)
    return context.site


@given("the command service takes a second to run")
def slow_service(context: Context) -> None:
    plan = context.plan
    context.plan = SitePlan(**{**plan.__dict__, "service_run_s": 1.0})


def send_command(site: Site, key: str, process: str, keyed: bool = True) -> HttpResponse | None:
    """Send a command; None where the connection broke."""
    headers = {"Idempotency-Key": key} if keyed else {}
    path = f"/services/{SERVICE}/valves/{key}/shut"
    try:
        return fetch(site.callers[process], "POST", path, key.encode(), _TOKEN, headers)
    except (OSError, TimeoutError):
        return None


def list_records(site: Site, part: str) -> list:
    """List the record files of the stand-ins of one kind."""
    return [site.folder / f"{name}.records" for name in site.processes if part in name]


def count_runs(site: Site, key: str) -> int:
    """Count how often a command ran, by the services' own records."""
    return count_command_runs(list_records(site, "-service-"))[key]


def has_event(site: Site, process: str, event: str, detail: str = "") -> bool:
    """Tell whether a process logged an event."""
    path = site.folder / f"{process}.log"
    lines = path.read_text().splitlines() if path.exists() else []
    return any(f"event={event} " in line + " " and detail in line for line in lines)


@when('command "{key}" is sent through "{process}", which is killed once the target has it')
def kill_after_target(context: Context, key: str, process: str) -> None:
    site = get_site(context)
    context.pending = context.pool.submit(send_command, site, key, process)
    wait_for(lambda: count_runs(site, key), f"run of {key}")
    site.processes[process].kill()
    context.pending.result()


@when('command "{key}" is sent through "{process}", which is frozen once it claimed')
def freeze_after_claim(context: Context, key: str, process: str) -> None:
    site = get_site(context)
    context.pending = context.pool.submit(send_command, site, key, process)
    wait_for(lambda: has_event(site, process, "command_dispatched", key), "dispatch")
    site.processes[process].send(signal.SIGSTOP)


@when('"{process}" thaws and its answer is awaited')
def thaw(context: Context, process: str) -> None:
    context.site.processes[process].send(signal.SIGCONT)
    context.pending.result()


@given('command "{key}" is sent through "{process}"')
@when('command "{key}" is sent through "{process}"')
@when('command "{key}" is sent again through "{process}"')
def send_and_keep(context: Context, key: str, process: str) -> None:
    context.last = send_command(get_site(context), key, process)


@when('an unkeyed command "{key}" is sent through "{process}"')
def send_unkeyed(context: Context, key: str, process: str) -> None:
    context.last = send_command(get_site(context), key, process, keyed=False)


@when('command "{key}" is sent through every entry process at once')
def send_everywhere(context: Context, key: str) -> None:
    site = get_site(context)
    futures: list[Future] = [
        context.pool.submit(send_command, site, key, name) for name in site.entries
    ]
    context.answers = [future.result() for future in futures]


@then("every answer is the same whole one")
def assert_same_answers(context: Context) -> None:
    assert all(answer and answer.status == 200 for answer in context.answers), context.answers
    assert len({answer.body for answer in context.answers}) == 1, context.answers


@then('the last answer is {code:d} with run "{run}"')
def assert_refusal(context: Context, code: int, run: str) -> None:
    error = json.loads(context.last.body)["error"]
    assert (error["number"], error["run"]) == (code, run), error


@then("the last answer is whole")
def assert_whole(context: Context) -> None:
    assert context.last is not None and context.last.status == 200, context.last


@then('"{key}" ran {times}')
def assert_runs(context: Context, key: str, times: str) -> None:
    least, most = _RUNS[times]
    assert least <= count_runs(context.site, key) <= most, count_runs(context.site, key)


@when('"{process}" is killed')
def kill_process(context: Context, process: str) -> None:
    get_site(context).processes[process].kill()


@when("every keeper is killed")
def kill_keepers(context: Context) -> None:
    site = get_site(context)
    for name in site.keepers:
        site.processes[name].kill()


def send_chat(site: Site, process: str) -> HttpResponse:
    """Send a short chat."""
    body = {"model": MODEL, "messages": [{"role": "user", "content": "hello"}], "max_tokens": 3}
    data = json.dumps(body).encode()
    return fetch(site.callers[process], "POST", "/v1/chat/completions", data, _TOKEN)


@then('chats through "{process}" are whole for {leases:d} leases')
def assert_chats(context: Context, process: str, leases: int) -> None:
    site = context.site
    start = site.operator().read_status(process).uptime_s
    last_s = start + leases * context.plan.lease_s
    while site.operator().read_status(process).uptime_s < last_s:
        answer = send_chat(site, process)
        assert answer.status == 200, answer


@when('a mixed load runs and the scheduler of "{domain}" is killed')
def kill_scheduler(context: Context, domain: str) -> None:
    site = get_site(context)
    names = [name for name in site.entries if site.domains[name] == domain]
    context.victim = site.find_scheduler(domain)
    drawn = RequestSampler(IRRIGATION, SEED).draw(40.0, 3.0)
    load = LoadGenerator([site.callers[name] for name in names], max_resends=4)
    future = context.pool.submit(lambda: asyncio.run(load.run(drawn)))
    wait_for(lambda: len(load.results) >= len(drawn) // 4, "a quarter of the load")
    site.processes[context.victim].kill()
    context.results = future.result()


@then("no answer that a caller took for whole was short or another's")
def assert_own(context: Context) -> None:
    wrong = [r for r in context.results if r.is_complete and not r.is_correct]
    assert not wrong, wrong
    assert sum(r.is_correct for r in context.results) > len(context.results) // 2


@then('no command ran twice and every "not run" is true')
def assert_commands(context: Context) -> None:
    score = score_commands(context.results, list_records(context.site, "-service-"))
    assert score.sent > 0 and score.ran_twice == 0, score
    assert score.false_not_run == 0 and score.lost == 0, score


@then('the other entry processes of "{domain}" serve again')
def assert_serving(context: Context, domain: str) -> None:
    site = context.site
    others = [n for n in site.entries if site.domains[n] == domain and n != context.victim]
    for name in others:
        wait_for(lambda name=name: send_chat(site, name).status == 200, f"answer of {name}")


# Keepers and disks


@when('"{process}" loses its disk and returns')
def lose_disk(context: Context, process: str) -> None:
    site = get_site(context)
    site.processes[process].kill()
    shutil.rmtree(site.folder / f"{process}.data")
    site.format_disk(process)
    site.processes[process].start()
    wait_for(lambda: site.operator().try_status(process), f"{process} back")


@when('"{process}" loses its disk and is replaced')
def replace_disk(context: Context, process: str) -> None:
    lose_disk(context, process)
    site = context.site
    other = next(name for name in site.keepers if name != process)

    def try_replace() -> bool:
        try:
            site.operator().replace_keeper(other, process)
        except (OSError, AdminApiError) as refusal:
            return "cannot replace a member" in str(refusal)
        return True

    wait_for(try_replace, "replacement")
    wait_for(lambda: site.operator().read_status(process).voting, f"{process} voting")
    epoch = site.operator().read_status(process).epoch
    for name in site.keepers:
        wait_for(lambda name=name: site.operator().read_status(name).epoch == epoch, "epoch")


@then('"{process}" does not vote')
def assert_not_voting(context: Context, process: str) -> None:
    operator = context.site.operator()
    wait_for(lambda: operator.read_status(process).hosts[0].heard_s is not None, "heartbeats")
    assert operator.read_status(process).voting is False


@given('the disk of "{process}" is copied')
def copy_disk(context: Context, process: str) -> None:
    site = get_site(context)
    wait_for(lambda: site.operator().read_status(process).voting, f"{process} voting")
    shutil.copytree(site.folder / f"{process}.data", site.folder / f"{process}.copy")


@given('the peers of "{process}" heard how far its disk has come')
def await_sequences(context: Context, process: str) -> None:
    site = context.site
    before = site.operator().read_status(process).sent_messages
    count = 2 * (len(site.domains) - 1)
    wait_for(
        lambda: site.operator().read_status(process).sent_messages >= before + count,
        "two heartbeats",
    )


@when('"{process}" is restarted with the copied disk')
def restore_disk(context: Context, process: str) -> None:
    site = context.site
    site.processes[process].kill()
    shutil.rmtree(site.folder / f"{process}.data")
    shutil.copytree(site.folder / f"{process}.copy", site.folder / f"{process}.data")
    site.processes[process].start()
    wait_for(lambda: site.operator().try_status(process), f"{process} back")


@then('"{process}" reports code {code:d} and does not vote')
def assert_reported(context: Context, process: str, code: int) -> None:
    wait_for(lambda: has_event(context.site, process, "disk_old", f"code={code}"), "report")
    assert context.site.operator().read_status(process).voting is False


# The table


@given("version 2 is accepted")
def accept_second(context: Context) -> None:
    site = get_site(context)
    report = site.operator().accept(site.keepers[0], "second", 1, [Model("second")])
    assert report.version == 2, report


@given("{count:d} changes are accepted")
def accept_many(context: Context, count: int) -> None:
    site = get_site(context)
    for number in range(1, count + 1):
        row = Model("counted", version=str(number))
        report = site.operator().accept(site.keepers[0], f"edit-{number}", number, [row])
        assert report.version == number + 1, report


@when("two operators accept edits of version 1 at once through different keepers")
def race_operators(context: Context) -> None:
    site = get_site(context)
    context.edits = [("red", site.keepers[0]), ("blue", site.keepers[1])]
    futures = [context.pool.submit(try_edit, site, *edit) for edit in context.edits]
    context.edit_answers = [future.result() for future in futures]


def try_edit(site: Site, edit_id: str, process: str) -> str:
    """Accept an edit of version 1 and return the answer."""
    try:
        return f"version {site.operator().accept(process, edit_id, 1, [Model(edit_id)]).version}"
    except AdminApiError as refusal:
        return f"{refusal.body.number} {refusal.body.message}"


@then("one edit is accepted and the other is refused with {code:d} and the difference")
def assert_race(context: Context, code: int) -> None:
    won = [answer for answer in context.edit_answers if answer == "version 2"]
    lost = [answer for answer in context.edit_answers if answer.startswith(f"{code} ")]
    assert len(won) == len(lost) == 1, context.edit_answers
    winner = context.edits[context.edit_answers.index("version 2")][0]
    assert f"name='{winner}'" in lost[0], lost


@then("resending both edits gives the same answers")
def assert_resent(context: Context) -> None:
    site = context.site
    for (edit_id, _), answer in zip(context.edits, context.edit_answers, strict=True):
        for process in (*site.keepers, *site.entries):
            assert try_edit(site, edit_id, process) == answer, (process, answer)


@then("version {version:d} is in force at every process")
def assert_in_force(context: Context, version: int) -> None:
    site = get_site(context)
    for name in site.domains:
        wait_for(
            lambda name=name: (s := site.operator().try_status(name)) and s.version == version,
            f"version {version} at {name}",
        )


@then('version {version:d} is read from a majority by "{process}"')
def assert_version(context: Context, version: int, process: str) -> None:
    site = context.site
    wait_for(lambda: site.operator().read_status(process).version == version, f"version {version}")


@when("every process is killed and restarted")
def restart_all(context: Context) -> None:
    site = get_site(context)
    for name in site.domains:
        site.processes[name].kill()
    for name in site.domains:
        site.processes[name].start()
