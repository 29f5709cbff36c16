"""Check settings with the real daemon."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import TYPE_CHECKING

from behave import given, then, when

from troutstand.testing.site import Site, SitePlan
from troutstand.tests.environment import make_folder

if TYPE_CHECKING:
    from behave.runner import Context

_HANG_S = 30


def prepare(context: Context) -> Site:
    """Prepare a site without starting it."""
    site = Site(make_folder(context), SitePlan(entries=(2,), engine_speeds=(), services=0))
    site.prepare()
    return site


def spoil(plain: dict, fault: str) -> None:
    """Put a fault into settings."""
    if "unknown field" in fault:
        plain["colour"] = "blue"
    if "port out of range" in fault:
        plain["link"]["port"] = 70000
    if "host name" in fault:
        plain["admin"]["ip"] = "localhost"
    if "two hosts" in fault:
        plain["peers"].append(plain["peers"][0])
    if "no callers" in fault:
        del plain["callers"]
    if "bad lease" in fault:
        plain["limits"]["lease_s"] = -1


@given("the settings of an entry process with {fault}")
def make_entry_settings(context: Context, fault: str) -> None:
    site = prepare(context)
    context.settings = site.folder / "north-0.entry.json"
    plain = json.loads(context.settings.read_text())
    spoil(plain, fault)
    context.settings.write_text("{" if fault == "broken JSON" else json.dumps(plain))


@given("the settings of a keeper whose data folder is another's")
def make_foreign_folder(context: Context) -> None:
    site = prepare(context)
    context.settings = site.folder / "north-0.keeper.json"
    site.format_disk("north-0.keeper")
    plain = json.loads(context.settings.read_text())
    plain["site"] = "elsewhere"
    context.settings.write_text(json.dumps(plain))


@given("the settings of a keeper whose data folder is unformatted")
def make_unformatted_folder(context: Context) -> None:
    context.settings = prepare(context).folder / "north-0.keeper.json"


def run_daemon(context: Context, *flags: str) -> None:
    """Run the daemon to its end."""
    routed = ["--routed"] if "is_routed" in context else []
    program = [sys.executable, "-m", "troutstand.daemon.main", str(context.settings)]
    command = [*program, *routed, *flags]
    context.ended = subprocess.run(command, capture_output=True, text=True, timeout=_HANG_S)
    context.printed = context.ended.stdout + context.ended.stderr


@when("troutstandd checks them")
def check_settings(context: Context) -> None:
    run_daemon(context, "--check")


@when("troutstandd starts with them")
def start_daemon(context: Context) -> None:
    run_daemon(context)


@then('it exits with {exit_code:d} and prints {code:d} and "{text}"')
def assert_exit(context: Context, exit_code: int, code: int, text: str) -> None:
    assert context.ended.returncode == exit_code, context.printed
    assert_printed(context, code, text)


@then('it prints {code:d} and "{text}"')
def assert_printed(context: Context, code: int, text: str) -> None:
    lines = context.printed.splitlines()
    wanted = str(code) if code else ""
    assert any(wanted in line and text in line for line in lines), context.printed
