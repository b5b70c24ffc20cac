"""A clock is set: the list's, so that starts of servers are told wrongly, or that of sidecars."""

from .base import Fault, server_names, sidecar_names


class ClockStep(Fault):
    """Servers that are told to have just come up, or, with a negative value, whose true start lies earlier.

    The value is the step in seconds, by default 30 forward: a start seems to lie in the future, and a sidecar
    that trusts it would take the server for cold as long.  With `sidecars` their own wall clocks are set.
    """

    default_value = 30.0
    needs_call_hooks = True

    def inject(self) -> str:
        if self.spec.sidecars:
            self.step_clocks(1)
            return f"{sidecar_names(list(self.spec.sidecars))} by {self.value:g} s"
        self.targets = self.target_servers()
        step = round(self.value * 1e6)
        registry = self.world.registry
        for server in self.targets:
            seems = max(1, self.world.timeline.now + step)
            registry.update(registry.truth[server.number]._replace(came_up=seems))
        return f"{server_names(self.targets)} by {self.value:g} s"

    def step_clocks(self, way: int) -> None:
        for number in self.spec.sidecars:
            self.world.instances[number].adjust_clock(None, way * round(self.value * 1e6))

    def revert(self) -> None:
        if self.spec.sidecars:
            self.step_clocks(-1)
            return
        for server in self.targets:
            self.world.publish_server(server)
