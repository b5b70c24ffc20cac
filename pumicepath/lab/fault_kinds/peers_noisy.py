"""Lossy, slow, duplicating, reordering, corrupting or narrow links between sidecars."""

from ..model.links import Impairment
from .base import Fault, sidecar_names


class PeersNoisy(Fault):
    """The value is the fraction of messages lost, by default 0.2; of the named sidecars, or all."""

    default_value = 0.2
    needs_peers = True

    def inject(self) -> str:
        assert self.world.links is not None
        spec = self.spec
        targets = sorted(spec.sidecars) or [each.number for each in self.world.instances]
        other_effect = spec.delay_ms or spec.spread_ms or spec.doubled or spec.spoilt or spec.rate_kb
        loss = spec.value if spec.value or other_effect else self.default_value
        impairment = Impairment(
            loss,
            spec.doubled,
            spec.spoilt,
            round(spec.delay_ms * 1000),
            round(spec.spread_ms * 1000),
            round(spec.rate_kb * 1000),
        )
        self.undo = self.world.links.impair(targets, impairment)
        return (
            f"{sidecar_names(targets)}: {loss:.0%} lost, "
            f"{spec.delay_ms:g} to {spec.delay_ms + spec.spread_ms:g} ms"
        )

    def revert(self) -> None:
        self.undo()
