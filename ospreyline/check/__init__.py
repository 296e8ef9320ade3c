"""Model checking: explores all orders of events in small worlds that run the production code."""
