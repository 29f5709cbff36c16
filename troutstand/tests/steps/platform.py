"""Load the platform folder like its program, and check its translations."""

from __future__ import annotations

import copy
import json
import re
import subprocess
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
from behave import given, then, when

from troutstand.core.errors import TroutstandError, flatten_group
from troutstand.core.notices import parse_notice
from troutstand.core.rollouts.state import RolloutRequest
from troutstand.generated.configuration import RouteKind
from troutstand.generated.messages import ListedState, RolloutOrder, RolloutState
from troutstand.generated.routing import RoutingRole, RoutingSettings
from troutstand.routing.startup import check_routing_settings

if TYPE_CHECKING:
    from behave.runner import Context

ROOT = Path(__file__).resolve().parents[3]
FOLDER = ROOT / "platform"
_TEMPLATE = ROOT / "deploy" / "settings.json.template"
_SOURCES = ("troutstand", "benchmarks", "tools", "schema")
_MIN_NAME = 6

_EXAMPLE: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "one",
            "host": "a.example",
            "pathPrefix": "/x/",
            "routeKind": "streaming",
            "timeoutMs": 8000,
            "latencyGoalMs": 600,
            "priority": 1,
            "service": "engine",
            "maxAttempts": 2,
            "resumable": True,
            "itlTargetMs": 250,
            "future": {"field": 1},
        },
        {
            "name": "two",
            "host": "a.example",
            "pathPrefix": "/y/",
            "routeKind": "non_idempotent",
            "timeoutMs": 1000,
            "split": [{"service": "engine", "weight": 90}, {"service": "plain", "weight": 10}],
        },
    ],
    "services": [
        {"name": "engine", "maxConnections": 9, "engine": {"slots": 4, "kvCapacity": 100}},
        {"name": "plain"},
    ],
    "limits": {"maxBodyBytes": 5000},
    "tenants": [
        {
            "name": "w",
            "apiKeys": ["k1", "k2"],
            "priority": 1,
            "unit": "tokenize",
            "uncachedTokens": 200,
            "ratePerS": 50,
            "burst": 70,
        },
        {"name": "v", "apiKeys": ["k3"]},
    ],
}


# Fields of every entry of the platform's list.
LISTED: dict[str, object] = {
    "id": "i-1",
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "z",
    "slots": 4,
    "state": "ready",
    "version": "v2",
    "coldRemainingMs": 0,
}


def load_folder() -> tuple[Any, Any, Any]:
    """Import the folder's modules like its program."""
    sys.path.insert(0, str(FOLDER))
    try:
        import wire_configuration
        import wire_dialect
        import wire_targets
    finally:
        sys.path.remove(str(FOLDER))
    return wire_configuration, wire_dialect, wire_targets


def _run_python(code: str) -> str:
    done = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=False
    )
    assert done.returncode == 0, done.stderr
    return done.stdout.strip()


_CHECK = "import platform; print(bool(platform.python_version()))"


@then("the program that the deploy file names imports the standard library's platform")
def check_start(context: Context) -> None:
    code = (
        "import runpy, sys; sys.path[0] = 'platform'; "
        "runpy.run_path('platform/start.py', run_name='loaded'); "
        f"import troutstand.routing.gateway, wire_dialect; {_CHECK}"
    )
    assert _run_python(code) == "True"


@then("so does a program that runs from the root")
def check_root(context: Context) -> None:
    assert _run_python(f"import sys; sys.path[0] = '.'; {_CHECK}") == "True"


def _collect_names() -> set[str]:
    """Return the names that the folder and the template translate."""
    configuration, dialect, targets = load_folder()
    names = set(vars(dialect.PLATFORM_DIALECT.headers).values())
    names |= {dialect.PLATFORM_DIALECT.readiness_path, "TROUTSTAND_BOOT"}
    names |= {dialect.PLATFORM_DIALECT.configuration_write[1]}
    names |= {dialect.PLATFORM_DIALECT.configuration_read[1]}
    for module in (configuration, targets):
        for kind in vars(module).values():
            if isinstance(kind, type) and kind.__module__ == module.__name__:
                names |= {f.encode_name for f in msgspec.structs.fields(kind)}
    gaps = re.findall(r"\{\{[#^/]?([A-Za-z.]+)", _TEMPLATE.read_text())
    names |= {part for gap in gaps for part in gap.split(".")}
    return names


