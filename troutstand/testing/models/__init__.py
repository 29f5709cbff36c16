"""Check the daemon's state machines by exhaustive state-space search."""
