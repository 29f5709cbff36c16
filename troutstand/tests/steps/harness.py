"""Check the helpers that test processes share."""

from __future__ import annotations

import subprocess
import sys
from collections import Counter
from typing import TYPE_CHECKING

from behave import then, when

if TYPE_CHECKING:
    from behave.runner import Context

_PICK = """
import sys
from troutstand.testing.ports import pick_ports
print(*pick_ports(int(sys.argv[1])), flush=True)
sys.stdin.read()
"""
_FIND = """
import sys
from troutstand.testing.ports import reserve_network
print(reserve_network(), flush=True)
sys.stdin.read()
"""


def _run_together(processes: int, program: str, argument: str) -> list[list[str]]:
    """Return the output of processes that each run until all have printed."""
    command = [sys.executable, "-c", program, argument]
    pipe = subprocess.PIPE
    children = [
        subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True) for _ in range(processes)
    ]
    lines = [child.stdout.readline() for child in children if child.stdout]
    for child in children:
        child.communicate()
    return [line.split() for line in lines]


@when("{processes:d} test processes pick {count:d} ports each at the same time")
def pick_together(context: Context, processes: int, count: int) -> None:
    context.picked = _run_together(processes, _PICK, str(count))
    assert all(len(ports) == count for ports in context.picked), context.picked


@when("{processes:d} test processes ask for a network at the same time")
def find_together(context: Context, processes: int) -> None:
    context.picked = _run_together(processes, _FIND, "")
    assert all(len(networks) == 1 for networks in context.picked), context.picked


@then("no port was picked twice")
@then("no network was given twice")
def check_apart(context: Context) -> None:
    counts = Counter(number for numbers in context.picked for number in numbers)
    twice = [number for number, count in counts.items() if count > 1]
    assert not twice, f"{len(twice)} of {len(counts)}: {twice[:5]}"
