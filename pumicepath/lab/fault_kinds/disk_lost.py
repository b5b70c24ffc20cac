"""The folders of sidecars are gone while they run."""

from .base import Fault, sidecar_names


class DiskLost(Fault):
    """By default of all."""

    default_value = 1.0
    needs_processes = True
    has_end = False

    def inject(self) -> str:
        hit = self.sidecar_numbers()
        files = sum(self.world.instances[number].damage_disk("lost", self.rng) for number in hit)
        return f"{sidecar_names(hit)}, {files} files"
