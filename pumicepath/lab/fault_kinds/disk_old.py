"""Sidecars that restart with outdated state on their disks."""

from .base import Fault, sidecar_names


class DiskOld(Fault):
    """State is copied first; at the end sidecars, by default half, are killed and restart with it."""

    default_value = 0.5
    needs_processes = True

    def inject(self) -> str:
        self.targets = self.sidecar_numbers()
        files = sum(self.world.instances[number].damage_disk("kept", self.rng) for number in self.targets)
        return f"{sidecar_names(self.targets)}, {files} files"

    def revert(self) -> None:
        for number in self.targets:
            self.world.instances[number].kill()
            self.world.instances[number].damage_disk("old", self.rng)
            self.world.instances[number].start()
