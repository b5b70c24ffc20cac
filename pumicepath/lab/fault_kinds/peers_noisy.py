"""Messages of sidecars to each other are lost, delayed, doubled, swapped, spoilt or squeezed."""

from ..model.links import Impairment
from .base import Fault, sidecar_names


class PeersNoisy(Fault):
    """The value is the share that is lost, by default a fifth; of the sidecars named, or of all."""

    default_value = 0.2
    needs_peers = True

    def inject(self) -> str:
        assert self.world.links is not None
        spec = self.spec
        hit = sorted(spec.sidecars) or [one.number for one in self.world.instances]
        other = spec.delay_ms or spec.spread_ms or spec.doubled or spec.spoilt or spec.rate_kb
        loss = spec.value if spec.value or other else self.default_value
        noise = Impairment(
            loss,
            spec.doubled,
            spec.spoilt,
            round(spec.delay_ms * 1000),
            round(spec.spread_ms * 1000),
            round(spec.rate_kb * 1000),
        )
        self.undo = self.world.links.impair(hit, noise)
        return (
            f"{sidecar_names(hit)}: {loss:.0%} lost, "
            f"{spec.delay_ms:g} to {spec.delay_ms + spec.spread_ms:g} ms"
        )

    def revert(self) -> None:
        self.undo()
