"""The server list can't be reached, by some sidecars or by all; asking for it fails."""

from .trouble import Trouble, numbered


class ListDown(Trouble):
    """`sidecars` are those that can't; none named: all."""

    def begin(self) -> str:
        self.world.registry.break_off(self.spec.sidecars)
        if self.spec.sidecars:
            return f"{numbered(list(self.spec.sidecars))} without it"
        return f"{len(self.world.registry.followers)} sidecars without it"

    def end(self) -> None:
        self.world.registry.come_back(self.spec.sidecars)
