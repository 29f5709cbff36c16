"""Soak-test routed sites of real processes under seeded faults: `make soak`."""

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
    """Return a line that describes a rollout."""
    quality = "bad" if rollout.is_faulty else "good"
    took_s = rollout.ended_s - rollout.acknowledged_s
    end = rollout.final_state or "no end yet"
    return (
        f"{rollout.service} {rollout.version} ({quality}): {end} after {took_s:.1f} s, "
        f"cut {rollout.aborted_count}"
    )


async def run_seed(plan: SoakPlan) -> list[str]:
    """Run one seed; keep its logs if a check failed."""
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


async def run_seeds(seeds: list[int], draft: SoakPlan, jobs: int) -> int:
    """Run seeds, several in parallel, and return how many failed a check."""
    gate = asyncio.Semaphore(jobs)

    async def run_one(number: int, seed: int) -> bool:
        async with gate:
            subnet = f"{reserve_network()}.{number % 250}"
            plan = replace(draft, seed=seed, subnet=subnet)
            return bool(await run_seed(plan))

    results = await asyncio.gather(*(run_one(n, seed) for n, seed in enumerate(seeds)))
    return sum(results)


def main() -> int:
    """Run the seeds of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=4, help="number of random seeds")
    parser.add_argument("--seed", type=int, action="append", help="run this seed instead")
    parser.add_argument(
        "--seconds", type=float, default=20.0, help="duration of the faults of a seed"
    )
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--rollouts", action="store_true", help="include rollouts")
    parser.add_argument(
        "--no-cuts", action="store_true", help="never cut gateways from all targets"
    )
    parser.add_argument(
        "--no-crashing-parts", action="store_true", help="send no prompt parts that crash targets"
    )
    parser.add_argument(
        "--losses", action="store_true", help="lose most or all processes at times and at the end"
    )
    parser.add_argument(
        "--versions", action="store_true", help="run engines of a second version, later alone"
    )
    parser.add_argument("--per-s", type=float, default=1.2, help="faults per second; 0 for none")
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
        cuts=not arguments.no_cuts,
        crashing_parts=not arguments.no_crashing_parts,
        losses=arguments.losses,
        versions=arguments.versions,
    )
    broken = asyncio.run(run_seeds(seeds, draft, arguments.jobs))
    took_s = time.monotonic() - began_s
    print(f"{len(seeds)} seeds, {broken} with a broken promise, {took_s:.0f} s")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
