"""A hot key."""

from .base import Fault


class HotKey(Fault):
    """The value is the fraction of submissions at all sidecars that use one key, by default a third."""

    default_value = 0.33

    def inject(self) -> str:
        self.world.load_overrides.hot_key_fraction = self.value
        self.world.load_overrides.hot_key = 1 + self.rng.randrange(self.world.plan.load.keys)
        return f"key {self.world.load_overrides.hot_key} in {self.value:g} of submissions"

    def revert(self) -> None:
        self.world.load_overrides.hot_key_fraction = 0.0
