"""Balancers that each break one rule on purpose, to test that the rule checker notices."""

from __future__ import annotations

from pumicepath.interface import Effect, Outcome
from pumicepath.lab.virtual.baselines import Handle, Plain, Random, RoundRobin


class NeverAnswersHandle(Handle):
    def hop_finished(self, now, hop_number, outcome, elapsed, is_final):
        self.out = False
        self.done = self.done or is_final

    def is_finished(self):
        return self.done and not self.out


class NeverAnswers(Random):
    """Never answers a submission whose first hop failed."""

    kind = NeverAnswersHandle


class RejectsTwice(Random):
    """Rejects submissions that it has sent, and each of them twice."""

    def submit(self, now, name, request_class, key, retry, deadline_at):
        submission = super().submit(now, name, request_class, key, retry, deadline_at)
        if self.settings.request_classes[request_class].effect == Effect.IDEMPOTENT:
            self.callbacks.reject(name, 0)
            self.callbacks.reject(name, 0)
        return submission


class SendsAfterAnswerHandle(Handle):
    def hop_finished(self, now, hop_number, outcome, elapsed, is_final):
        super().hop_finished(now, hop_number, outcome, elapsed, is_final)
        if is_final and len(self.tried) < 2:
            self.done = False
            self.go_on(now)


class SendsAfterAnswer(Random):
    """Sends another hop after the final answer."""

    kind = SendsAfterAnswerHandle


class RetriesNonIdempotentHandle(Handle):
    def may_repeat(self, outcome):
        return True


class RetriesNonIdempotent(Random):
    """Retries non-idempotent submissions after an error, although they may have run."""

    kind = RetriesNonIdempotentHandle


class RejectsPossiblyRunHandle(Handle):
    def hop_finished(self, now, hop_number, outcome, elapsed, is_final):
        self.out = False
        if not is_final and not self.done and outcome != Outcome.OK:
            self.done = True
            self.balancer.callbacks.reject(self.name, 0)
        self.done = True


class RejectsPossiblyRun(Random):
    """Rejects submissions that may have run, although trying again may do harm."""

    kind = RejectsPossiblyRunHandle


class IgnoresListUpdates(RoundRobin):
    """Ignores all lists after the first one."""

    def update_servers(self, now, kind, entries):
        if not self.ready:
            super().update_servers(now, kind, entries)


class FloodsNewestServer(Plain):
    """Sends everything to the server that started last."""

    def update_servers(self, now, kind, entries):
        super().update_servers(now, kind, entries)
        for entry in entries:
            if entry.started_at:
                self.newest = entry.server

    def choose(self, submission, among):
        newest = getattr(self, "newest", -1)
        return newest if newest in among else self.chance.choice(among)
