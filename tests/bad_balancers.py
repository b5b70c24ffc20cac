"""Balancers that each break one rule on purpose; the judge has to catch them."""

from __future__ import annotations

from pumicepath.interface import Effect, Outcome
from pumicepath.lab.virtual.baselines import RandomChoice, RoundRobin, TextbookBalancer, TextbookSubmission


class SilentHandle(TextbookSubmission):
    def ended(self, now, number, outcome, spent, finished):
        self.waiting = False
        self.finished = self.finished or finished

    def over(self):
        return self.finished and not self.waiting


class Silent(RandomChoice):
    """Never answers a submission whose first hop failed."""

    submission_type = SilentHandle


class Twice(RandomChoice):
    """Defers what it has sent, and says so once more."""

    def take(self, now, name, tariff, key, retry, until):
        one = super().take(now, name, tariff, key, retry, until)
        if self.settings.tariffs[tariff].effect == Effect.IDEMPOTENT:
            self.callbacks.defer(name, 0)
            self.callbacks.defer(name, 0)
        return one


class AfterHandle(TextbookSubmission):
    def ended(self, now, number, outcome, spent, finished):
        super().ended(now, number, outcome, spent, finished)
        if finished and len(self.tried_servers) < 2:
            self.finished = False
            self.send_next(now)


class After(RandomChoice):
    """Sends once more after the final answer."""

    submission_type = AfterHandle


class RepeatsHandle(TextbookSubmission):
    def may_retry(self, outcome):
        return True


class Repeats(RandomChoice):
    """Sends what may not be repeated again after an error, as if it had not run."""

    submission_type = RepeatsHandle


class PromisesHandle(TextbookSubmission):
    def ended(self, now, number, outcome, spent, finished):
        self.waiting = False
        if not finished and not self.finished and outcome != Outcome.OK:
            self.finished = True
            self.balancer.callbacks.defer(self.name, 0)
        self.finished = True


class Promises(RandomChoice):
    """Defers what may have run, as if trying again were harmless."""

    submission_type = PromisesHandle


class Deaf(RoundRobin):
    """Does not heed the list once it has one."""

    def listed(self, now, kind, entries):
        if not self.ready:
            super().listed(now, kind, entries)


class Rush(TextbookBalancer):
    """Sends everything to the server that came up last."""

    def listed(self, now, kind, entries):
        super().listed(now, kind, entries)
        for entry in entries:
            if entry.came_up:
                self.newest = entry.server

    def choose(self, one, among):
        newest = getattr(self, "newest", -1)
        return newest if newest in among else self.rng.choice(among)
