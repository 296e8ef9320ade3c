"""The laboratory: a model of clients, balancers, servers and what goes wrong, in simulated time.

It runs the decisions of `decide.py` unmodified, hundreds of balancers in one process, at sizes that
sockets do not reach. Nothing here is measured on real machines; docs/lab.md states each assumption.
`serve` never imports this package.
"""
