"""A clock is set: the list's, so that starts of servers are told wrongly, or that of sidecars."""

from .trouble import Trouble, named, numbered


class ClockStep(Trouble):
    """Servers that are told to have just come up, or, with a negative value, whose true start lies earlier.

    The value is the step in seconds, by default 30 forward: a start seems to lie in the future, and a sidecar
    that trusts it would take the server for cold as long.  With `sidecars` their own wall clocks are set.
    """

    usual = 30.0
    bends = True

    def begin(self) -> str:
        if self.spec.sidecars:
            self.turn(1)
            return f"{numbered(list(self.spec.sidecars))} by {self.value:g} s"
        self.hit = self.servers()
        step = round(self.value * 1e6)
        registry = self.world.registry
        for server in self.hit:
            seems = max(1, self.world.timeline.now + step)
            registry.put(registry.truth[server.number]._replace(started_at=seems))
        return f"{named(self.hit)} by {self.value:g} s"

    def turn(self, way: int) -> None:
        for number in self.spec.sidecars:
            self.world.instances[number].bend(None, way * round(self.value * 1e6))

    def end(self) -> None:
        if self.spec.sidecars:
            self.turn(-1)
            return
        for server in self.hit:
            self.world.list(server)
