"""Corrupt answers, stop hosts and cut failure domains of real sites."""

from __future__ import annotations

import asyncio
import json
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import msgspec
from behave import given, then, when

from troutstand.control.client import fetch
from troutstand.control.timeline import parse_line
from troutstand.generated.settings import Address
from troutstand.generated.table import Model, Target, TargetState
from troutstand.testing.engine import EngineRecord, EngineSettings, Fault
from troutstand.testing.load import LoadGenerator, Result
from troutstand.testing.mixes import DrawnRequest
from troutstand.testing.site import Site, SitePlan, wait_for
from troutstand.tests.environment import start_site
from troutstand.tests.steps.callers import make_chat
from troutstand.tests.steps.sites import has_event, send_chat, send_command

if TYPE_CHECKING:
    from behave.runner import Context

    from troutstand.control.client import HttpResponse

_ALWAYS = 10**6
_PROMPT = "what to water "


def start_one(context: Context, **fields: object) -> None:
    """Start a site of one domain."""
    plan = {"entries": (2,), "engine_speeds": (1.0, 1.0), "services": 1, "lease_s": 1.0}
    context.site = start_site(context, SitePlan(**{**plan, **fields}))
    context.site.find_scheduler("north")


@given("a site of 1 domain whose engines resume")
def start_resuming(context: Context) -> None:
    start_one(context)


@given("a site of 1 domain whose engines cannot resume")
def start_unresuming(context: Context) -> None:
    start_one(context, resumes=False)


