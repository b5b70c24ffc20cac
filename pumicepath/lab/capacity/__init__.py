"""Capacity model: what the system takes at the target size, computed from measured series by formulas."""
