"""The bench adapter: the decisions unmodified, on the protocol of the bench. It decides nothing."""
