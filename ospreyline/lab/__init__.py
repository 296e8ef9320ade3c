"""The simulator: a model of clients, balancers, servers and faults, in simulated time.

It runs the decisions of `decide.py` unmodified, hundreds of balancers in one process, at sizes that real
sockets do not reach. Nothing here is measured on real machines; docs/lab.md states each assumption.
`serve` never imports this package.
"""
