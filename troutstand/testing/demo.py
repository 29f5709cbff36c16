"""Run a small site on loopback under mixed load and print the results."""

from __future__ import annotations

import asyncio
import sys
import tempfile
from pathlib import Path

import msgspec
from cyclopts import App

from troutstand.generated.control import ControlSettings, Process
from troutstand.testing.load import LoadGenerator, Result
from troutstand.testing.mixes import MIXES, RequestSampler
from troutstand.testing.score import (
    count_refusals,
    score_commands,
    score_prefill_waste,
    score_tiers,
)
from troutstand.testing.site import OPERATOR_TOKEN, Site

app = App(name="demo", help="Run a small site under mixed load.")


def write_control_settings(site: Site) -> Path:
    """Write the troutstandctl settings of a site and return their path."""
    token = site.folder / "operator-token"
    token.write_text(OPERATOR_TOKEN)
    processes = [Process(name, a.ip, a.port) for name, a in site.admins.items()]
    logs = [str(site.folder / f"{name}.log") for name in site.admins]
    settings = ControlSettings(processes, str(token), logs)
    path = site.folder / "control.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(settings)))
    return path


def _print_results(site: Site, results: list[Result]) -> bool:
    records = [site.folder / f"{name}.records" for name in site.processes]
    engines = [path for path in records if "-engine-" in path.name]
    services = [path for path in records if "-service-" in path.name]
    print(f"{'TIER':10}{'OFFERED':>9}{'WHOLE':>9}{'GOOD':>9}{'REFUSED':>9}{'FIRST P95':>12}")
    for score in score_tiers(results, site.rows):
        print(
            f"{score.tier:10}{score.offered:9}{score.correct:9}{score.good:9}"
            f"{score.refused:9}{score.first_token_p95_s:10.3f} s"
        )
    waste = score_prefill_waste(engines, results, site.plan.cache_tokens)
    print(f"wasted prefill: {waste.share:.3f} of {waste.prompt_tokens} prompt tokens")
    print("refusals:", count_refusals(results) or "none")
    commands = score_commands(results, services)
    print(
        f"commands: {commands.sent} sent, {commands.done} done, {commands.ran_twice} ran twice,"
        f" {commands.false_not_run} false 'not run', {commands.unknown} unknown"
    )
    wrong = [r for r in results if r.is_complete and not r.is_correct]
    unanswered = [r for r in results if not r.is_correct]
    print(f"incomplete or mixed-up responses: {len(wrong)}")
    violations = commands.ran_twice + commands.false_not_run + commands.lost
    return not wrong and not unanswered and violations == 0


@app.default
def run(*, mix: str = "irrigation", rate: float = 40.0, seconds: float = 8.0, seed: int = 1) -> int:
    """Run the demo; exit 0 only if every response was complete and correct."""
    site = Site(Path(tempfile.mkdtemp(prefix="troutstand-demo-")))
    site.prepare()
    try:
        print("starting 3 entry processes, 1 keeper, 4 engines and 2 services")
        site.start()
        site.find_scheduler("north")
        control = write_control_settings(site)
        drawn = RequestSampler(MIXES[mix], seed).draw(rate, seconds)
        print(f"sending {len(drawn)} requests of the {mix} mix over {seconds:g} s, seed {seed}")
        load = LoadGenerator([site.callers[name] for name in site.entries])
        results = asyncio.run(load.run(drawn))
        passed = _print_results(site, results)
    finally:
        site.stop()
    print("\ncommands of the processes:")
    for process in site.processes.values():
        print("  " + " ".join(["python", *process.command[1:]]))
    print("to read the timeline and the trace from the logs:")
    print(f"  .venv/bin/troutstandctl timeline --settings {control}")
    print(f"  .venv/bin/troutstandctl trace --settings {control} --output trace.json")
    print("every response was complete and correct" if passed else "NOT every response was correct")
    return 0 if passed else 1


if __name__ == "__main__":
    sys.exit(app())
