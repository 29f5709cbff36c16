"""Processes of a routed site: gateways, schedulers and the keepers of replicated state."""
