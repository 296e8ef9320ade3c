"""Capacity planning: measured slopes, and the arithmetic that turns a fleet size into a table of costs."""
