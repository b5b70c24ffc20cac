"""Sidecars in virtual time: the real balancer, and textbook balancers to compare it with."""
