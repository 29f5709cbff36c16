"""ORDER: a gateway that is cut off takes a stream up at another version than began it."""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass, field
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig import (  # noqa: E402
    HAS_TROUBLE,
    Deployment,
    Links,
    Platform,
    Proxy,
    Record,
    Worker,
    encode,
    make_configuration,
    make_request,
    name_request,
    read_head,
    run_case,
)

# The gateway that is cut off from the core, at which streams are taken up again.
OTHER = "gateway-2"
# A gateway trusts its own view of the versions after it has read the list for 40 s.
SETTLE_S = 43.0
CUT_S = 4.0
# Streams of the new version that have begun when the connections are reset.
BEGUN = 24
EVENTS = 60


@dataclass
class Stream:
    """Hold what one client got of one stream, over its tries."""

    first_request: str
    versions: list[str] = field(default_factory=list)
    last_id: int = 0
    is_whole: bool = False


class Clients:
    """Start streams at one gateway, and take up those that break at the other one."""

    def __init__(self, site: Deployment, record: Record) -> None:
        self._record = record
        self._proxy = Proxy(site.processes["gateway-1"].ip)
        self._other = f"{site.processes[OTHER].ip}:8221"
        self._tasks: set[asyncio.Task[None]] = set()
        self.streams: list[Stream] = []

    async def open(self) -> None:
        """Open the proxy to the first gateway."""
        await self._proxy.start()

    def start(self) -> None:
        """Start a stream at the first gateway."""
        stream = Stream(name_request())
        self.streams.append(stream)
        task = asyncio.create_task(self._run(stream))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def reset(self) -> None:
        """Reset half of the connections between the clients and the first gateway."""
        self._record.write("connections_reset", count=self._proxy.reset_half())

    async def wait(self) -> None:
        """Wait for the ends of all streams."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _run(self, stream: Stream) -> None:
        await self._read(stream, self._proxy.address, stream.first_request)
        if not stream.is_whole and stream.last_id:
            await self._read(stream, self._other, name_request())

    async def _read(self, stream: Stream, address: str, request: str) -> None:
        headers = {}
        if stream.last_id:
            headers = {"Last_Event_Id": stream.last_id, "Resumes": stream.first_request}
        message = make_request("POST", "/stream/a", request, 8000, **headers)
        self._record.write("client_sends", request=request, to=address, after=stream.last_id)
        writer = None
        host, _, port = address.rpartition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(message)
            first, _ = await read_head(reader)
            self._record.write("client_gets", request=request, status=first.split(" ")[1])
            if first.split(" ")[1] == "200":
                await self._read_events(stream, reader)
        except (OSError, EOFError) as error:
            self._record.write("client_loses", request=request, how=type(error).__name__)
        finally:
            if writer is not None:
                writer.transport.abort()

    async def _read_events(self, stream: Stream, reader: asyncio.StreamReader) -> None:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            chunk = (await reader.readexactly(size + 2)).decode()
            for event in chunk.strip().split("\n\n"):
                number, _, data = event.partition("\n")
                stream.last_id = int(number.removeprefix("id: "))
                stream.versions.append(data.split(" ")[1])
        stream.is_whole = True


async def start_streams(clients: Clients) -> None:
    """Start streams at the first gateway until cancelled."""
    while True:
        clients.start()
        await asyncio.sleep(0.0125)


async def run(record: Record) -> list[str]:
    """Replace a worker by one of a new version while a gateway is cut off, and reset streams."""
    platform = Platform(record)
    await platform.start("127.0.0.1")
    old = [Worker(record, f"i-old-{n}", slots=200, events=EVENTS) for n in (1, 2)]
    new = Worker(record, "i-new-1", version="v2", slots=200, events=EVENTS)
    for worker in [*old, new]:
        await worker.start("127.0.0.1")
    platform.show([encode(w.list_entry()) for w in old], "two workers of v1")
    links = Links()
    site = Deployment(record, platform, gateways=7, links=links)
    clients = Clients(site, record)
    try:
        await site.open(make_configuration())
        await clients.open()
        await asyncio.sleep(SETTLE_S)
        cut_s = record.write("cut", machine=OTHER, trouble=HAS_TROUBLE)
        if HAS_TROUBLE:
            core = [process.ip for process in site.list_role("keeper")]
            links.cut(site.processes[OTHER].ip, core)
        shown = [old[0].list_entry("draining"), old[1].list_entry(), new.list_entry()]
        platform.show([encode(entry) for entry in shown], "a worker of v2 replaces one of v1")
        starting = asyncio.create_task(start_streams(clients))
        while sum("v2" in stream.versions for stream in clients.streams) < BEGUN:
            await asyncio.sleep(0.01)
        starting.cancel()
        clients.reset()
        while record.now_s() < cut_s + CUT_S:
            await asyncio.sleep(0.01)
        links.heal()
        record.write("healed")
        await clients.wait()
    finally:
        for process in site.list_role("gateway"):
            for line in site.read_log(process.name).splitlines():
                if "stream_origin" in line or "scheduler_changed" in line:
                    record.write("logged", by=process.name, line=line[:260])
        site.close()
    mixed = [stream for stream in clients.streams if len(set(stream.versions)) > 1]
    record.write("streams", all=len(clients.streams), mixed=len(mixed))
    told = [f"{s.first_request} holds events of {'/'.join(s.versions)}" for s in mixed]
    # The rule allows two.
    return told if len(mixed) > 2 else []


if __name__ == "__main__":
    sys.exit(run_case(run, FOLDER))
