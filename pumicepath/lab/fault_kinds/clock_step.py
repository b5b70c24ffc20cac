"""Clock steps of sidecars, or of the list, which then reports wrong start times of servers."""

from .base import Fault, server_names, sidecar_names


class ClockStep(Fault):
    """The list reports now plus the value as start of servers, or clocks of named sidecars are stepped.

    The value is in seconds, by default 30.  A sidecar that trusts a start in the future would treat a server
    as cold for so much longer; with a negative value, servers seem to have started too early.
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
            started_at = max(1, self.world.timeline.now + step)
            registry.update(registry.actual_entries[server.number]._replace(started_at=started_at))
        return f"{server_names(self.targets)} by {self.value:g} s"

    def step_clocks(self, sign: int) -> None:
        for number in self.spec.sidecars:
            self.world.instances[number].adjust_clock(None, sign * round(self.value * 1e6))

    def revert(self) -> None:
        if self.spec.sidecars:
            self.step_clocks(-1)
            return
        for server in self.targets:
            self.world.publish_server(server)
