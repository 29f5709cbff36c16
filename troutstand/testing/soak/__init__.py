"""Run a routed site of real processes under seeded faults and check its guarantees."""
