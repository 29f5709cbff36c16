"""Search the state space of a model and report violated properties."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

from minicheck import Protocol, check_safety

S = TypeVar("S", bound=Hashable)

MAX_STATES = 3_000_000


@dataclass(frozen=True)
class Step(Generic[S]):
    """Label a transition and hold the state that it leads to."""

    label: str
    state: S


@dataclass(frozen=True)
class ModelSpec(Generic[S]):
    """Describe a model by its initial state, transitions and safety properties."""

    name: str
    initial: S
    list_steps: Callable[[S], list[Step[S]]]
    properties: dict[str, Callable[[S], bool]]


@dataclass(frozen=True)
class CheckResult:
    """Hold the reachable state count and a counterexample for each violated property."""

    name: str
    state_count: int
    violations: dict[str, list[str]]

    @property
    def holds(self) -> bool:
        """Return whether every property holds in every reachable state."""
        return not self.violations


def _adapt_steps(spec: ModelSpec[Any]) -> Callable[[tuple[Any, ...]], list[tuple[str, tuple]]]:
    def list_transitions(state: tuple[Any, ...]) -> list[tuple[str, tuple]]:
        return [(step.label, (step.state,)) for step in spec.list_steps(state[0])]

    return list_transitions


def _adapt_property(holds: Callable[[Any], bool]) -> Callable[[dict[str, Any]], bool]:
    return lambda fields: holds(fields["world"])


def check_model(spec: ModelSpec[Any], max_states: int = MAX_STATES) -> CheckResult:
    """Check the properties of a model in every reachable state.

    Raises
    ------
    RuntimeError
        If the model has more than `max_states` reachable states.
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
    return CheckResult(spec.name, result["reachable_states"], violations)
