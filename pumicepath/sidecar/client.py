"""A connection of the application: its thread reads a request, carries it, answers, and reads the next."""

from __future__ import annotations

import socket
import struct
import threading
import time
from collections import Counter
from contextlib import suppress
from typing import Protocol

from ..http1 import writing
from ..http1.messages import Malformed, Request
from ..http1.parsing import MOST_BODY, MOST_HEAD, START, RequestParser
from ..http1.ring import Ring
from . import answers, arrival, clock
from .dispatch import Dispatcher
from .exchange import LATE, Abandoned, Exchange
from .submissions import TARIFF, asked
from .upload import FAR, Upload

# Taken off a client's patience for the way to and fro and for threads that wait their turn.
ALLOWANCE = 25_000
LONGEST_WRITE = struct.pack("ll", 10, 0)
RESET = struct.pack("ii", 1, 0)
STEP_S = 0.005  # between two looks at a connection that wakes nobody any more
SINK = bytearray(256 * 1024)  # what nobody reads goes there; the kernel does not even copy it
MOST_UPLOAD = 40 << 20  # what says that it is longer is refused
MOST_ERRORS = 3  # in a row, until the connection is closed
# What a connection is doing: LAST has been told to end between requests, and serves what crossed that.
FRESH, PARTIAL, BUSY, IDLE, CLOSING, LAST = range(6)


class Owner(Protocol):
    """All connections of the application, as one of them sees them."""

    dispatcher: Dispatcher
    fresh: dict[Client, None]
    refused: Counter[str]

    def crowded(self) -> bool: ...

    def ended(self, client: Client) -> None: ...


