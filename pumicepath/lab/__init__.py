"""Tests a fleet in virtual time or with real processes: model, injected faults, rule checker, experiments."""
