"""Balancers that each break one rule on purpose; the judge has to catch them."""

from __future__ import annotations

from pumicepath.interface import Effect, Outcome
from pumicepath.lab.virtual.baselines import Handle, Plain, Random, RoundRobin


class NeverAnswersHandle(Handle):
    def hop_finished(self, now, number, outcome, spent, finished):
        self.out = False
        self.done = self.done or finished

    def is_finished(self):
        return self.done and not self.out


class NeverAnswers(Random):
    """Never answers a submission whose first hop failed."""

    kind = NeverAnswersHandle


class RejectsTwice(Random):
    """Defers what it has sent, and says so once more."""

    def submit(self, now, name, tariff, key, retry, until):
        one = super().submit(now, name, tariff, key, retry, until)
        if self.settings.request_classes[tariff].effect == Effect.IDEMPOTENT:
            self.callbacks.reject(name, 0)
            self.callbacks.reject(name, 0)
        return one


class SendsAfterAnswerHandle(Handle):
    def hop_finished(self, now, number, outcome, spent, finished):
        super().hop_finished(now, number, outcome, spent, finished)
        if finished and len(self.tried) < 2:
            self.done = False
            self.go_on(now)


class SendsAfterAnswer(Random):
    """Sends once more after the final answer."""

    kind = SendsAfterAnswerHandle


class RetriesNonIdempotentHandle(Handle):
    def may_repeat(self, outcome):
        return True


class RetriesNonIdempotent(Random):
    """Sends what may not be repeated again after an error, as if it had not run."""

    kind = RetriesNonIdempotentHandle


class RejectsPossiblyRunHandle(Handle):
    def hop_finished(self, now, number, outcome, spent, finished):
        self.out = False
        if not finished and not self.done and outcome != Outcome.OK:
            self.done = True
            self.balancer.callbacks.reject(self.name, 0)
        self.done = True


class RejectsPossiblyRun(Random):
    """Defers what may have run, as if trying again were harmless."""

    kind = RejectsPossiblyRunHandle


class IgnoresListUpdates(RoundRobin):
    """Does not heed the list once it has one."""

    def update_servers(self, now, kind, entries):
        if not self.ready:
            super().update_servers(now, kind, entries)


class FloodsNewestServer(Plain):
    """Sends everything to the server that came up last."""

    def update_servers(self, now, kind, entries):
        super().update_servers(now, kind, entries)
        for entry in entries:
            if entry.started_at:
                self.newest = entry.server

    def choose(self, one, among):
        newest = getattr(self, "newest", -1)
        return newest if newest in among else self.chance.choice(among)
