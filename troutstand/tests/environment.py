"""Set up and clean up what scenarios share."""

from __future__ import annotations

import gc
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from troutstand.testing.ports import reserve_network
from troutstand.testing.site import Site, SitePlan

if TYPE_CHECKING:
    from behave.runner import Context


@dataclass
class Shared:
    """Keep what outlives a scenario; attributes of the context itself do not."""

    site: Site | None = None
    subnets: int = 0


def before_all(context: Context) -> None:
    """Prepare for one site that scenarios which break nothing share."""
    # As the processes do at their start: a collection of all loaded modules takes long enough
    # to fail checks of times.
    gc.collect()
    gc.freeze()
    context.shared = Shared()
    context.scratch = tempfile.TemporaryDirectory(prefix="troutstand-tests-")


def make_folder(context: Context) -> Path:
    """Make a new folder."""
    return Path(tempfile.mkdtemp(dir=context.scratch.name))


def next_subnet(context: Context) -> str:
    """Return loopback numbers that no other site of this or another run uses now."""
    context.shared.subnets += 1
    return f"{reserve_network()}.{context.shared.subnets % 250}"


def start_site(context: Context, plan: SitePlan) -> Site:
    """Start a site for one scenario."""
    site = Site(make_folder(context), plan)
    site.prepare()
    context.sites.append(site)
    site.start()
    return site


def share_site(context: Context) -> Site:
    """Return the site that scenarios which break nothing share."""
    if context.shared.site is None:
        plan = SitePlan(entries=(2,), engine_speeds=(1.0, 2.0), body_s=0.2)
        site = Site(make_folder(context), plan)
        site.prepare()
        context.shared.site = site
        site.start()
        site.find_scheduler("north")
    return context.shared.site


def before_scenario(context: Context, _: object) -> None:
    """Forget the last scenario's sites."""
    context.sites = []


def after_scenario(context: Context, _: object) -> None:
    """Stop the scenario's sites."""
    for site in context.sites:
        site.stop()


def after_all(context: Context) -> None:
    """Stop the shared site."""
    if context.shared.site:
        context.shared.site.stop()
    context.scratch.cleanup()
