"""ospreyline: an HTTP load balancer, run as a small bank of proxies that share nothing."""

__version__ = "0.2.0"
