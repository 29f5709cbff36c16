"""Check what test processes share."""

from __future__ import annotations

import subprocess
import sys
from collections import Counter
from typing import TYPE_CHECKING

from behave import then, when

if TYPE_CHECKING:
    from behave.runner import Context

# Each holds what it picked until all have.
_PROGRAM = """
import sys
from troutstand.testing.ports import pick_ports
print(*pick_ports(int(sys.argv[1])), flush=True)
sys.stdin.read()
"""


@when("{processes:d} test processes pick {count:d} ports each at the same time")
def pick_together(context: Context, processes: int, count: int) -> None:
    command = [sys.executable, "-c", _PROGRAM, str(count)]
    pipe = subprocess.PIPE
    children = [
        subprocess.Popen(command, stdin=pipe, stdout=pipe, text=True) for _ in range(processes)
    ]
    lines = [child.stdout.readline() for child in children if child.stdout]
    for child in children:
        child.communicate()
    context.picked = [line.split() for line in lines]
    assert all(len(ports) == count for ports in context.picked), context.picked


@then("no port was picked twice")
def check_apart(context: Context) -> None:
    counts = Counter(port for ports in context.picked for port in ports)
    twice = [port for port, count in counts.items() if count > 1]
    assert not twice, f"{len(twice)} of {len(counts)} ports: {twice[:5]}"
