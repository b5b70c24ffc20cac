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
from ..http1.messages import MalformedMessageError, Request
from ..http1.parsing import MAX_BODY_BYTES, MAX_HEAD_BYTES, START, RequestParser
from ..http1.ring import Ring
from . import answers, arrival, clock
from .dispatch import Dispatcher
from .exchange import CLIENT_CHECK_AFTER_US, Exchange, UploadError
from .submissions import CLASS_HEADER, parse_submission
from .upload import MAX_UPLOAD_US, Upload

# Taken off a client's patience for the way to and fro and for threads that wait their turn.
DELIVERY_ALLOWANCE_US = 25_000
WRITE_TIMEOUT = struct.pack("ll", 10, 0)
LINGER_RESET = struct.pack("ii", 1, 0)
POLL_INTERVAL_S = 0.005  # between two looks at a connection that wakes nobody any more
DISCARD_BUFFER = bytearray(256 * 1024)  # what nobody reads goes there; the kernel does not even copy it
MAX_UPLOAD_BYTES = 40 << 20  # what says that it is longer is refused
MAX_CONSECUTIVE_ERRORS = 3  # in a row, until the connection is closed
# What a connection is doing: LAST has been told to end between requests, and serves what crossed that.
FRESH, PARTIAL, BUSY, IDLE, CLOSING, DRAINING = range(6)


class ClientOwner(Protocol):
    """All connections of the application, as one of them sees them."""

    dispatcher: Dispatcher
    fresh: dict[Client, None]
    bad_requests: Counter[str]

    def is_over_limit(self) -> bool: ...

    def remove(self, client: Client) -> None: ...