def _is_telling(name: str) -> bool:
    """Return whether a name belongs to the platform and is not a common word."""
    if len(name) < _MIN_NAME or name == "last-event-id":
        return False
    return any(c.isupper() for c in name) or "-" in name or "/" in name


@then("no source outside platform/ and deploy/ holds a name that the translation knows")
def check_names(context: Context) -> None:
    names = sorted(filter(_is_telling, _collect_names()))
    assert len(names) > 30, names
    pattern = re.compile("|".join(rf"(?<![\w-]){re.escape(name)}(?![\w-])" for name in names))
    own = Path(__file__).resolve()
    found = [
        f"{path.relative_to(ROOT)}: {match.group(0)}"
        for folder in _SOURCES
        for path in sorted((ROOT / folder).rglob("*"))
        if path.suffix in (".py", ".json", ".feature") and path.resolve() != own
        for match in pattern.finditer(path.read_text())
    ]
    assert not found, found


@when("a worker's answer says in the platform's words that it leaves and takes 1.7 a second")
def read_leaving(context: Context) -> None:
    names = load_folder()[1].PLATFORM_DIALECT.headers
    index = {"server-leaving": "1", "server-limit": "1.7"}
    context.notice = parse_notice(200, index.get, names)


@then("it is read as a target that leaves and names a limit of 1.7 a second")
def check_leaving(context: Context) -> None:
    assert context.notice.is_leaving
    assert context.notice.limit_per_s == 1.7, context.notice


@given("the platform's example configuration")
def use_example(context: Context) -> None:
    context.body = copy.deepcopy(_EXAMPLE)
    context.cut = False


@when("it gets {fault}")
def spoil(context: Context, fault: str) -> None:
    routes = context.body["routes"]
    match fault:
        case "cut short":
            context.cut = True
        case "an unknown service":
            routes[0]["service"] = "ghost"
        case "the same place":
            routes[1]["pathPrefix"] = "/x/"
        case "no weight":
            for part in routes[1]["split"]:
                part["weight"] = 0
        case "no time":
            routes[0]["timeoutMs"] = 0
        case "a shared key":
            context.body["tenants"][1]["apiKeys"] = ["k1"]


def _encode(context: Context) -> bytes:
    data = json.dumps(context.body).encode()
    return data[:-20] if context.cut else data


@then("decoding it fails with {code:d}")
def check_refused(context: Context, code: int) -> None:
    configuration, _, _ = load_folder()
    try:
        configuration.decode_configuration(_encode(context))
    except* TroutstandError as group:
        errors = flatten_group(group)
        assert {int(error.code) for error in errors} == {code}, errors
    else:
        raise AssertionError("it was decoded")


@then("its routes, services, workspaces and limits are the product's")
def check_translated(context: Context) -> None:
    configuration, _, _ = load_folder()
    decoded = configuration.decode_configuration(_encode(context))
    first, second = decoded.routes
    assert (first.prefix, first.kind, first.attempts) == ("/x/", RouteKind.streaming, 2)
    assert (first.objective_ms, first.pause_ms, first.tier) == (600, 250, 1)
    assert first.silence_ms == max(2000, 4 * 600, 8 * 250), first.silence_ms
    assert [part.service for part in first.split] == ["engine"]
    assert [part.weight for part in second.split] == [90, 10]
    assert decoded.services[0].engine.memory_tokens == 100
    assert decoded.limits.body_bytes == 5000
    workspace = decoded.workspaces[0]
    assert (workspace.keys, workspace.tier) == (["k1", "k2"], 1)
    assert (workspace.tokens_per_s, workspace.burst_tokens) == (50, 70)
    assert workspace.counts_tokens
    assert not decoded.workspaces[1].tokens_per_s


