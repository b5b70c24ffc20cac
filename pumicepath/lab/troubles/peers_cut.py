"""Messages between groups of sidecars are lost, both ways or one."""

from .trouble import Trouble, numbered


class PeersCut(Trouble):
    """`sidecars` are cut off from all others; with `from_` and `to` only what the first send the second.

    Where `to` is left out it is everybody else. With none of them it is a share, by default half.
    """

    usual = 0.5
    needs_peers = True

    def begin(self) -> str:
        assert self.world.links is not None
        every = {one.number for one in self.world.instances}
        if self.spec.from_:
            to = self.spec.to or every - set(self.spec.from_)
            self.undo = self.world.links.cut(self.spec.from_, to, both=False)
            return f"from {numbered(sorted(self.spec.from_))} to {numbered(sorted(to))}"
        hit = self.sidecars()
        self.undo = self.world.links.cut(hit, every - set(hit))
        return numbered(hit)

    def end(self) -> None:
        self.undo()
