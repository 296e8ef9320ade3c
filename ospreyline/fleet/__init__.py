"""What the balancers of one bank do together; each part is off unless the operator file switches it on."""
