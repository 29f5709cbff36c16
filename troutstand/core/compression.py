"""Make configurations small for slow links, and whole again within a bound."""

from __future__ import annotations

import zlib

from troutstand.core.codes import ResultCode
from troutstand.core.errors import TroutstandError

# What an expanded configuration may take at most.
MAX_DECOMPRESSED_BYTES = 64 << 20


def compress(content: bytes) -> bytes:
    """Return the content in fewer bytes; nothing stays nothing."""
    return zlib.compress(content) if content else b""


def decompress(data: bytes, most_bytes: int = MAX_DECOMPRESSED_BYTES) -> bytes:
    """Return what was compressed.

    Raises
    ------
    TroutstandError
        LINK_MALFORMED where the data is broken, cut short or too large.
    """
    if not data:
        return b""
    decompressor = zlib.decompressobj()
    try:
        content = decompressor.decompress(data, most_bytes)
    except zlib.error as error:
        raise TroutstandError(ResultCode.LINK_MALFORMED, f"compressed: {error}") from error
    if decompressor.unconsumed_tail:
        detail = f"over {most_bytes} bytes when expanded"
        raise TroutstandError(ResultCode.LINK_MALFORMED, detail)
    if not decompressor.eof:
        raise TroutstandError(ResultCode.LINK_MALFORMED, "compressed content is cut short")
    return content
