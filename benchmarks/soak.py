"""Soak routed sites of real processes in seeded faults: `make soak`."""

from __future__ import annotations

import argparse
import asyncio
import secrets
import shutil
import sys
import tempfile
import time
from dataclasses import replace
from pathlib import Path

from troutstand.testing.ports import reserve_network
from troutstand.testing.soak.check import RolloutRecord, check_record
from troutstand.testing.soak.run import Soak, SoakPlan

_SEED_BITS = 31
_KEPT = Path(".soak")


def describe(rollout: RolloutRecord) -> str:
    """Return one line on a rollout."""
    quality = "bad" if rollout.is_faulty else "good"
    took_s = rollout.ended_s - rollout.acknowledged_s
    end = rollout.final_state or "no end yet"
    return (
        f"{rollout.service} {rollout.version} ({quality}): {end} after {took_s:.1f} s, "
        f"cut {rollout.aborted_count}"
    )


async def play(plan: SoakPlan) -> list[str]:
    """Play one seed; keep its logs where a promise was broken."""
    folder = Path(tempfile.mkdtemp(prefix="troutstand-soak-"))
    soak = Soak(plan, folder)
    try:
        record = await soak.run()
        broken = check_record(record)
    except Exception as error:
        broken = [f"the soak itself failed: {error!r}"]
    if broken:
        kept = _KEPT / str(plan.seed)
        shutil.rmtree(kept, ignore_errors=True)
        shutil.copytree(folder, kept)
        (kept / "broken.txt").write_text("\n".join(broken))
    shutil.rmtree(folder, ignore_errors=True)
    calls = soak.record.calls
    served = sum(call.status == 200 for call in calls)
    print(f"seed={plan.seed} calls={len(calls)} served={served} broken={len(broken)}", flush=True)
    for rollout in soak.record.rollouts:
        print(f"    {describe(rollout)}", flush=True)
    for line in broken[:5]:
        print(f"    {line}", flush=True)
    return broken


async def play_all(seeds: list[int], draft: SoakPlan, jobs: int) -> int:
    """Play seeds, some side by side, and return how many broke a promise."""
    gate = asyncio.Semaphore(jobs)

    async def play_one(number: int, seed: int) -> bool:
        async with gate:
            subnet = f"{reserve_network()}.{number % 250}"
            plan = replace(draft, seed=seed, subnet=subnet)
            return bool(await play(plan))

    results = await asyncio.gather(*(play_one(n, seed) for n, seed in enumerate(seeds)))
    return sum(results)


def main() -> int:
    """Read the command line and play."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=4, help="how many fresh seeds")
    parser.add_argument("--seed", type=int, action="append", help="play this one instead")
    parser.add_argument("--seconds", type=float, default=20.0, help="length of a seed's faults")
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--rollouts", action="store_true", help="roll versions out as well")
    parser.add_argument("--per-s", type=float, default=1.2, help="faults a second; 0 is none")
    parser.add_argument("--jobs", type=int, default=2)
    arguments = parser.parse_args()
    seeds = arguments.seed or [secrets.randbits(_SEED_BITS) for _ in range(arguments.seeds)]
    began_s = time.monotonic()
    draft = SoakPlan(
        seed=0,
        duration_s=arguments.seconds,
        faults_per_s=arguments.per_s,
        gateways=arguments.gateways,
        rollouts=arguments.rollouts,
    )
    broken = asyncio.run(play_all(seeds, draft, arguments.jobs))
    took_s = time.monotonic() - began_s
    print(f"{len(seeds)} seeds, {broken} with a broken promise, {took_s:.0f} s")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
