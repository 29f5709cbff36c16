"""Send reload signals to processes while they start and stop."""

from __future__ import annotations

import os
import signal
import time
from pathlib import Path
from typing import TYPE_CHECKING

from behave import then, when

from troutstand.generated.routing import RoutingRole
from troutstand.testing.soak.run import Soak, SoakPlan

if TYPE_CHECKING:
    import subprocess

    from behave.runner import Context

# Processor time of the interpreter before the first line of the program.
_BEGUN_CPU_S = 0.12
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_GAP_S = 0.01
_SERVES_S = 1.5
_MOST_S = 20.0


def _read_cpu(pid: int) -> float:
    """Return the seconds of processor time that a process took."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _tell_for(child: subprocess.Popen[bytes], length_s: float) -> None:
    """Send a reload signal every 10 ms for a while, or until the process ends."""
    end_s = time.monotonic() + length_s
    while child.poll() is None and time.monotonic() < end_s:
        child.send_signal(signal.SIGHUP)
        time.sleep(_GAP_S)


@when("a {role} restarts and gets SIGHUP repeatedly until it ends")
def tell_all_along(context: Context, role: str) -> None:
    site = context.scene.site
    process = site.list_role(RoutingRole(role))[0]
    site.kill(process.name)
    before = len(process.log.read_text())
    site.start(process.name)
    child = process.child
    while child.poll() is None and _read_cpu(child.pid) < _BEGUN_CPU_S:
        time.sleep(_GAP_S)
    _tell_for(child, _SERVES_S)
    while child.poll() is None and "event=process_started" not in process.log.read_text()[before:]:
        _tell_for(child, _GAP_S)
    child.send_signal(signal.SIGTERM)
    _tell_for(child, _MOST_S)
    context.ended, context.log = child.poll(), process.log.read_text()[before:]


@then("it served, and exited by itself with 0")
def check_ended(context: Context) -> None:
    assert context.ended == 0, f"{context.ended}: {context.log[-300:]}"
    assert "event=process_started" in context.log


@when("a soak sends SIGHUP to a gateway as soon as it is started, {count:d} times")
def tell_by_soak(context: Context, count: int) -> None:
    scene = context.scene
    soak = Soak(SoakPlan(seed=0), scene.folder)
    soak.site = scene.site
    process = scene.site.list_role(RoutingRole.gateway)[0]
    context.ends = []
    for _ in range(count):
        scene.site.kill(process.name)
        scene.site.start(process.name)
        scene.background.run(soak.reload(process))
        time.sleep(_BEGUN_CPU_S)
        context.ends.append(process.child.poll())


@then("it survived each time")
def check_lived(context: Context) -> None:
    assert context.ends == [None] * len(context.ends), context.ends
