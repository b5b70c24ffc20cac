"""Corrupt state files after a crash of sidecars."""

from .base import Fault, sidecar_names


class DiskTorn(Fault):
    """Each file of killed sidecars, by default half, is cut at some byte or gets a flipped bit."""

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
