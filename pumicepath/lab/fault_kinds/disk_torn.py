"""Each file of killed sidecars is cut at some byte or has a bit flipped, as by a crash."""

from .base import Fault, sidecar_names


class DiskTorn(Fault):
    """They are killed, and started again with what is left; by default one in two."""

    default_value = 0.5
    needs_processes = True

    def inject(self) -> str:
        self.targets = self.sidecar_numbers()
        files = 0
        for number in self.targets:
            self.world.instances[number].kill()
            files += self.world.instances[number].damage_disk("torn", self.rng)
        return f"{sidecar_names(self.targets)}, {files} files"

    def revert(self) -> None:
        for number in self.targets:
            self.world.instances[number].start()
