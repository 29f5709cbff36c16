"""Decide which versions of a service's targets get requests, and move a service to another."""
