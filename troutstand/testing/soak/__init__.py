"""Soak a routed site of real processes in seeded faults, and check its promises."""
