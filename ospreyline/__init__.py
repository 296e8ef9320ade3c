"""ospreyline: an HTTP load balancer, run as a small bank of proxies that share nothing."""
