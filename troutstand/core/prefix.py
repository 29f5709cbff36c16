"""Identify prompt prefixes by chained block hashes and estimate which targets cache them.

The hash covers the model, as in mlxcel's automatic prefix caching. The block width doubles
with the prompt length, so that a prompt has at most `MAX_BLOCKS` prefixes.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

CHARACTERS_PER_TOKEN = 4
BLOCK_TOKENS = 64
MAX_BLOCKS = 32


@dataclass(frozen=True)
class Prefixes:
    """Hold the hashes of one prompt's block-aligned prefixes, shortest first."""

    blocks: list[bytes]
    block_tokens: int


def count_tokens(text: str) -> int:
    """Estimate the number of tokens in a text."""
    return max(1, len(text) // CHARACTERS_PER_TOKEN)


def _choose_block_tokens(tokens: int) -> int:
    width = BLOCK_TOKENS
    while tokens // width > MAX_BLOCKS:
        width *= 2
    return width


def hash_prefixes(model: str, text: str) -> Prefixes:
    """Return the hashes of a prompt's block-aligned prefixes."""
    width = _choose_block_tokens(count_tokens(text))
    step = width * CHARACTERS_PER_TOKEN
    hasher = xxhash.xxh3_64(f"{len(model)}:{model}".encode())
    blocks: list[bytes] = []
    for start in range(0, len(text) - step + 1, step):
        hasher.update(text[start : start + step].encode())
        blocks.append(hasher.digest())
    return Prefixes(blocks, width)


@dataclass
class PrefixCache:
    """Model a target's prefix cache with least recently used eviction."""

    capacity_tokens: int
    _blocks: OrderedDict[bytes, int] = field(default_factory=OrderedDict)
    _tokens: int = 0

    def match(self, prefixes: Prefixes) -> int:
        """Return the number of prompt tokens that the target has probably cached."""
        for index in range(len(prefixes.blocks) - 1, -1, -1):
            if prefixes.blocks[index] in self._blocks:
                return (index + 1) * prefixes.block_tokens
        return 0

    def insert(self, prefixes: Prefixes) -> None:
        """Add prefixes that the target has computed."""
        for block in prefixes.blocks:
            if block in self._blocks:
                self._blocks.move_to_end(block)
                continue
            self._blocks[block] = prefixes.block_tokens
            self._tokens += prefixes.block_tokens
        while self._tokens > self.capacity_tokens and self._blocks:
            _, tokens = self._blocks.popitem(last=False)
            self._tokens -= tokens

    def clear(self) -> None:
        """Remove all prefixes, as after a restart of the target."""
        self._blocks.clear()
        self._tokens = 0
