"""pumicepath: a client-side load balancer, one sidecar beside each calling process."""

__version__ = "0.2.0"

# Imported before the modules that may be compiled, as it decides in which form they run.
from . import compiled as compiled
