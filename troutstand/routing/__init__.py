"""Run a routed site: gateways before targets, a scheduler, and keepers of its state."""
