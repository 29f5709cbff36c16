"""Limit what workspaces, retries and targets may use."""
