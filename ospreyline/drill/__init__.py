"""The front for the bench: the same decisions on the simulator's wire. It decides nothing."""
