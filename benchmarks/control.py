"""Measure the control traffic and processor time of an idle process, by peers and changes."""

from __future__ import annotations

import time

from benchmarks.report import report
from benchmarks.sites import run_site
from troutstand.generated.table import Model
from troutstand.testing.site import Site, SitePlan, wait_for

_SPAN_S = 5.0


def _measure_idle(site: Site, name: str, **under: int | str) -> None:
    operator = site.operator()
    before = operator.read_status(name)
    # Status requests in between would be measured too.
    time.sleep(_SPAN_S)
    after = operator.read_status(name)
    span_s = after.uptime_s - before.uptime_s
    kind = after.role
    rate = (after.sent_bytes - before.sent_bytes) / span_s
    report("control", f"sent by an idle {kind}", rate, "B/s", **under)
    messages = (after.sent_messages - before.sent_messages) / span_s
    report("control", f"messages of an idle {kind}", messages, "1/s", **under)
    core = (after.processor_s - before.processor_s) / span_s
    report("control", f"processor of an idle {kind}", core, "cores", **under)
    report("control", f"memory of an idle {kind}", after.resident_bytes / 1e6, "MB", **under)


def run(quick: bool) -> None:
    """Measure at three sizes of site, and the time until a change is in force."""
    for hosts in (6,) if quick else (2, 6, 12):
        plan = SitePlan(
            entries=(hosts,), keepers=(1,), engine_speeds=(), services=1, heartbeat_s=1.0
        )
        with run_site(plan) as site:
            _measure_idle(site, site.entries[-1], peers=hosts)
            _measure_idle(site, site.keepers[0], peers=hosts)
            if hosts == 6:
                _measure_changes(site, 20 if quick else 50)


def _measure_changes(site: Site, count: int) -> None:
    operator = site.operator()
    spans: list[float] = []
    for number in range(1, count + 1):
        row = Model("changed", version=str(number))
        start_s = time.perf_counter()
        operator.accept(site.keepers[0], f"edit-{number}", number, [row])
        for name in site.entries:
            version = number + 1
            wait_for(lambda n=name, v=version: operator.read_status(n).version >= v, "version")
        spans.append(time.perf_counter() - start_s)
    report("control", "a change in force at 6 hosts, worst", max(spans), "s", changes=count)
    _measure_change_cost(site, count)


def _measure_change_cost(site: Site, count: int) -> None:
    """Accept changes without waiting for them, and report the cost per change."""
    operator = site.operator()
    base = operator.read_status(site.keepers[0]).version
    before = {name: operator.read_status(name) for name in site.domains}
    for number in range(base, base + count):
        row = Model("changed", version=str(number))
        operator.accept(site.keepers[0], f"cost-{number}", number, [row])
    after = {name: operator.read_status(name) for name in site.domains}
    for name in (site.keepers[0], site.entries[-1]):
        sent = (after[name].sent_bytes - before[name].sent_bytes) / count
        core = (after[name].processor_s - before[name].processor_s) / count
        report("control", f"sent a change by a {after[name].role}", sent, "B", changes=count)
        report("control", f"processor a change at a {after[name].role}", core, "s", changes=count)
