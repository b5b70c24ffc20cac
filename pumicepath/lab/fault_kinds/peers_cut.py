"""Messages between groups of sidecars are lost, both ways or one."""

from .base import Fault, sidecar_names


class PeersCut(Fault):
    """`sidecars` are cut off from all others; with `from_` and `to` only what the first send the second.

    Where `to` is left out it is everybody else. With none of them it is a share, by default half.
    """

    default_value = 0.5
    needs_peers = True

    def inject(self) -> str:
        assert self.world.links is not None
        every = {one.number for one in self.world.instances}
        if self.spec.from_:
            to = self.spec.to or every - set(self.spec.from_)
            self.undo = self.world.links.cut(self.spec.from_, to, both_ways=False)
            return f"from {sidecar_names(sorted(self.spec.from_))} to {sidecar_names(sorted(to))}"
        hit = self.sidecar_numbers()
        self.undo = self.world.links.cut(hit, every - set(hit))
        return sidecar_names(hit)

    def revert(self) -> None:
        self.undo()
