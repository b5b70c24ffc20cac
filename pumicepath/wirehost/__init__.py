"""Adapter to the simulator: event frames in, calls of one balancer per instance, action frames out."""
