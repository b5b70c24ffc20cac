"""The clocks of sidecars run at another rate."""

from .trouble import Trouble, numbered


class ClockRate(Trouble):
    """The value is the deviation in millionths, by default 200; of the sidecars named, or all."""

    usual = 200.0
    real = True
    bends = True

    def begin(self) -> str:
        self.hit = list(self.spec.sidecars) or [one.number for one in self.world.instances]
        for number in self.hit:
            self.world.instances[number].bend(1.0 + self.value / 1e6, 0)
        return f"{numbered(self.hit)} by {self.value:+g} ppm"

    def end(self) -> None:
        for number in self.hit:
            self.world.instances[number].bend(1.0, 0)
