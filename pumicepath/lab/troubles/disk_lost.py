"""The folders of sidecars are gone while they run."""

from .trouble import Trouble, numbered


class DiskLost(Trouble):
    """By default of all."""

    usual = 1.0
    real = True
    lasting = False

    def begin(self) -> str:
        hit = self.sidecars()
        files = sum(self.world.instances[number].disk("lost", self.chance) for number in hit)
        return f"{numbered(hit)}, {files} files"
