"""Killed sidecars come back with what their disks held when the trouble began."""

from .trouble import Trouble, numbered


class DiskOld(Trouble):
    """A copy is kept at the beginning; at the end they are killed and started with it; by default half."""

    usual = 0.5
    real = True

    def begin(self) -> str:
        self.hit = self.sidecars()
        files = sum(self.world.instances[number].disk("kept", self.chance) for number in self.hit)
        return f"{numbered(self.hit)}, {files} files"

    def end(self) -> None:
        for number in self.hit:
            self.world.instances[number].kill()
            self.world.instances[number].disk("old", self.chance)
            self.world.instances[number].start()
