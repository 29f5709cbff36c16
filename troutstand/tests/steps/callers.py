"""Call a shared site with valid and with malformed requests."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import time
from typing import TYPE_CHECKING

import cbor2
import msgspec
import websockets
from behave import given, then, when
from websockets.asyncio.client import connect

from troutstand.control.client import HttpResponse, fetch
from troutstand.core.clock import HybridClock
from troutstand.core.ids import ProcessId
from troutstand.daemon.links import Frame, Greeting, Identity, Link, LinkServer, Traffic
from troutstand.generated.messages import Acknowledged, Claim
from troutstand.generated.settings import Address, Limits
from troutstand.testing.site import LINK_KEY, MODEL, SERVICE, wait_for
from troutstand.tests.environment import next_subnet, share_site
from troutstand.tests.steps.sites import has_event, send_chat, send_command
from troutstand.util.events import EventBus

if TYPE_CHECKING:
    from behave.runner import Context

_TOKEN = "token-counter"
_CHAT = "/v1/chat/completions"
_LINK_PORT = 7400
_LINK_BACK_S = 10.0
_PEER_LIMIT_BYTES = 2**20


@given("the shared site")
def use_shared_site(context: Context) -> None:
    context.site = share_site(context)
    context.entry = context.site.callers[context.site.entries[0]]


def make_chat(**fields: object) -> bytes:
    """Make a chat's body."""
    body = {"model": MODEL, "messages": [{"role": "user", "content": "hi"}], "max_tokens": 3}
    return json.dumps({**body, **fields}).encode()


@then("a plain chat, a streamed chat, a text completion and the model list are answered")
def assert_answers(context: Context) -> None:
    entry = context.entry
    plain = json.loads(fetch(entry, "POST", _CHAT, make_chat(), _TOKEN).body)
    assert plain["choices"][0]["finish_reason"] == "stop", plain
    assert plain["choices"][0]["message"]["content"].count(" ") == 3 + 3, plain
    streamed = fetch(entry, "POST", _CHAT, make_chat(stream=True), _TOKEN).body
    assert streamed.endswith(b"data: [DONE]\n\n") and b'"usage"' not in streamed, streamed
    text = json.dumps({"model": MODEL, "prompt": "hi there", "max_tokens": 2}).encode()
    completed = json.loads(fetch(entry, "POST", "/v1/completions", text, _TOKEN).body)
    assert completed["object"] == "text_completion", completed
    models = json.loads(fetch(entry, "GET", "/v1/models", b"", _TOKEN).body)
    assert [item["id"] for item in models["data"]] == [MODEL], models


# Malformed inputs


def send_raw(address: Address, data: bytes) -> HttpResponse:
    """Send a truncated request and read the response."""
    with socket.create_connection((address.ip, address.port), timeout=10) as connection:
        connection.sendall(data)
        answer = b""
        while b"}}" not in answer and (part := connection.recv(65536)):
            answer += part
    head, _, body = answer.partition(b"\r\n\r\n")
    status = int(head.split(b" ")[1]) if head else 0
    return HttpResponse(status, body, {})


def make_cut(random_: random.Random) -> bytes:
    """Make a request whose body is cut off."""
    body = make_chat()[: random_.randint(1, 40)]
    head = f"POST {_CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {_TOKEN}\r\n"
    return head.encode() + b"Content-Length: 4000\r\n\r\n" + body


