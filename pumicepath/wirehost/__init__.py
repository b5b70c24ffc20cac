"""The simulator's wire: frames in, calls on a balancer each instance, messages out."""
