"""Describe two request mixes and sample requests from them."""

from __future__ import annotations

import random
from dataclasses import dataclass

from troutstand.core.prefix import CHARACTERS_PER_TOKEN
from troutstand.testing.engine import NONCE_CHARACTERS

_HEX = "0123456789abcdef"


@dataclass(frozen=True)
class RequestClass:
    """Describe one class of requests.

    Each request starts with one of `prefixes` shared prefixes, chosen from a
    skewed distribution, and continues with a tail of its own.
    """

    workspace: str
    tier: str
    weight: float
    prefixes: int
    prefix_tokens: tuple[int, int]
    tail_tokens: tuple[int, int]
    answer_tokens: tuple[int, int]


@dataclass(frozen=True)
class Mix:
    """Describe a weighted set of request classes."""

    name: str
    classes: tuple[RequestClass, ...]
    command_share: float = 0.05


IRRIGATION = Mix(
    "irrigation",
    (
        RequestClass("coordinators", "urgent", 0.15, 4, (200, 600), (40, 400), (20, 80)),
        RequestClass("counter", "urgent", 0.10, 4, (200, 600), (40, 200), (10, 40)),
        RequestClass("nurseries", "desk", 0.35, 24, (500, 4000), (40, 600), (20, 120)),
        RequestClass("nurses", "advice", 0.25, 24, (500, 8000), (40, 800), (20, 160)),
        RequestClass("reminders", "draft", 0.15, 2, (100, 200), (20, 80), (8, 40)),
    ),
)

DONOR = Mix(
    "donor",
    (
        RequestClass("coordinators", "urgent", 0.35, 48, (1500, 8000), (40, 300), (20, 80)),
        RequestClass("counter", "urgent", 0.05, 4, (200, 400), (20, 100), (10, 40)),
        RequestClass("nurseries", "desk", 0.15, 24, (1000, 6000), (40, 300), (20, 100)),
        RequestClass("nurses", "advice", 0.20, 8, (200, 800), (40, 300), (20, 120)),
        RequestClass("reminders", "draft", 0.25, 2, (60, 120), (20, 60), (8, 30)),
    ),
)

MIXES = {mix.name: mix for mix in (IRRIGATION, DONOR)}


@dataclass(frozen=True)
class DrawnRequest:
    """Hold one sampled request."""

    at_s: float
    nonce: str
    workspace: str
    tier: str
    prompt: str
    answer_tokens: int
    is_command: bool = False


class RequestSampler:
    """Sample requests with Poisson arrivals from a seed."""

    def __init__(self, mix: Mix, seed: int) -> None:
        self._mix = mix
        self._random = random.Random(seed)
        self._prefixes: dict[tuple[str, int], str] = {}

    def draw(self, rate_per_s: float, duration_s: float) -> list[DrawnRequest]:
        """Sample the requests of a time span."""
        drawn: list[DrawnRequest] = []
        at_s = 0.0
        while True:
            at_s += self._random.expovariate(rate_per_s)
            if at_s >= duration_s:
                return drawn
            drawn.append(self._draw_request(at_s))

    def _draw_request(self, at_s: float) -> DrawnRequest:
        nonce = f"{self._random.getrandbits(48):012x}"[:NONCE_CHARACTERS]
        if self._random.random() < self._mix.command_share:
            return DrawnRequest(at_s, nonce, "counter", "urgent", "", 0, is_command=True)
        classes = self._mix.classes
        request_class = self._random.choices(classes, [item.weight for item in classes])[0]
        prefix = self._get_prefix(request_class)
        tail = self._make_text(self._random.randint(*request_class.tail_tokens))
        answer = self._random.randint(*request_class.answer_tokens)
        return DrawnRequest(
            at_s, nonce, request_class.workspace, request_class.tier, prefix + tail + nonce, answer
        )

    def _get_prefix(self, request_class: RequestClass) -> str:
        number = min(int(self._random.paretovariate(0.8)) - 1, request_class.prefixes - 1)
        key = (request_class.workspace, number)
        if key not in self._prefixes:
            self._prefixes[key] = self._make_text(
                self._random.randint(*request_class.prefix_tokens)
            )
        return self._prefixes[key]

    def _make_text(self, tokens: int) -> str:
        characters = tokens * CHARACTERS_PER_TOKEN
        return "".join(self._random.choices(_HEX, k=characters))