class Client:
    def __init__(self, sock: socket.socket, owner: Owner, now: int) -> None:
        self.sock = sock
        self.owner = owner
        self.state = FRESH
        self.since = now
        self.bound = now  # before which nothing that is read next can have come
        self.keep = True
        self.errors = 0
        self.served = 0
        self.chunked = self.unframed = self.reset = False
        self.last = self.blind = False
        self.group = ""  # the class of the submission under way, and its answer's status
        self.status = 0
        self.head = False  # whether the answer has no body, as to HEAD
        self.upload: Upload | None = None
        self.broken = False  # whether it broke a body off, or sent it too slowly
        self.got = 0  # of a request that is not whole
        self.inside = False  # at the entrance, which others wait for
        self.answered = threading.Event()
        self.gate = threading.Lock()
        self.outgoing = Ring(MOST_HEAD + MOST_BODY + 1024)

    # -- reading, by the connection's own thread

    def run(self) -> None:
        try:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # Guards the thread that answers against a client that does not read.
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, LONGEST_WRITE)
            arrival.mark(self.sock)
            self.bound = arrival.latest(self.sock, self.since)
            self.read()
            while self.state == CLOSING and not self.reset and self.sock.recv_into(SINK, 0, socket.MSG_TRUNC):
                pass  # guards the answer: closed with bytes unread, it would be lost on its way
        except OSError:
            pass  # the client has broken the connection off
        except Exception as trouble:  # ends this connection only
            self.owner.dispatcher.events.event("fault", text=f"{type(trouble).__name__}: {trouble}")
        finally:
            self.leave()
            self.owner.ended(self)
            self.sock.close()

    def read(self) -> None:
        """Until the connection is to be closed."""
        parser = RequestParser(MOST_UPLOAD)
        intake = self.owner.dispatcher.entrance.intake
        told = False
        arrived = 0
        while True:
            try:
                request = parser.next()
                if request is None and parser.long():
                    request = parser.checked(parser.message)
                    self.upload = Upload(self, parser)
            except Malformed as trouble:
                if self.enter(BUSY):
                    self.refuse(trouble, False)
                return
            if request is not None:
                if not self.enter(BUSY):
                    return
                if self.upload is not None and not told and parser.awaited():
                    self.sock.sendall(writing.CONTINUE)
                self.serve(request, arrived)
                if self.upload is not None:
                    if not self.upload.whole and not self.broken:
                        with suppress(Abandoned):
                            self.upload.discard()
                    self.upload = None
                    if self.broken:
                        self.enter(CLOSING)
                told = False
                if not self.enter(IDLE if parser.idle() else PARTIAL):
                    return
                continue
            self.leave()  # not to be held while we wait, whatever was made of what came
            if not told and parser.awaited():
                told = True
                self.sock.sendall(writing.CONTINUE)
            count, arrived = arrival.receive(self.sock, parser.ring.room(), self.bound)
            if not count:
                if parser.idle() or not self.cut_short():
                    return
                continue
            parser.ring.wrote(count)
            self.got += count
            if parser.step == START and intake.is_full() and self.turned_away(parser, arrived):
                if not self.enter(IDLE):
                    return
                time.sleep(intake.read_pause / 1e6)
                continue
            if self.state != PARTIAL and not self.enter(PARTIAL):
                return

    def cut_short(self) -> bool:
        """Whether reading has ended by our own doing, in the middle of what the client still sends.

        Then what comes wakes nobody any more: it waits a step, for who asks to look again.
        """
        if not self.last or self.gone():
            return False
        time.sleep(STEP_S)
        return True

    def enter(self, state: int) -> bool:
        """Go on to a state of the connection, unless it is being closed; what crossed its end is served."""
        with self.gate:
            if self.state == CLOSING or self.state == LAST and state == IDLE:
                return False
            if self.state == FRESH:
                self.owner.fresh.pop(self, None)
            if self.state == LAST:
                self.last = True
                self.keep = False
            self.state = state
            self.since = self.bound = clock.now()
            self.got = 0
        return True

    def turned_away(self, parser: RequestParser, arrived: int) -> bool:
        """Ask to be taken up before anything costs, at a glance.

        Guards a core that is short of time: what it can't serve must not cost it as much as what it can, so
        there is no parsing, no turn at the lock, and the connection is kept.
        """
        seen = parser.glance()
        if seen is None:
            return False
        size, name, expires, retry = seen
        self.head = False
        dispatcher = self.owner.dispatcher
        config, terms = dispatcher.serving
        tariff = config.request_classes.get(name)
        if tariff is None or not self.enter(BUSY):
            return False
        patience = terms[tariff].request_class.deadline
        if expires:
            patience = min(patience, int(expires) * 1000)
        usual = terms[tariff].typical_latency
        self.inside = dispatcher.entrance.enter(arrived, arrived + patience, tariff, retry, usual)
        if self.inside:
            return False
        parser.ring.drop(size)
        self.group = name
        self.keep = not self.last
        self.answer(
            answers.deferred(dispatcher.entrance.intake.retry_after(tariff)), not dispatcher.leaving()
        )
        return True

    def resume(self) -> None:
        """Wait for a place to go on with what was taken up."""
        self.owner.dispatcher.entrance.again()
        self.inside = True

    def leave(self, out: int = 0) -> None:
        """Others may have the place, if this has one; `out` is how long ago the answer passed on came."""
        if not self.inside:
            return
        with self.gate:
            inside, self.inside = self.inside, False
        if inside:
            self.owner.dispatcher.entrance.leave(out)

    def serve(self, request: Request, arrived: int) -> None:
        """Carry a request to its final answer."""
        dispatcher = self.owner.dispatcher
        self.served += 1
        try:
            exchange = self.taken_up(request, arrived)
        finally:
            self.leave()
        if exchange is None:
            return
        try:
            dispatcher.carry(exchange)
        except Exception:
            dispatcher.failed(exchange)
            raise
        if exchange.left and self.last:
            self.answer(answers.FORFEITED, False)  # guards what crossed our end; its client may go then
        elif exchange.left:
            self.group = ""
            self.enter(CLOSING)
        else:
            self.answered.wait()  # by the timers, if patience has ended

    def taken_up(self, request: Request, arrived: int) -> Exchange | None:
        """The submission, its first hop still to be carried out; None if its client is answered or gone."""
        dispatcher = self.owner.dispatcher
        self.keep = request.keeps() and not self.last
        self.head = request.method == "HEAD"
        if request.target == "/up" and request.method in ("GET", "HEAD"):
            if dispatcher.leaving():
                self.answer(answers.SENT_AWAY, False)
            else:
                self.answer(answers.READY if dispatcher.balancer.ready else answers.NOT_READY, True)
            return None
        config, terms = dispatcher.serving
        name = request.header(TARIFF)
        self.group = name if name in config.request_classes else ""
        try:
            what = asked(request, config.request_classes, config.settings.request_classes)
        except Malformed as trouble:
            self.refuse(trouble, True)
            return None
        if self.owner.crowded():
            # All connections that the limits allow are in use: nothing went out, so trying again is harmless.
            # The connection stays: a new one would cost more than this answer.
            self.owner.refused["no room"] += 1
            self.answer(
                answers.deferred(dispatcher.balancer.fixed_retry_after(terms[what.tariff])),
                not dispatcher.leaving(),
            )
            return None
        if not self.inside:
            usual = terms[what.tariff].typical_latency
            self.inside = dispatcher.entrance.enter(
                arrived, arrived + what.patience, what.tariff, what.retry, usual
            )
            if not self.inside:
                self.answer(
                    answers.deferred(dispatcher.entrance.intake.retry_after(what.tariff)),
                    not dispatcher.leaving(),
                )
                return None
        if clock.now() - arrived > LATE and self.gone():
            self.group = ""
            self.enter(CLOSING)  # guards a crowded core: nobody waits for this one any more
            return None
        # The way out will take about as long as a thread now waits for its turn: guards against patience that
        # ends unseen on a crowded core.  A quarter at most: a hiccup must not cost what could be served.
        allowance = min(ALLOWANCE, what.patience // 20) + min(dispatcher.pace.behind, what.patience // 4)
        patience = what.patience - allowance
        until = arrived + (patience if self.upload is None else FAR)
        if dispatcher.ends < until and self.upload is None:
            until = dispatcher.ends  # guards what comes late against the end of the process
        exchange = Exchange(self, what.trace, request, until, dispatcher, self.upload, patience, arrived)
        self.answered.clear()
        try:
            if dispatcher.take(exchange, terms[what.tariff], what.key, what.retry):
                self.errors = 0
                return exchange
        except Exception:
            dispatcher.failed(exchange)
            raise
        self.refuse(Malformed(409, "id of a request that is open, or was just now"), True)
        return None

    def refuse(self, trouble: Malformed, keep: bool) -> None:
        self.owner.refused[str(trouble)] += 1
        self.errors += 1
        # Guards the core against a client that sends the same again as soon as it is told what is wrong.
        self.answer(answers.plain(trouble.status, str(trouble)), keep and self.errors < MOST_ERRORS)

    # -- answering, by whichever thread ended the submission

    def answer(self, answer: answers.Answer, keep: bool) -> None:
        self.keep = keep and self.keep
        self.status = answer.status
        if self.head:
            self.write(writing.response(answer.status, answer.headers, b"", self.keep, len(answer.body)))
        else:
            self.write(writing.response(*answer, self.keep))
        self.finish()

    def begin(self, answer: answers.Answer, length: int, keep: bool) -> None:
        """The head of an answer that is passed on as it comes; `more` has its body, or `cut` ends it."""
        self.keep = keep and self.keep and length != writing.NO_LENGTH
        self.status = answer.status
        self.chunked = length == writing.CHUNKED
        self.unframed = length == writing.NO_LENGTH
        self.write(writing.response(*answer, self.keep, length))

    def more(self, piece: bytes, last: bool) -> bool:
        """Whether the client still takes it."""
        done = self.write(writing.chunk(piece, last) if self.chunked else piece)
        if last:
            self.finish()
        return done

    def cut(self) -> None:
        """The rest of the answer will not come: the client can tell, as it lacks its end or is reset."""
        self.keep = False
        self.status = 502
        self.finish(self.unframed)

    def write(self, data: bytes) -> bool:
        rest = memoryview(data)
        try:
            while rest:
                rest = rest[self.outgoing.put(rest) :]
                while len(self.outgoing):
                    self.outgoing.drop(self.send(self.outgoing.data()))
        except OSError:
            self.keep = False  # gone, or it does not read: what it has is not whole
            return False
        return True

    def send(self, data: memoryview) -> int:
        try:
            return self.sock.send(data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            # Guards the places, and all who wait for them, against clients that do not read.
            self.leave()
            return self.sock.send(data)

    def finish(self, reset: bool = False) -> None:
        self.outgoing.rest()
        if self.group:
            self.owner.dispatcher.figures.submission_finished(self.group, self.status)
            self.group = ""
        if not self.keep:
            self.enter(CLOSING)
            if reset:
                with suppress(OSError):
                    self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            else:
                self.shut(socket.SHUT_WR)
            self.reset = reset
        self.answered.set()

    def gone(self) -> bool:
        """Whether the client has closed its connection, as far as that has come."""
        return self.broken or not self.blind and arrival.gone(self.sock)

    # -- closing, by other threads

    def expire(self, state: int) -> bool:
        """Have the connection end if it is still in that state.

        Between requests only its own thread closes it, once it has looked for what came meanwhile.  Guards
        what was sent long before on a crowded core: its thread may be late by a second, with it in its hands.
        """
        with self.gate:
            if self.state != state or state == PARTIAL and self.unread():
                return False
            self.state = LAST if state in (FRESH, IDLE) else CLOSING
            self.since = self.bound = clock.now()
        if state == PARTIAL:
            self.owner.refused["unfinished"] += 1
            late = answers.plain(408, "unfinished")
            with suppress(OSError):
                self.sock.send(writing.response(*late, False), socket.MSG_DONTWAIT)
            self.shut(socket.SHUT_WR)
        else:
            self.blind = arrival.ended(self.sock, socket.SHUT_RDWR if state == CLOSING else socket.SHUT_RD)
        return True

    def unread(self) -> bool:
        """Whether its thread only has to come to read what is there."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def shut(self, how: int) -> None:
        with suppress(OSError):  # the client was first
            self.sock.shutdown(how)
