"""The relay: takes server lists from discovery and passes them on to many sidecars; it makes no decisions."""
