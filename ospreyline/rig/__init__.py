"""The rig: many real processes of the program on loopback, every link a relay that can be broken.

It starts what the operators start and judges by what was on the wire; it imports nothing of what it judges
(`decide`, `net`, `fleet`). docs/rig.md has the parts, the words of a scenario and the limits.
"""
