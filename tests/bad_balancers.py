"""Balancers that each break one rule on purpose; the judge has to catch them."""

from __future__ import annotations

from pumicepath.interface import Effect, Outcome
from pumicepath.lab.virtual.baselines import RandomChoice, RoundRobin, TextbookBalancer, TextbookSubmission


class NeverAnswersHandle(TextbookSubmission):
    def hop_finished(self, now, number, outcome, spent, finished):
        self.waiting = False
        self.finished = self.finished or finished

    def is_finished(self):
        return self.finished and not self.waiting


class NeverAnswers(RandomChoice):
    """Never answers a submission whose first hop failed."""

    submission_type = NeverAnswersHandle


class RejectsTwice(RandomChoice):
    """Defers what it has sent, and says so once more."""

    def submit(self, now, name, tariff, key, retry, until):
        one = super().submit(now, name, tariff, key, retry, until)
        if self.settings.request_classes[tariff].effect == Effect.IDEMPOTENT:
            self.callbacks.reject(name, 0)
            self.callbacks.reject(name, 0)
        return one


class SendsAfterAnswerHandle(TextbookSubmission):
    def hop_finished(self, now, number, outcome, spent, finished):
        super().hop_finished(now, number, outcome, spent, finished)
        if finished and len(self.tried_servers) < 2:
            self.finished = False
            self.send_next(now)


class SendsAfterAnswer(RandomChoice):
    """Sends once more after the final answer."""

    submission_type = SendsAfterAnswerHandle


class RetriesNonIdempotentHandle(TextbookSubmission):
    def may_retry(self, outcome):
        return True


class RetriesNonIdempotent(RandomChoice):
    """Sends what may not be repeated again after an error, as if it had not run."""

    submission_type = RetriesNonIdempotentHandle


class RejectsPossiblyRunHandle(TextbookSubmission):
    def hop_finished(self, now, number, outcome, spent, finished):
        self.waiting = False
        if not finished and not self.finished and outcome != Outcome.OK:
            self.finished = True
            self.balancer.callbacks.reject(self.name, 0)
        self.finished = True


class RejectsPossiblyRun(RandomChoice):
    """Defers what may have run, as if trying again were harmless."""

    submission_type = RejectsPossiblyRunHandle


class IgnoresListUpdates(RoundRobin):
    """Does not heed the list once it has one."""

    def update_servers(self, now, kind, entries):
        if not self.ready:
            super().update_servers(now, kind, entries)


class FloodsNewestServer(TextbookBalancer):
    """Sends everything to the server that came up last."""

    def update_servers(self, now, kind, entries):
        super().update_servers(now, kind, entries)
        for entry in entries:
            if entry.started_at:
                self.newest = entry.server

    def choose(self, one, among):
        newest = getattr(self, "newest", -1)
        return newest if newest in among else self.rng.choice(among)
