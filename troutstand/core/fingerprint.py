"""Fingerprints that identify equal requests."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# 64 bits make collisions among a million requests negligible.
_DIGEST_BYTES = 8


def compute_fingerprint(workspace: str, method: str, host: str, path: str, body: bytes) -> str:
    """Return a digest that is equal for a workspace's requests with equal path and body.

    Parameters
    ----------
    workspace
        Workspace of the caller; empty if the route needs no key.
    """
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for part in (workspace, method, host, path):
        data = part.encode("utf-8", "surrogateescape")
        digest.update(len(data).to_bytes(4, "big") + data)
    digest.update(body)
    return digest.hexdigest()


def compute_part_digests(texts: Iterable[str]) -> list[str]:
    """Return a digest of each text, for prompts that have some texts in common."""
    return [
        blake2b(text.encode("utf-8", "surrogateescape"), digest_size=_DIGEST_BYTES).hexdigest()
        for text in texts
    ]
