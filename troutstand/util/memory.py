"""Configure how the C library manages the memory of a process."""

from __future__ import annotations

import ctypes

# Number of the option in the GNU C library's malloc.h.
_M_MMAP_THRESHOLD = -3
# Above what a connection reads at once, so that buffers are still reused.
_LARGE_BLOCK_BYTES = 512 << 10


def return_large_blocks() -> None:
    """Have large blocks, such as bodies, returned to the system once they are freed.

    By default the C library raises the size from which it does so to that of the largest block
    freed so far; later ones then leave gaps that smaller blocks keep from being returned.
    """
    # Other C libraries have no such option.
    set_option = getattr(ctypes.CDLL(None), "mallopt", None)
    if set_option is not None:
        set_option(_M_MMAP_THRESHOLD, _LARGE_BLOCK_BYTES)
