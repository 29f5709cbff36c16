"""Begin a process of troutstand before anything else is loaded."""

from __future__ import annotations

from troutstand.util.reloadsignal import ignore_reload


def run() -> None:
    """Run the command line."""
    ignore_reload()
    from troutstand.daemon.cli import app

    app()


if __name__ == "__main__":
    run()
