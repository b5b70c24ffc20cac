"""Each file of killed sidecars is cut at some byte or has a bit flipped, as by a crash."""

from .trouble import Trouble, numbered


class DiskTorn(Trouble):
    """They are killed, and started again with what is left; by default one in two."""

    usual = 0.5
    real = True

    def begin(self) -> str:
        self.hit = self.sidecars()
        files = 0
        for number in self.hit:
            self.world.instances[number].kill()
            files += self.world.instances[number].disk("torn", self.chance)
        return f"{numbered(self.hit)}, {files} files"

    def end(self) -> None:
        for number in self.hit:
            self.world.instances[number].start()
