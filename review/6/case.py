"""LOST: after a kill of the core, streams that ran meanwhile can't be taken up again."""

from __future__ import annotations

import asyncio
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig import (  # noqa: E402
    HAS_TROUBLE,
    Deployment,
    Links,
    NotRunError,
    Platform,
    Proxy,
    Record,
    Worker,
    encode,
    make_configuration,
    make_request,
    make_route,
    name_request,
    read_head,
    run_case,
)

# The gateway whose streams break, and the one where they are taken up.
FIRST, OTHER = "gateway-1", "gateway-2"
STREAMS, NEW_STREAMS = 40, 20
EVENTS, EVENT_S = 100, 0.1
TIMEOUT_MS = 12000
# How long the core is down, and the first gateway is cut off from it; 1 and 5 s are allowed.
DOWN_S, CUT_S = 0.9, 4.9
CONTACT_S = 3.0
MIN_TAKEN_UP = 12


@dataclass
class Stream:
    """Hold what a client got of one stream, over its two tries."""

    request: str = field(default_factory=name_request)
    last_id: int = 0
    is_whole: bool = False
    is_taken_up: bool = False
    goes_on: bool = False


class Clients:
    """Start streams, and take those up again, once, whose connections break."""

    def __init__(self, site: Deployment, record: Record) -> None:
        self._record = record
        self._proxy = Proxy(site.processes[FIRST].ip)
        self._other = f"{site.processes[OTHER].ip}:8221"
        self._tasks: set[asyncio.Task[None]] = set()
        self.streams: list[Stream] = []

    async def open(self) -> None:
        """Open the proxy to the first gateway."""
        await self._proxy.start()

    def start(self, is_first: bool = True) -> Stream:
        """Start a stream at the first gateway, or at the other one."""
        stream = Stream()
        self.streams.append(stream)
        address = self._proxy.address if is_first else self._other
        task = asyncio.create_task(self._run(stream, address))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return stream

    def reset(self) -> None:
        """Reset half of the connections between the clients and the first gateway."""
        self._record.write("connections_reset", count=self._proxy.reset_half())

    async def wait(self) -> None:
        """Wait for the ends of all streams."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _run(self, stream: Stream, address: str) -> None:
        end_s = self._record.now_s() + TIMEOUT_MS / 1000
        await self._read(stream, address, stream.request, end_s)
        if stream.is_whole or not stream.last_id:
            return
        stream.is_taken_up, before = True, stream.last_id
        await self._read(stream, self._other, name_request(), end_s)
        stream.goes_on = stream.last_id > before

    async def _read(self, stream: Stream, address: str, request: str, end_s: float) -> None:
        headers = {}
        if stream.last_id:
            headers = {"Last_Event_Id": stream.last_id, "Resumes": stream.request}
        left_ms = int(1000 * (end_s - self._record.now_s()))
        message = make_request("POST", "/stream/a", request, left_ms, **headers)
        self._record.write("client_sends", request=request, to=address, after=stream.last_id)
        writer = None
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(left_ms / 1000):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(message)
                first, _ = await read_head(reader)
                status = first.split(" ")[1]
                self._record.write("client_gets", request=request, status=status)
                if status == "200":
                    await self._read_events(stream, reader)
        except (OSError, EOFError, TimeoutError) as error:
            self._record.write("client_loses", request=request, how=type(error).__name__)
        finally:
            if writer is not None:
                writer.transport.abort()

    async def _read_events(self, stream: Stream, reader: asyncio.StreamReader) -> None:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            chunk = (await reader.readexactly(size + 2)).decode()
            for event in chunk.strip().split("\n\n"):
                stream.last_id = int(event.partition("\n")[0].removeprefix("id: "))
        stream.is_whole = True


async def kill_core(site: Deployment) -> None:
    """Kill all processes of the core at once; they are back within a second."""
    names = [p.name for p in site.processes.values() if p.role != "gateway"]
    for name in names:
        site.send(name, signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    for name in names:
        site.kill(name)
        site.start(name)


async def disturb(site: Deployment, clients: Clients, links: Links, record: Record) -> None:
    """Cut the first gateway off, kill the core meanwhile, and reset connections."""
    cut_s = record.write("cut", machine=FIRST)
    links.cut(site.processes[FIRST].ip, [process.ip for process in site.list_role("keeper")])
    if HAS_TROUBLE:
        await kill_core(site)
    else:
        await asyncio.sleep(DOWN_S)
    # The other gateway was never disturbed, and the core is calm for long enough.
    await asyncio.sleep(CONTACT_S + 0.4)
    clients.reset()
    await asyncio.sleep(max(0.0, cut_s + CUT_S - record.now_s()))
    links.heal()
    record.write("healed")


async def run(record: Record) -> list[str]:
    """Break streams whose gateway was cut off while the core was killed."""
    platform = Platform(record)
    await platform.start("127.0.0.1")
    workers = [
        Worker(record, f"i-{v}-{n}", version=v, slots=60, events=EVENTS, event_s=EVENT_S)
        for v in ("v1", "v2")
        for n in (1, 2)
    ]
    for worker in workers:
        await worker.start("127.0.0.1")
    platform.show([encode(worker.list_entry()) for worker in workers], "two workers a version")
    links = Links()
    site = Deployment(record, platform, gateways=7, links=links)
    clients = Clients(site, record)
    route = make_route("r-stream", "/stream/", "streaming", timeoutMs=TIMEOUT_MS)
    try:
        await site.open(make_configuration(routes=[route]))
        await clients.open()
        await asyncio.sleep(6.0)
        for _ in range(STREAMS):
            clients.start()
            await asyncio.sleep(0.01)
        await asyncio.sleep(1.0)
        if not all(stream.last_id for stream in clients.streams):
            raise NotRunError("not all streams have begun")
        await disturb(site, clients, links, record)
        new = [clients.start(is_first=False) for _ in range(NEW_STREAMS)]
        await clients.wait()
    finally:
        for process in site.list_role("gateway"):
            for line in site.read_log(process.name).splitlines():
                if "event=stream_origin " in line:
                    record.write("logged", by=process.name, line=line[:220])
        site.close()
    return judge(record, clients, new)


def judge(record: Record, clients: Clients, new: list[Stream]) -> list[str]:
    """Compare the streams that go on with the new ones that begin."""
    taken_up = [stream for stream in clients.streams if stream.is_taken_up]
    on = sum(stream.goes_on for stream in taken_up)
    begun = sum(stream.last_id > 0 for stream in new)
    record.write("streams", taken_up=len(taken_up), go_on=on, new=len(new), begin=begun)
    if len(taken_up) < MIN_TAKEN_UP or begun < len(new) / 2:
        raise NotRunError(f"{len(taken_up)} taken up, {begun} of {len(new)} new ones begun")
    if on / len(taken_up) >= 0.5 * begun / len(new):
        return []
    return [f"{on} of {len(taken_up)} streams go on, {begun} of {len(new)} new ones begin"]


if __name__ == "__main__":
    sys.exit(run_case(run, FOLDER))
