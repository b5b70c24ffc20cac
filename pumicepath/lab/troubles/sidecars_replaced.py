"""A new process takes the place of each sidecar while it serves."""

from .trouble import Trouble, numbered


class SidecarsReplaced(Trouble):
    """By default of three in ten; the old process is asked to end once the new one serves."""

    usual = 0.3
    real = True
    needs_peers = True          # only then do sidecars have the operators' address that a replacement needs
    lasting = False

    def begin(self) -> str:
        hit = self.sidecars()
        for number in hit:
            self.world.instances[number].replace()
        return numbered(hit)
