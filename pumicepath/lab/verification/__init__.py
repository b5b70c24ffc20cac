"""Faults of real processes (clocks, disks), the recorded history of a run, and its checks."""
