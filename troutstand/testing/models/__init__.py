"""Check the daemon's own state machines by exhaustive search."""