def send_malformed(entry: Address, number: int, random_: random.Random) -> HttpResponse:
    """Send one malformed input of a kind that the number chooses."""
    junk = random_.randbytes(random_.randint(1, 300))
    wrong = random_.choice([None, 7, True, [], {"a": 1}])
    depth = random_.randint(2000, 100_000)
    bodies = [
        junk,
        make_chat()[: random_.randint(1, 60)],
        make_chat(messages=wrong),
        make_chat(model=wrong),
        make_chat(max_tokens=random_.choice(["many", -1, 0, 10**12, 1.5, {}])),
        make_chat(model=f"m{random_.randint(0, 99)}"),
        b"[" * depth,
        json.dumps(wrong).encode(),
        make_chat(stream="perhaps"),
        make_chat(messages=[{"role": 1, "content": "x"}]),
    ]
    kind = number % (len(bodies) + 10)
    if kind < len(bodies):
        return fetch(entry, "POST", _CHAT, bodies[kind], _TOKEN)
    service = f"/services/{SERVICE}/valves"
    match kind - len(bodies):
        case 0:
            return fetch(entry, "POST", _CHAT, make_chat(), junk.hex())
        case 1:
            return fetch(entry, "POST", _CHAT, make_chat(), "token-nurses", {"X-Tier": "urgent"})
        case 2:
            return fetch(entry, "POST", _CHAT, make_chat(), _TOKEN, {"X-Tier": junk.hex()})
        case 3:
            return fetch(entry, "POST", f"/services/none-{number}/x", b"", _TOKEN)
        case 4:
            return fetch(entry, "POST", service, b"", _TOKEN, {"Idempotency-Key": "k" * 200})
        case 5:
            headers = {"Idempotency-Key": f"bad-{number}", "X-Attempt": junk.hex()}
            return fetch(entry, "POST", service, b"", _TOKEN, headers)
        case 6:
            return fetch(entry, "GET", f"/nowhere/{number}", b"", _TOKEN)
        case 7:
            return fetch(entry, "POST", _CHAT, b"x" * (9 * 2**20), _TOKEN)
        case 8:
            return send_raw(entry, make_cut(random_))
        case _:
            return fetch(entry, "DELETE", _CHAT, b"", _TOKEN)


@when("{count:d} malformed inputs are sent, seed {seed:d}")
def send_malformed_inputs(context: Context, count: int, seed: int) -> None:
    random_ = random.Random(seed)
    context.answers = [send_malformed(context.entry, n, random_) for n in range(count)]


@then('each got a numbered refusal that says "not run"')
def assert_numbered(context: Context) -> None:
    assert len(context.answers) == 200
    for number, answer in enumerate(context.answers):
        assert 400 <= answer.status < 500, (number, answer)
        error = json.loads(answer.body)["error"]
        assert 2000 < error["number"] < 3000 and error["run"] == "no", (number, answer)


@then("the next good request is served")
def assert_served(context: Context) -> None:
    assert send_chat(context.site, context.site.entries[0]).status == 200


# Tiers, idempotency keys and disconnects


@when('workspace "{workspace}" asks for tier "{tier}"')
def ask_tier(context: Context, workspace: str, tier: str) -> None:
    headers = {"X-Tier": tier}
    body = make_chat()
    context.last = fetch(context.entry, "POST", _CHAT, body, f"token-{workspace}", headers)


@then("the answer is whole")
def assert_answer_whole(context: Context) -> None:
    assert context.last.status == 200, context.last


@then("the answer is refused with {code:d}")
def assert_answer_refused(context: Context, code: int) -> None:
    assert json.loads(context.last.body)["error"]["number"] == code, context.last


@when('command "{key}" with body "{first}" and then "{second}" is sent')
def send_two_bodies(context: Context, key: str, first: str, second: str) -> None:
    path, headers = f"/services/{SERVICE}/valves", {"Idempotency-Key": key}
    context.pair = [
        fetch(context.entry, "POST", path, body.encode(), _TOKEN, headers)
        for body in (first, second)
    ]


@then("the first is whole and the second refused with {code:d}")
def assert_pair(context: Context, code: int) -> None:
    first, second = context.pair
    assert first.status == 200, first
    assert json.loads(second.body)["error"]["number"] == code, second


@when('command "{key}" is sent three times through all entry processes')
def send_three_times(context: Context, key: str) -> None:
    names = (context.site.entries * 2)[:3]
    context.answers = [send_command(context.site, key, name) for name in names]


@when("{count:d} callers hang up in mid-stream")
def hang_up(context: Context, count: int) -> None:
    body = make_chat(stream=True, max_tokens=5000)
    head = f"POST {_CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {_TOKEN}\r\n"
    data = head.encode() + f"Content-Length: {len(body)}\r\n\r\n".encode() + body
    for _ in range(count):
        with socket.create_connection((context.entry.ip, context.entry.port), 10) as connection:
            connection.sendall(data)
            received = b""
            while b"data: " not in received:
                part = connection.recv(4096)
                assert part, received
                received += part


@then("no request runs or waits any more")
def assert_idle(context: Context) -> None:
    operator = context.site.operator()
    scheduler = context.site.find_scheduler("north")

    def is_idle() -> bool:
        statuses = [operator.read_status(name) for name in context.site.entries]
        targets = operator.read_targets(scheduler)
        running = sum(target.running for target in targets.targets)
        return running + targets.waiting + sum(s.running + s.waiting for s in statuses) == 0

    wait_for(is_idle, "idle site")


