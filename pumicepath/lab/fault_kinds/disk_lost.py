"""State folders of sidecars that are deleted while they run."""

from .base import Fault, sidecar_names


class DiskLost(Fault):
    """By default the folders of all sidecars."""

    default_value = 1.0
    needs_processes = True
    has_end = False

    def inject(self) -> str:
        targets = self.sidecar_numbers()
        files = sum(self.world.instances[number].damage_disk("lost", self.rng) for number in targets)
        return f"{sidecar_names(targets)}, {files} files"