class Client:
    def __init__(self, sock: socket.socket, owner: ClientOwner, now: int) -> None:
        self.sock = sock
        self.owner = owner
        self.state = FRESH
        self.state_since = now
        self.received_after = now  # before which nothing that is read next can have come
        self.keep_alive = True
        self.consecutive_errors = 0
        self.requests_served = 0
        self.chunked = self.until_close = self.was_reset = False
        self.draining = self.close_undetectable = False
        self.class_name = ""  # the class of the submission under way, and its answer's status
        self.status = 0
        self.head_only = False  # whether the answer has no body, as to HEAD
        self.upload: Upload | None = None
        self.upload_failed = False  # whether it broke a body off, or sent it too slowly
        self.partial_bytes = 0  # of a request that is not whole
        self.holds_slot = False  # at the entrance, which others wait for
        self.answered = threading.Event()
        self.state_lock = threading.Lock()
        self.write_buffer = Ring(MAX_HEAD_BYTES + MAX_BODY_BYTES + 1024)

    # -- reading, by the connection's own thread

    def run(self) -> None:
        try:
            self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # Guards the thread that answers against a client that does not read.
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, WRITE_TIMEOUT)
            arrival.enable_timestamps(self.sock)
            self.received_after = arrival.last_received_at(self.sock, self.state_since)
            self.read_requests()
            while (
                self.state == CLOSING
                and not self.was_reset
                and self.sock.recv_into(DISCARD_BUFFER, 0, socket.MSG_TRUNC)
            ):
                pass  # guards the answer: closed with bytes unread, it would be lost on its way
        except OSError:
            pass  # the client has broken the connection off
        except Exception as trouble:  # ends this connection only
            self.owner.dispatcher.events.event("fault", text=f"{type(trouble).__name__}: {trouble}")
        finally:
            self.release_slot()
            self.owner.remove(self)
            self.sock.close()

    def read_requests(self) -> None:
        """Until the connection is to be closed."""
        parser = RequestParser(MAX_UPLOAD_BYTES)
        intake = self.owner.dispatcher.admission_gate.queue
        told = False
        arrived = 0
        while True:
            try:
                request = parser.next()
                if request is None and parser.is_long():
                    request = parser.normalize(parser.message)
                    self.upload = Upload(self, parser)
            except MalformedMessageError as trouble:
                if self.set_state(BUSY):
                    self.send_error(trouble, False)
                return
            if request is not None:
                if not self.set_state(BUSY):
                    return
                if self.upload is not None and not told and parser.awaits_continue():
                    self.sock.sendall(writing.CONTINUE)
                self.serve(request, arrived)
                if self.upload is not None:
                    if not self.upload.complete and not self.upload_failed:
                        with suppress(UploadError):
                            self.upload.discard()
                    self.upload = None
                    if self.upload_failed:
                        self.set_state(CLOSING)
                told = False
                if not self.set_state(IDLE if parser.is_idle() else PARTIAL):
                    return
                continue
            self.release_slot()  # not to be held while we wait, whatever was made of what came
            if not told and parser.awaits_continue():
                told = True
                self.sock.sendall(writing.CONTINUE)
            count, arrived = arrival.receive(self.sock, parser.ring.writable(), self.received_after)
            if not count:
                if parser.is_idle() or not self.is_read_shutdown():
                    return
                continue
            parser.ring.commit(count)
            self.partial_bytes += count
            if parser.state == START and intake.is_full() and self.reject_early(parser, arrived):
                if not self.set_state(IDLE):
                    return
                time.sleep(intake.read_pause / 1e6)
                continue
            if self.state != PARTIAL and not self.set_state(PARTIAL):
                return

    def is_read_shutdown(self) -> bool:
        """Whether reading has ended by our own doing, in the middle of what the client still sends.

        Then what comes wakes nobody any more: it waits a step, for who asks to look again.
        """
        if not self.draining or self.has_left():
            return False
        time.sleep(POLL_INTERVAL_S)
        return True

    def set_state(self, state: int) -> bool:
        """Go on to a state of the connection, unless it is being closed; what crossed its end is served."""
        with self.state_lock:
            if self.state == CLOSING or self.state == DRAINING and state == IDLE:
                return False
            if self.state == FRESH:
                self.owner.fresh.pop(self, None)
            if self.state == DRAINING:
                self.draining = True
                self.keep_alive = False
            self.state = state
            self.state_since = self.received_after = clock.now()
            self.partial_bytes = 0
        return True

    def reject_early(self, parser: RequestParser, received_at: int) -> bool:
        """Ask to be taken up before anything costs, at a glance.

        Guards a core that is short of time: what it can't serve must not cost it as much as what it can, so
        there is no parsing, no turn at the lock, and the connection is kept.
        """
        seen = parser.peek_request()
        if seen is None:
            return False
        size, name, expires, retry = seen
        self.head_only = False
        dispatcher = self.owner.dispatcher
        config, terms = dispatcher.active_config
        tariff = config.request_classes.get(name)
        if tariff is None or not self.set_state(BUSY):
            return False
        patience = terms[tariff].request_class.deadline
        if expires:
            patience = min(patience, int(expires) * 1000)
        usual = terms[tariff].typical_latency
        self.holds_slot = dispatcher.admission_gate.enter(
            received_at, received_at + patience, tariff, retry, usual
        )
        if self.holds_slot:
            return False
        parser.ring.consume(size)
        self.class_name = name
        self.keep_alive = not self.draining
        self.answer(
            answers.rejected(dispatcher.admission_gate.queue.retry_after(tariff)),
            not dispatcher.closes_connections(),
        )
        return True

    def acquire_slot(self) -> None:
        """Wait for a place to go on with what was taken up."""
        self.owner.dispatcher.admission_gate.reenter()
        self.holds_slot = True

    def release_slot(self, delay: int = 0) -> None:
        """Others may have the place, if this has one; `out` is how long ago the answer passed on came."""
        if not self.holds_slot:
            return
        with self.state_lock:
            inside, self.holds_slot = self.holds_slot, False
        if inside:
            self.owner.dispatcher.admission_gate.leave(delay)

    def serve(self, request: Request, received_at: int) -> None:
        """Carry a request to its final answer."""
        dispatcher = self.owner.dispatcher
        self.requests_served += 1
        try:
            exchange = self.start_submission(request, received_at)
        finally:
            self.release_slot()
        if exchange is None:
            return
        try:
            dispatcher.run_hops(exchange)
        except Exception:
            dispatcher.abort_exchange(exchange)
            raise
        if exchange.client_left and self.draining:
            self.answer(answers.FAILED, False)  # guards what crossed our end; its client may go then
        elif exchange.client_left:
            self.class_name = ""
            self.set_state(CLOSING)
        else:
            self.answered.wait()  # by the timers, if patience has ended

    def start_submission(self, request: Request, received_at: int) -> Exchange | None:
        """The submission, its first hop still to be carried out; None if its client is answered or gone."""
        dispatcher = self.owner.dispatcher
        self.keep_alive = request.keeps_alive() and not self.draining
        self.head_only = request.method == "HEAD"
        if request.target == "/up" and request.method in ("GET", "HEAD"):
            if dispatcher.closes_connections():
                self.answer(answers.OUT_OF_SERVICE, False)
            else:
                self.answer(answers.READY if dispatcher.balancer.ready else answers.NOT_READY, True)
            return None
        config, terms = dispatcher.active_config
        name = request.header(CLASS_HEADER)
        self.class_name = name if name in config.request_classes else ""
        try:
            what = parse_submission(request, config.request_classes, config.settings.request_classes)
        except MalformedMessageError as trouble:
            self.send_error(trouble, True)
            return None
        if self.owner.is_over_limit():
            # All connections that the limits allow are in use: nothing went out, so trying again is harmless.
            # The connection stays: a new one would cost more than this answer.
            self.owner.bad_requests["no room"] += 1
            self.answer(
                answers.rejected(dispatcher.balancer.fixed_retry_after(terms[what.request_class])),
                not dispatcher.closes_connections(),
            )
            return None
        if not self.holds_slot:
            usual = terms[what.request_class].typical_latency
            self.holds_slot = dispatcher.admission_gate.enter(
                received_at, received_at + what.deadline, what.request_class, what.retry, usual
            )
            if not self.holds_slot:
                self.answer(
                    answers.rejected(dispatcher.admission_gate.queue.retry_after(what.request_class)),
                    not dispatcher.closes_connections(),
                )
                return None
        if clock.now() - received_at > CLIENT_CHECK_AFTER_US and self.has_left():
            self.class_name = ""
            self.set_state(CLOSING)  # guards a crowded core: nobody waits for this one any more
            return None
        # The way out will take about as long as a thread now waits for its turn: guards against patience that
        # ends unseen on a crowded core.  A quarter at most: a hiccup must not cost what could be served.
        allowance = min(DELIVERY_ALLOWANCE_US, what.deadline // 20) + min(
            dispatcher.delay_monitor.delay, what.deadline // 4
        )
        patience = what.deadline - allowance
        until = received_at + (patience if self.upload is None else MAX_UPLOAD_US)
        if dispatcher.shutdown_at < until and self.upload is None:
            until = dispatcher.shutdown_at  # guards what comes late against the end of the process
        exchange = Exchange(
            self, what.trace_id, request, until, dispatcher, self.upload, patience, received_at
        )
        self.answered.clear()
        try:
            if dispatcher.submit(exchange, terms[what.request_class], what.key, what.retry):
                self.consecutive_errors = 0
                return exchange
        except Exception:
            dispatcher.abort_exchange(exchange)
            raise
        self.send_error(MalformedMessageError(409, "id of a request that is open, or was just now"), True)
        return None

    def send_error(self, error: MalformedMessageError, keep_alive: bool) -> None:
        self.owner.bad_requests[str(error)] += 1
        self.consecutive_errors += 1
        # Guards the core against a client that sends the same again as soon as it is told what is wrong.
        self.answer(
            answers.text_answer(error.status, str(error)),
            keep_alive and self.consecutive_errors < MAX_CONSECUTIVE_ERRORS,
        )

    # -- answering, by whichever thread ended the submission

    def answer(self, answer: answers.Answer, keep_alive: bool) -> None:
        self.keep_alive = keep_alive and self.keep_alive
        self.status = answer.status
        if self.head_only:
            self.write(
                writing.response(answer.status, answer.headers, b"", self.keep_alive, len(answer.body))
            )
        else:
            self.write(writing.response(*answer, self.keep_alive))
        self.finish()

    def start_response(self, answer: answers.Answer, length: int, keep_alive: bool) -> None:
        """The head of an answer that is passed on as it comes; `more` has its body, or `cut` ends it."""
        self.keep_alive = keep_alive and self.keep_alive and length != writing.UNTIL_CLOSE
        self.status = answer.status
        self.chunked = length == writing.CHUNKED
        self.until_close = length == writing.UNTIL_CLOSE
        self.write(writing.response(*answer, self.keep_alive, length))

    def write_body(self, piece: bytes, last: bool) -> bool:
        """Whether the client still takes it."""
        done = self.write(writing.chunk(piece, last) if self.chunked else piece)
        if last:
            self.finish()
        return done

    def abort_response(self) -> None:
        """The rest of the answer will not come: the client can tell, as it lacks its end or is reset."""
        self.keep_alive = False
        self.status = 502
        self.finish(self.until_close)

    def write(self, data: bytes) -> bool:
        rest = memoryview(data)
        try:
            while rest:
                rest = rest[self.write_buffer.write(rest) :]
                while len(self.write_buffer):
                    self.write_buffer.consume(self.send(self.write_buffer.readable()))
        except OSError:
            self.keep_alive = False  # gone, or it does not read: what it has is not whole
            return False
        return True

    def send(self, data: memoryview) -> int:
        try:
            return self.sock.send(data, socket.MSG_DONTWAIT)
        except BlockingIOError:
            # Guards the places, and all who wait for them, against clients that do not read.
            self.release_slot()
            return self.sock.send(data)

    def finish(self, reset: bool = False) -> None:
        self.write_buffer.shrink()
        if self.class_name:
            self.owner.dispatcher.metrics.submission_finished(self.class_name, self.status)
            self.class_name = ""
        if not self.keep_alive:
            self.set_state(CLOSING)
            if reset:
                with suppress(OSError):
                    self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            else:
                self.shutdown(socket.SHUT_WR)
            self.was_reset = reset
        self.answered.set()

    def has_left(self) -> bool:
        """Whether the client has closed its connection, as far as that has come."""
        return self.upload_failed or not self.close_undetectable and arrival.is_closed(self.sock)

    # -- closing, by other threads

    def expire(self, state: int) -> bool:
        """Have the connection end if it is still in that state.

        Between requests only its own thread closes it, once it has looked for what came meanwhile.  Guards
        what was sent long before on a crowded core: its thread may be late by a second, with it in its hands.
        """
        with self.state_lock:
            if self.state != state or state == PARTIAL and self.has_unread_bytes():
                return False
            self.state = DRAINING if state in (FRESH, IDLE) else CLOSING
            self.state_since = self.received_after = clock.now()
        if state == PARTIAL:
            self.owner.bad_requests["unfinished"] += 1
            late = answers.text_answer(408, "unfinished")
            with suppress(OSError):
                self.sock.send(writing.response(*late, False), socket.MSG_DONTWAIT)
            self.shutdown(socket.SHUT_WR)
        else:
            self.close_undetectable = arrival.shutdown(
                self.sock, socket.SHUT_RDWR if state == CLOSING else socket.SHUT_RD
            )
        return True

    def has_unread_bytes(self) -> bool:
        """Whether its thread only has to come to read what is there."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def shutdown(self, how: int) -> None:
        with suppress(OSError):  # the client was first
            self.sock.shutdown(how)
