"""What the system takes at the size that is coming, from measured slopes: formulas, nothing measured."""