@given("a site of 1 domain with {slots:d} slots in all")
def start_small(context: Context, slots: int) -> None:
    start_one(context, slots=slots // 2)


@given("a relayed site of 3 failure domains")
def start_relayed(context: Context) -> None:
    plan = SitePlan(
        entries=(2, 1, 1),
        keepers=(1, 1, 1),
        engine_speeds=(1.0,),
        services=1,
        lease_s=1.0,
        heartbeat_s=0.3,
        is_relayed=True,
    )
    context.plan = plan
    context.site = start_site(context, plan)
    for domain in ("north", "south", "west"):
        context.site.find_scheduler(domain)


def list_engines(site: Site) -> list[str]:
    """List the engines' names."""
    return [name for name in site.processes if "-engine-" in name]


def set_fault(site: Site, engine: str, fault: Fault) -> None:
    """Inject a fault into an engine."""
    data = (site.folder / f"{engine}.json").read_bytes()
    settings = msgspec.json.decode(data, type=EngineSettings)
    address = Address(settings.ip, settings.port)
    # On a busy machine an engine without requests may not listen yet.
    fetched = wait_for(lambda: _try_fetch(address, fault), f"{engine} to listen")
    assert fetched.status == 200, fetched


def _try_fetch(address: Address, fault: Fault) -> HttpResponse | None:
    try:
        return fetch(address, "POST", "/test/fault", msgspec.json.encode(fault))
    except ConnectionError:
        return None


@when("every engine breaks off after {count:d} events, {often}")
def break_all(context: Context, count: int, often: str) -> None:
    times = 1 if often == "once" else _ALWAYS
    for engine in list_engines(context.site):
        set_fault(context.site, engine, Fault(cut_after=count, cut_times=times))


@when('the engine "{engine}" breaks off after {count:d} events, always')
def break_one(context: Context, engine: str, count: int) -> None:
    set_fault(context.site, engine, Fault(cut_after=count, cut_times=_ALWAYS))


@when("every engine sends events {how}")
def misorder(context: Context, how: str) -> None:
    fault = Fault(shuffle=how == "out of order", duplicate=how == "twice", foreign="another" in how)
    for engine in list_engines(context.site):
        set_fault(context.site, engine, fault)


def draw(
    number: int, tokens: int, workspace: str = "counter", tier: str = "urgent"
) -> DrawnRequest:
    """Make a request to send at once."""
    nonce = f"{number:012x}"
    return DrawnRequest(0.0, nonce, workspace, tier, _PROMPT + nonce, tokens)


def run_load(site: Site, drawn: list[DrawnRequest]) -> list[Result]:
    """Send requests through all entry processes."""
    load = LoadGenerator([site.callers[name] for name in site.entries])
    return asyncio.run(load.run(drawn))


@then("a streamed chat of {tokens:d} tokens is whole and its own")
def assert_stream_own(context: Context, tokens: int) -> None:
    results = run_load(context.site, [draw(n, tokens) for n in range(2)])
    assert all(result.is_correct for result in results), results


@then("a streamed chat of {tokens:d} tokens is refused with {code:d}")
def assert_stream_refused(context: Context, tokens: int, code: int) -> None:
    (result,) = run_load(context.site, [draw(1, tokens)])
    assert result.refusal is not None and result.refusal.number == code, result


@then("a streamed chat of {tokens:d} tokens ends in an error and a broken connection")
def assert_broken(context: Context, tokens: int) -> None:
    (result,) = run_load(context.site, [draw(1, tokens)])
    assert not result.is_complete and result.connection_error, result
    assert result.refusal is not None and result.refusal.run == "unknown", result


@then("{count:d} plain chats are whole and their own")
def assert_plain(context: Context, count: int) -> None:
    for number in range(count):
        nonce = f"{number:012x}"
        body = make_chat(messages=[{"role": "user", "content": nonce}], max_tokens=20)
        entry = context.site.callers[context.site.entries[number % 2]]
        answer = fetch(entry, "POST", "/v1/chat/completions", body, "token-counter")
        assert answer.status == 200, answer
        content = json.loads(answer.body)["choices"][0]["message"]["content"]
        assert content == "".join(f"{nonce}-{n} " for n in range(20)), content


def read_started(site: Site, engine: str) -> list[EngineRecord]:
    """Read the requests that an engine started."""
    lines = (site.folder / f"{engine}.records").read_bytes().splitlines()
    records = [msgspec.json.decode(line, type=EngineRecord) for line in lines]
    return [record for record in records if record.event == "started"]


@when("one keyed chat is sent 3 times through different entry processes")
def send_keyed(context: Context) -> None:
    site = context.site
    headers = {"Idempotency-Key": "one"}
    names = (*site.entries, site.entries[0])
    context.answers = [
        fetch(
            site.callers[name],
            "POST",
            "/v1/chat/completions",
            make_chat(),
            "token-counter",
            headers,
        )
        for name in names
    ]


@then("no engine had it twice")
def assert_had_once(context: Context) -> None:
    counts = [len(read_started(context.site, name)) for name in list_engines(context.site)]
    assert counts == [1, 1], counts
    assert [answer.status for answer in context.answers[:2]] == [200, 200], context.answers


@then('the third is refused with run "{run}"')
def assert_third(context: Context, run: str) -> None:
    error = json.loads(context.answers[2].body)["error"]
    assert error["run"] == run, error


# Stops and drains


@when("{count:d} streams run and the scheduler's process is drained")
def drain_scheduler(context: Context, count: int) -> None:
    site = context.site
    context.victim = site.find_scheduler("north")
    load = LoadGenerator([site.callers[name] for name in site.entries])
    drawn = [draw(number, 200) for number in range(count)]
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(lambda: asyncio.run(load.run(drawn)))
        engines = list_engines(site)
        wait_for(lambda: sum(len(read_started(site, e)) for e in engines) >= 16, "streams")
        site.operator().start_drain(context.victim)
        context.results = future.result()


@then("every stream is whole and its own")
def assert_streams(context: Context) -> None:
    wrong = [result for result in context.results if not result.is_correct]
    assert not wrong, wrong[:2]


@then("the process stopped with exit code {code:d}")
def assert_stopped(context: Context, code: int) -> None:
    assert context.site.processes[context.victim].wait() == code


@when('the table lists "{engine}" as draining and that is in force')
def leave(context: Context, engine: str) -> None:
    site = context.site
    row = next(row for row in site.rows if isinstance(row, Target) and row.name == engine)
    row = msgspec.structs.replace(row, state=TargetState.leaving)
    site.operator().accept(site.keepers[0], "leave", 1, [row])
    for name in site.entries:
        wait_for(lambda name=name: site.operator().read_status(name).version == 2, "version 2")


@then('"{engine}" got none of them')
def assert_got_none(context: Context, engine: str) -> None:
    assert not read_started(context.site, engine)


@when("drafts fill every slot and 4 urgent chats come")
def overload(context: Context) -> None:
    site = context.site
    drafts = [draw(n, 4000, "reminders", "draft") for n in range(4)]
    urgent = [draw(100 + n, 10) for n in range(4)]
    with ThreadPoolExecutor(1) as pool:
        future = pool.submit(run_load, site, drafts)
        engines = list_engines(site)
        wait_for(lambda: sum(len(read_started(site, e)) for e in engines) == 4, "drafts")
        context.results = run_load(site, urgent)
        context.drafts = future.result()


@then("every urgent chat is whole and its own")
def assert_urgent(context: Context) -> None:
    assert_streams(context)


@then("the preempted drafts were told to retry")
def assert_drafts(context: Context) -> None:
    refusals = [result.refusal for result in context.drafts if result.refusal]
    assert refusals, context.drafts
    assert all(r.number == 3005 and r.retry_after_s and r.run == "unknown" for r in refusals)


# Cuts


@when('"{domain}" is cut off')
def cut(context: Context, domain: str) -> None:
    context.site.cut_domain(domain)


@when("the cut heals")
def heal(context: Context) -> None:
    context.site.hub.heal()


def accept_next(site: Site, keeper: str, base: int) -> int:
    """Accept a version."""
    return site.operator().accept(keeper, f"edit-{base}", base, [Model(f"m{base}")]).version


@when("a version is accepted outside")
def accept_outside(context: Context) -> None:
    context.version = accept_next(context.site, "north-0.keeper", 1)


@given("a second version is in force everywhere")
def accept_everywhere(context: Context) -> None:
    site = context.site
    context.version = accept_next(site, "north-0.keeper", 1)
    for name in site.domains:
        await_version(site, name, context.version)


def await_version(site: Site, name: str, version: int) -> None:
    """Wait until a version is in force at a process."""
    wait_for(
        lambda: (s := site.operator().try_status(name)) and s.version == version and s,
        f"version {version} at {name}",
    )


@then('a command through "{process}" is whole')
def assert_command_whole(context: Context, process: str) -> None:
    site = context.site

    def is_whole() -> bool:
        answer = send_command(site, f"whole-{process}", process, keyed=False)
        return answer is not None and answer.status == 200

    wait_for(is_whole, f"command through {process}")


@then('a command through "{process}" is refused as not run or unknown')
def assert_command_refused(context: Context, process: str) -> None:
    answer = send_command(context.site, "cut", process)
    error = json.loads(answer.body)["error"]
    assert error["number"] == 4001 and error["run"] in ("no", "unknown"), error


@then('the version is in force in "{domain}" too')
def assert_version_in(context: Context, domain: str) -> None:
    for name, own in context.site.domains.items():
        if own == domain:
            await_version(context.site, name, context.version)


@when('"{process}" is killed and restarted')
def restart(context: Context, process: str) -> None:
    context.site.processes[process].kill()
    context.site.processes[process].start()


@when('"{process}" is killed, cut off and restarted')
def restart_alone(context: Context, process: str) -> None:
    context.site.processes[process].kill()
    context.site.cut_process(process)
    context.site.processes[process].start()
    wait_for(lambda: context.site.operator().try_status(process), f"{process} back")


@then('"{process}" serves the second version')
def assert_serves_second(context: Context, process: str) -> None:
    context.site.wait_serving(process)
    assert context.site.operator().read_status(process).version == context.version


@then('"{process}" serves the first version')
def assert_serves_first(context: Context, process: str) -> None:
    context.site.wait_serving(process)
    assert context.site.operator().read_status(process).version == 1


@then('"{process}" refuses with {code:d}')
def assert_refuses(context: Context, process: str, code: int) -> None:
    answer = send_chat(context.site, process)
    assert json.loads(answer.body)["error"]["number"] == code, answer


@when('the scheduler of "{domain}" is cut off from all others')
def cut_scheduler(context: Context, domain: str) -> None:
    context.victim = context.site.find_scheduler(domain)
    context.site.cut_process(context.victim)


@then('another entry process of "{domain}" becomes scheduler')
def assert_new_scheduler(context: Context, domain: str) -> None:
    site = context.site
    (other,) = [n for n in site.entries if site.domains[n] == domain and n != context.victim]
    context.other = other
    wait_for(lambda: has_event(site, other, "scheduler_started"), "new scheduler")


@then("the old one logged the end of its lease before")
def assert_old_ended(context: Context) -> None:
    def find_stamp(process: str, event: str) -> tuple[int, int]:
        lines = (context.site.folder / f"{process}.log").read_text().splitlines()
        found = [line for text in lines if (line := parse_line(text)) and line.event == event]
        return tuple(found[-1].stamp)

    ended = find_stamp(context.victim, "scheduler_ended")
    started = find_stamp(context.other, "scheduler_started")
    assert ended < started, (ended, started)
