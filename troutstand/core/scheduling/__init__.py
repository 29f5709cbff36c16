"""Decide in which order requests are placed and shed under overload."""
