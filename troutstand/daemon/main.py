"""Start a troutstand process."""

from __future__ import annotations

from troutstand.util.reloadsignal import ignore_reload


def run() -> None:
    """Run the command line."""
    # Importing the command line takes time, during which a reload signal would end the process.
    ignore_reload()
    from troutstand.daemon.cli import app

    app()


if __name__ == "__main__":
    run()
