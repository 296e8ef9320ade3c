"""The numbers to plan with: measured slopes, and the arithmetic that turns a size into a table."""
