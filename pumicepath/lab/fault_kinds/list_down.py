"""An outage of the server list."""

from .base import Fault, sidecar_names


class ListDown(Fault):
    """Requests for the list fail, for the named sidecars, or all; on loopback in the ways of the plan."""

    def inject(self) -> str:
        self.world.registry.disconnect(self.spec.sidecars, self.spec.fails)
        if self.spec.sidecars:
            return f"{sidecar_names(list(self.spec.sidecars))} without it"
        return f"{len(self.world.registry.subscriptions)} sidecars without it"

    def revert(self) -> None:
        self.world.registry.reconnect(self.spec.sidecars)
