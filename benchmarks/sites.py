"""Run a site of real processes for the benchmarks."""

from __future__ import annotations

import tempfile
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

from troutstand.testing.site import Site, SitePlan

if TYPE_CHECKING:
    from collections.abc import Iterator


@contextmanager
def run_site(plan: SitePlan) -> Iterator[Site]:
    """Start a site and stop it at the end."""
    with tempfile.TemporaryDirectory(prefix="troutstand-bench-") as folder:
        site = Site(Path(folder), plan)
        site.prepare()
        try:
            site.start()
            for domain in sorted(set(site.domains.values())):
                site.find_scheduler(domain)
            yield site
        finally:
            site.stop()
