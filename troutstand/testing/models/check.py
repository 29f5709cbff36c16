"""Run a model and tell whether its search was exhaustive."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from minicheck import Protocol, check_safety

S = TypeVar("S", bound=Hashable)

MAX_STATES = 3_000_000


@dataclass(frozen=True)
class Step(Generic[S]):
    """Lead from one state of a model to another."""

    label: str
    state: S


@dataclass(frozen=True)
class ModelSpec(Generic[S]):
    """Describe a model: where it starts, its steps, and what must always hold."""

    name: str
    initial: S
    list_steps: Callable[[S], list[Step[S]]]
    properties: dict[str, Callable[[S], bool]]


@dataclass(frozen=True)
class Verdict:
    """Tell what an exhaustive search found."""

    name: str
    states: int
    violations: dict[str, list[str]]

    @property
    def holds(self) -> bool:
        """Tell whether every property holds in every state."""
        return not self.violations


def _adapt_steps(spec: ModelSpec[Any]) -> Callable[[tuple[Any, ...]], list[tuple[str, tuple]]]:
    def list_transitions(state: tuple[Any, ...]) -> list[tuple[str, tuple]]:
        return [(step.label, (step.state,)) for step in spec.list_steps(state[0])]

    return list_transitions


def _adapt_property(holds: Callable[[Any], bool]) -> Callable[[dict[str, Any]], bool]:
    return lambda fields: holds(fields["world"])


def check_model(spec: ModelSpec[Any], max_states: int = MAX_STATES) -> Verdict:
    """Search every reachable state of a model.

    Raises
    ------
    RuntimeError
        Where there are more states than `max_states`: nothing is shown then.
    """
    protocol = Protocol(
        name=spec.name,
        candidate=False,
        fields=("world",),
        initial=(spec.initial,),
        transitions=_adapt_steps(spec),
        invariants={name: _adapt_property(holds) for name, holds in spec.properties.items()},
    )
    result = check_safety(protocol, max_states=max_states)
    violations = {
        name: [str(step["label"]) for step in found["counterexample"][1:]]
        for name, found in result["properties"].items()
        if not found["holds"]
    }
    if not result["exhaustive"]:
        raise RuntimeError(f"{spec.name}: the search was not exhaustive")
    return Verdict(spec.name, result["reachable_states"], violations)
