"""Compress configurations for slow links, and decompress them within a size limit."""

from __future__ import annotations

import zlib

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError

MAX_DECOMPRESSED_BYTES = 64 << 20


def compress(content: bytes) -> bytes:
    """Compress the content; empty content stays empty."""
    return zlib.compress(content) if content else b""


def decompress(data: bytes, max_bytes: int = MAX_DECOMPRESSED_BYTES) -> bytes:
    """Decompress data made by `compress`.

    Raises
    ------
    TroutstandError
        LINK_MALFORMED if the data is corrupt, truncated or larger than `max_bytes`.
    """
    if not data:
        return b""
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise TroutstandError(
            ResultCode.LINK_MALFORMED, f"decompression failed: {error}"
        ) from error
    if decompressor.unconsumed_tail:
        detail = f"decompressed content exceeds {max_bytes} bytes"
        raise TroutstandError(ResultCode.LINK_MALFORMED, detail)
    if not decompressor.eof:
        raise TroutstandError(ResultCode.LINK_MALFORMED, "compressed content is truncated")
    return content
