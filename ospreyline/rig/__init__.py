"""The test rig: many real balancer processes on loopback, with a relay on every link that can inject faults.

It starts the same command as operators do and judges by the traffic on the wire; it imports nothing of what
it judges (`decide`, `net`, `fleet`). docs/rig.md describes its parts, scenario files and limits.
"""
