"""Balancers that each break one rule on purpose, to test that the rule checker notices."""

from __future__ import annotations

from pumicepath.interface import Effect, Outcome
from pumicepath.lab.virtual.baselines import RandomChoice, RoundRobin, TextbookBalancer, TextbookSubmission


class NeverAnswersHandle(TextbookSubmission):
    def hop_finished(self, now, hop_number, outcome, elapsed, is_final):
        self.waiting = False
        self.finished = self.finished or is_final

    def is_finished(self):
        return self.finished and not self.waiting


class NeverAnswers(RandomChoice):
    """Never answers a submission whose first hop failed."""

    submission_type = NeverAnswersHandle


class RejectsTwice(RandomChoice):
    """Rejects submissions that it has sent, and each of them twice."""

    def submit(self, now, name, request_class, key, retry, deadline_at):
        submission = super().submit(now, name, request_class, key, retry, deadline_at)
        if self.settings.request_classes[request_class].effect == Effect.IDEMPOTENT:
            self.callbacks.reject(name, 0)
            self.callbacks.reject(name, 0)
        return submission


class SendsAfterAnswerHandle(TextbookSubmission):
    def hop_finished(self, now, hop_number, outcome, elapsed, is_final):
        super().hop_finished(now, hop_number, outcome, elapsed, is_final)
        if is_final and len(self.tried_servers) < 2:
            self.finished = False
            self.send_next(now)


class SendsAfterAnswer(RandomChoice):
    """Sends another hop after the final answer."""

    submission_type = SendsAfterAnswerHandle


class RetriesNonIdempotentHandle(TextbookSubmission):
    def may_retry(self, outcome):
        return True


class RetriesNonIdempotent(RandomChoice):
    """Retries non-idempotent submissions after an error, although they may have run."""

    submission_type = RetriesNonIdempotentHandle


class RejectsPossiblyRunHandle(TextbookSubmission):
    def hop_finished(self, now, hop_number, outcome, elapsed, is_final):
        self.waiting = False
        if not is_final and not self.finished and outcome != Outcome.OK:
            self.finished = True
            self.balancer.callbacks.reject(self.name, 0)
        self.finished = True


class RejectsPossiblyRun(RandomChoice):
    """Rejects submissions that may have run, although trying again may do harm."""

    submission_type = RejectsPossiblyRunHandle


class IgnoresListUpdates(RoundRobin):
    """Ignores all lists after the first one."""

    def update_servers(self, now, kind, entries):
        if not self.ready:
            super().update_servers(now, kind, entries)


class FloodsNewestServer(TextbookBalancer):
    """Sends everything to the server that started last."""

    def update_servers(self, now, kind, entries):
        super().update_servers(now, kind, entries)
        for entry in entries:
            if entry.started_at:
                self.newest = entry.server

    def choose(self, submission, among):
        newest = getattr(self, "newest", -1)
        return newest if newest in among else self.rng.choice(among)
