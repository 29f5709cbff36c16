"""Recognise requests that ask for the same thing."""

from __future__ import annotations

from hashlib import blake2b

# The odds that any two of a million requests share one by chance are 1 in 37 million.
_DIGEST_BYTES = 8


def compute_fingerprint(workspace: str, method: str, host: str, path: str, body: bytes) -> str:
    """Return what is the same for all requests of a caller with one path and body.

    Parameters
    ----------
    workspace
        Whose request it is; empty where the route needs no key.
    """
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for part in (workspace, method, host, path):
        data = part.encode("utf-8", "surrogateescape")
        digest.update(len(data).to_bytes(4, "big") + data)
    digest.update(body)
    return digest.hexdigest()