@then("a page of the platform's list becomes targets and a token")
def check_page(context: Context) -> None:
    _, _, targets = load_folder()
    entry = LISTED
    lacking = [{k: v for k, v in entry.items() if k != name} for name in entry]
    page = {
        "instances": [
            entry,
            {**entry, "id": "i-2", "state": "draining", "version": "", "born": "soon"},
            # The platform's own entries have all of these fields.
            *lacking,
        ]
    }
    decoded = targets.decode_targets(json.dumps({**page, "nextToken": "p 2"}).encode())
    assert [t.target for t in decoded.targets] == ["i-1", "i-2"]
    assert [t.state for t in decoded.targets] == [ListedState.ready, ListedState.draining]
    assert decoded.targets[0].failure_domain == "z"
    assert [t.version for t in decoded.targets] == ["v2", ""]
    assert len(decoded.invalid) == len(lacking), decoded.invalid
    assert targets.get_targets_path(decoded.next_token).endswith("pageToken=p%202")


@then("the platform's order for a rollout becomes the product's")
def check_order(context: Context) -> None:
    _, dialect, _ = load_folder()
    body = {"service": "s", "targetVersion": "v2", "durationS": 12}
    decoded = dialect.PLATFORM_DIALECT.decode_rollout(json.dumps(body).encode())
    assert decoded == RolloutRequest("s", "v2", 12.0)


@then("a switch is told to the platform as in progress")
def check_told(context: Context) -> None:
    _, dialect, _ = load_folder()
    order = RolloutOrder(1, "v2", 12.0, 0.0, RolloutState.switching)
    told = json.loads(dialect.PLATFORM_DIALECT.encode_rollout(order))
    assert told == {"state": "in_progress", "targetVersion": "v2"}


@then("wrong orders are refused with {code:d}")
def check_wrong_orders(context: Context, code: int) -> None:
    _, dialect, _ = load_folder()
    whole = {"service": "s", "targetVersion": "v2", "durationS": 12}
    wrong = [b"{", b"[]", *(json.dumps({**whole, **bad}).encode() for bad in _WRONG_ORDERS)]
    for data in wrong:
        try:
            dialect.PLATFORM_DIALECT.decode_rollout(data)
        except TroutstandError as error:
            assert error.code == code, error
        else:
            raise AssertionError(data)


_WRONG_ORDERS: list[dict[str, object]] = [
    {"service": 5},
    {"targetVersion": ""},
    {"durationS": 0},
    {"durationS": -1},
    {"durationS": "long"},
]

_FIELDS = {
    "nodeName": "edge-1",
    "zone": "z",
    "ip": "10.0.0.1",
    "internalPorts.0": 7600,
    "seeds": ["10.0.0.2:80"],
    "bootstrap": True,
    "cloud.address": "10.0.0.3:80",
    "cloud.ratePerS": 40.0,
    "bounds.graceS": 8,
    "bounds.retryRatio": 0.2,
    "bounds.retryWindowS": 10,
    "bounds.retryExtra": 52,
    "bounds.quotaWindowS": 8,
    "bounds.quotaExcess": 0.1,
    "bounds.quotaExtra": 190000,
    "faultTolerance.machines": 1,
}
_OF_ROLE = {
    RoutingRole.gateway: {"listen.front": "10.0.0.1:81", "listen.ready": "10.0.0.1:82"},
    RoutingRole.scheduler: {},
    RoutingRole.keeper: {"listen.control": "10.0.0.1:83", "dataDir": "/data/x"},
}


def _fill(text: str, fields: dict[str, Any]) -> str:
    """Fill the placeholders that the template uses."""

    def fill_section(match: re.Match[str]) -> str:
        is_given = any(k.startswith(match.group(2)) for k in fields if fields[k])
        is_wanted = is_given == (match.group(1) == "#")
        return match.group(3) if is_wanted else ""

    section = re.compile(r"\{\{([#^])([\w.]+)\}\}((?:(?!\{\{[#^]).)*?)\{\{/\2\}\}", re.DOTALL)
    while section.search(text):
        text = section.sub(fill_section, text)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(fields.get(m.group(1))), text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(fields.get(m.group(1), "")), text)


@then("the filled template is valid for each role")
def check_template(context: Context) -> None:
    for role, own in _OF_ROLE.items():
        text = _fill(_TEMPLATE.read_text(), {**_FIELDS, **own, "role": role.value})
        settings = msgspec.json.decode(text.encode(), type=RoutingSettings)
        check_routing_settings(settings)
        assert settings.role is role
        assert settings.retry_extra == 52
        assert settings.first_start is True
