"""Measure troutstand; every figure is one JSON line."""
