"""Hollow sidecars: many real watches, lists and balancers in one process, without clients and servers."""
