"""Coordination between sidecars: membership, duties held under leases, shared trials.

No sockets, files, threads or clocks.
"""
