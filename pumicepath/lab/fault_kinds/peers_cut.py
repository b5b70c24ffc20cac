"""Partitions between sidecars, both ways or one way."""

from .base import Fault, sidecar_names


class PeersCut(Fault):
    """The sidecars of `sidecars`, by default a random half, are cut off from all others.

    With `from_` only messages from these to `to`, by default to all others, are lost.
    """

    default_value = 0.5
    needs_peers = True

    def inject(self) -> str:
        assert self.world.links is not None
        all_sidecars = {each.number for each in self.world.instances}
        if self.spec.from_:
            recipients = self.spec.to or all_sidecars - set(self.spec.from_)
            self.undo = self.world.links.cut(self.spec.from_, recipients, both_ways=False)
            return f"from {sidecar_names(sorted(self.spec.from_))} to {sidecar_names(sorted(recipients))}"
        targets = self.sidecar_numbers()
        self.undo = self.world.links.cut(targets, all_sidecars - set(targets))
        return sidecar_names(targets)

    def revert(self) -> None:
        self.undo()
