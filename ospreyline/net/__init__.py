"""The front on sockets: the same decisions for real clients and upstreams. It decides nothing."""