# Links


def make_identity(fault: str) -> Identity:
    """Return the identity that a faulty link presents."""
    key = bytes(16) if fault == "a wrong key" else bytes.fromhex(LINK_KEY)
    site = "elsewhere" if fault == "another site" else "demo"
    process = "nobody.entry" if fault == "an unknown host" else "north-1.entry"
    return Identity(site, ProcessId(process), key)


def make_junk(fault: str) -> bytes:
    """Make the first message of a faulty link."""
    if fault == "malformed CBOR":
        return b"\xff\x00\x1f junk"
    frame = Frame(1, 0, 0, Acknowledged())
    plain = msgspec.to_builtins(frame)
    return cbor2.dumps([*plain[:3], {"type": "no such message"}])


async def open_link(address: Address, fault: str, message: bytes) -> websockets.ConnectionClosed:
    """Open a link, send a message, and return how it was closed."""
    identity = make_identity(fault)
    # No context manager: its close fails on a connection that is lost during a write, and
    # would hide the close code.
    link = await connect(f"ws://{address.ip}:{address.port}/", proxy=None)
    challenge = await link.recv()
    proof = identity.compute_proof(identity.process, challenge, b"nonce")
    greeting = Greeting(identity.site, identity.process, b"nonce", proof)
    await link.send(cbor2.dumps(msgspec.to_builtins(greeting, builtin_types=(bytes,))))
    try:
        await link.recv()
        await link.send(message)
        while True:
            await link.recv()
    except websockets.ConnectionClosed as closed:
        return closed


@when('a link with {fault} is opened to "{process}"')
def open_faulty_link(context: Context, fault: str, process: str) -> None:
    address = context.site.links[process]
    context.closed = asyncio.run(open_link(address, fault, make_junk(fault)))


@when('a link sends a message over the limit to "{process}"')
def open_large_link(context: Context, process: str) -> None:
    message = bytes(5 * 2**20)
    address = context.site.links[process]
    context.closed = asyncio.run(open_link(address, "none", message))


@then("it is closed with code {code:d}")
def assert_closed_with(context: Context, code: int) -> None:
    assert context.closed.rcvd is not None, context.closed
    assert context.closed.rcvd.reason == str(code), context.closed


@then("it is closed")
def assert_closed(context: Context) -> None:
    assert context.closed.rcvd is not None, context.closed


@then('"{process}" logged "{event}" with that code')
def assert_logged(context: Context, process: str, event: str) -> None:
    code = f"code={context.closed.rcvd.reason}"
    wait_for(lambda: has_event(context.site, process, event, code), f"{event} in the log")


async def lose_link_while_writing(link: Link, server: LinkServer, large: Claim) -> None:
    """Send a message that the peer closes the link for, and wait for the next link."""
    is_lost = asyncio.Event()
    link.events.subscribe(lambda event: is_lost.set() if event.name == "link_down" else None)
    await server.start(link.address)
    running = asyncio.create_task(link.run())
    try:
        async with asyncio.timeout(_LINK_BACK_S):
            await link.wait_until_up()
            assert link.send(large)
            await is_lost.wait()
            await link.wait_until_up()
    finally:
        running.cancel()
        await server.stop()


@when("a link's peer closes it while a message over the peer's limit is written")
def close_while_writing(context: Context) -> None:
    events = EventBus(ProcessId("a"), HybridClock(time.time))
    key = bytes.fromhex(LINK_KEY)
    address = Address(f"127.{next_subnet(context)}.1", _LINK_PORT)
    server = LinkServer(
        Identity("demo", ProcessId("b"), key),
        None,
        Limits(message_bytes=_PEER_LIMIT_BYTES),
        events,
        lambda *_: None,
    )
    own = Identity("demo", ProcessId("a"), key)
    link = Link(own, ProcessId("b"), address, Limits(), events, Traffic())
    large = Claim("a", "", "n" * (4 * _PEER_LIMIT_BYTES), "digest")
    context.link_error = None
    try:
        asyncio.run(lose_link_while_writing(link, server, large))
    except TimeoutError as error:
        context.link_error = error


@then("the link is opened again")
def assert_link_back(context: Context) -> None:
    assert context.link_error is None, "the link was not opened again"
