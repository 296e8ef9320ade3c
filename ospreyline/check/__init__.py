"""Exhaustive exploration in the small, of the code that runs in service."""
