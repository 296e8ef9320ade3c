"""What balancers of one bank do together, or for each other's sake; every part is off unless switched on."""
