"""One client connection: its thread reads a request, runs the submission, answers, and reads the next.

Times are whole microseconds of `clock.now()`.
"""

from __future__ import annotations

import socket
import struct
import threading
import time
from collections import Counter
from collections.abc import Sequence
from contextlib import suppress
from typing import Protocol

from ..http1 import writing
from ..http1.messages import MalformedMessageError, Request
from ..http1.parsing import START, RequestParser
from . import answers, arrival, clock
from .bulkhead import BulkheadEntry
from .client_presence import CHECK_AFTER_US, ClientPresence
from .decision_log import CloseReason, Decision, RefusalReason
from .dispatch import Dispatcher
from .exchange import Exchange, UploadError
from .id_grants import Grant
from .memory_account import MemoryKind, Reservation
from .sending_rate import SendingRate
from .socket_writer import SocketWriter
from .submissions import CLASS_HEADER, TRACE_ID_HEADER, parse_submission
from .upload import MAX_UPLOAD_US, Upload

# Subtracted from a client's deadline for the network both ways and for threads that wait to run.
DELIVERY_ALLOWANCE_US = 25_000
WRITE_TIMEOUT = struct.pack("ll", 10, 0)  # 10 s, as a struct timeval
READER_STALLED_AFTER_US = 3_000_000  # without reading, where places are scarce; readers may pause for seconds
LINGER_RESET = struct.pack("ii", 1, 0)  # struct linger: close() sends a reset
POLL_INTERVAL_S = 0.005  # between reads after the read side was shut down, when a read no longer blocks
DISCARD_BUFFER = bytearray(256 * 1024)  # length of discarding reads; with MSG_TRUNC the kernel copies nothing
MAX_UPLOAD_BYTES = 40 << 20  # a request that announces a longer body is rejected
MAX_CONSECUTIVE_ERRORS = 3  # after these the connection is closed
MEMORY_WAIT_US = 100_000  # for memory, until a request is refused for the lack of it
MEMORY_POLL_S = 0.01
FREE_LOCAL_ANSWERS = (
    2  # or pipelined requests, in a row, before a client's next ones are done one at a time with others'
)
# States of a connection.  FRESH: nothing received yet; PARTIAL: part of a request received; BUSY: a request
# is being served; CLOSING: no further request is read; DRAINING: it was idle or fresh when its read side was
# shut down, and a request that had already arrived by then is still served; DISCARDING: the request was
# answered before its body had come, and the rest of that is dropped.
FRESH, PARTIAL, BUSY, IDLE, CLOSING, DRAINING, DISCARDING = range(7)
# Why a connection is closed that has been in a state for too long.
EXPIRY_REASONS = {
    FRESH: CloseReason.SILENT,
    PARTIAL: CloseReason.UNFINISHED,
    IDLE: CloseReason.IDLE,
    CLOSING: CloseReason.LINGERING,
    DISCARDING: CloseReason.LINGERING,
}


class ClientOwner(Protocol):
    """What a connection needs of the set of all client connections."""

    dispatcher: Dispatcher
    fresh: dict[Client, None]
    bad_requests: Counter[str]

    def is_over_limit(self) -> bool:
        """Whether more connections are in use than the limits allow."""

    def is_full(self) -> bool:
        """Whether no further connection is accepted."""

    def evict_for_memory(self) -> None:
        """End connections of stalled clients, as others need the memory that they hold."""

    def remove(self, client: Client) -> None:
        """Forget a connection that has ended."""


class Client:
    """A client's connection; `run` is the body of the one thread that reads from it.

    Other threads may write the answer, and may close the connection by `expire`.
    """

    def __init__(self, sock: socket.socket, owner: ClientOwner, now: int) -> None:
        self.sock = sock
        self.owner = owner
        self.state = FRESH
        self.state_since = now
        self.received_after = now  # lower bound of the arrival time of what is read next
        self.keep_alive = True
        self.consecutive_errors = 0
        self.requests_served = 0
        self.chunked = self.until_close = self.was_reset = False
        self.draining = False
        self.class_name = ""  # of the submission in progress, if its class is known
        self.status = 0  # of its answer
        self.head_only = False  # the request is HEAD, so the response has no body
        self.upload: Upload | None = None
        self.sending_rate = SendingRate(now)  # of an incomplete request
        self.evicted = False  # it had stalled within a request, and its place was needed
        self.close_reason: CloseReason | None = None  # the first that was given
        self.holds_slot = False  # of the admission gate
        self.answered = threading.Event()
        self.state_lock = threading.Lock()
        self.writer = SocketWriter(sock)
        self.presence = ClientPresence(sock)
        self.memory = Reservation(owner.dispatcher.memory, MemoryKind.REQUESTS)
        self.transfers = BulkheadEntry(owner.dispatcher.bulkheads.transfers)
        self.local_work = BulkheadEntry(owner.dispatcher.bulkheads.local_answers)
        self.pipelined = 0  # requests in a row behind which more had been read
        self.local_answers = 0  # in a row, to requests that no server was needed for
        self.thread_id = 0  # of its own thread
        self.unsent: list[bytes] = []  # of the answer, left to that thread by another one

    # -- reading, by the connection's own thread

    def run(self) -> None:
        """Serve the connection until it ends, then close it."""
        self.thread_id = threading.get_ident()
        try:
            with suppress(OSError):
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # A client that does not read its response must not block the thread that writes it for ever.
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDTIMEO, WRITE_TIMEOUT)
            arrival.enable_timestamps(self.sock)
            self.received_after = arrival.last_received_at(self.sock, self.state_since)
            self.read_requests()
            while (
                self.state == CLOSING
                and not self.was_reset
                and self.sock.recv_into(DISCARD_BUFFER, 0, socket.MSG_TRUNC)
            ):
                pass  # close() with unread bytes sends a reset, which could destroy the answer in transit
        except OSError:
            self.note_close(CloseReason.BROKEN)  # the client reset the connection
        except Exception as error:  # must end this connection only
            self.owner.dispatcher.events.event("fault", text=f"{type(error).__name__}: {error}")
            self.note_close(CloseReason.FAULT)
        finally:
            self.leave_bulkheads()
            self.release_slot()
            self.memory.release()
            self.owner.remove(self)
            self.sock.close()
            reason = self.close_reason or CloseReason.CLIENT_CLOSED
            self.owner.dispatcher.decisions.note(Decision.CLOSED, reason)

    def note_close(self, reason: CloseReason) -> None:
        """Note why the connection ends; the first reason counts."""
        self.close_reason = self.close_reason or reason

    def read_requests(self) -> None:
        """Read and serve requests until the connection is to be closed."""
        parser = RequestParser(MAX_UPLOAD_BYTES)
        queue = self.owner.dispatcher.admission_gate.queue
        continue_sent = False
        received_at = 0
        while True:
            if parser.state != START:
                self.transfers.enter()
            elif not self.holds_slot and max(self.local_answers, self.pipelined) >= FREE_LOCAL_ANSWERS:
                # Not with a slot, for which whoever is inside may wait.
                self.local_work.enter()
            try:
                request = parser.next()
                if request is None and parser.is_long():
                    request = parser.normalize(parser.message)
                    self.upload = Upload(self, parser)
            except MalformedMessageError as error:
                if self.set_state(BUSY):
                    self.send_error(error, False)
                return
            self.transfers.leave()
            if request is not None:
                if not self.set_state(BUSY):
                    return
                held = parser.held_bytes() + len(request.body) + len(request.fields)
                self.memory.resize(held, forced=True)
                if self.upload is not None and not continue_sent and parser.awaits_continue():
                    self.sock.sendall(writing.CONTINUE)
                self.serve(request, received_at)
                self.local_work.leave()
                self.presence.request_ended(not parser.is_idle())
                self.pipelined = 0 if parser.is_idle() else self.pipelined + 1
                if self.upload is not None:
                    self.finish_upload(self.upload)
                    self.upload = None
                    self.memory.move_to(MemoryKind.REQUESTS)
                del request
                self.memory.resize(parser.held_bytes(), forced=True)
                continue_sent = False
                if not self.set_state(IDLE if parser.is_idle() else PARTIAL):
                    return
                continue
            self.release_slot()  # never held while waiting for the client's bytes
            self.local_work.leave()
            if not continue_sent and parser.awaits_continue():
                continue_sent = True
                self.sock.sendall(writing.CONTINUE)
            wanted = parser.wanted_bytes()
            if not self.reserve(parser.held_bytes(wanted)):
                if self.set_state(BUSY):
                    self.refuse_for_memory(parser)
                return
            space = parser.ring.writable(wanted)
            count, received_at = arrival.receive(self.sock, space, self.received_after)
            del space
            if not count:
                if parser.is_idle() or not self.is_read_shutdown():
                    return
                continue
            parser.ring.commit(count)
            if self.state == PARTIAL:
                self.sending_rate.received(received_at, count)
            if parser.state == START and queue.is_full() and self.reject_early(parser, received_at):
                if not self.set_state(IDLE):
                    return
                time.sleep(queue.read_pause / 1e6)
                continue
            if self.state != PARTIAL and not self.set_state(PARTIAL):
                return

    def reserve(self, needed: int) -> bool:
        """Reserve memory for what is read next; waits a moment for it if the limit is reached."""
        if self.memory.resize(needed):
            return True
        self.leave_bulkheads()
        end = clock.now() + MEMORY_WAIT_US
        while clock.now() < end:
            self.owner.evict_for_memory()
            time.sleep(MEMORY_POLL_S)
            if self.memory.resize(needed):
                return True
        return False

    def refuse_for_memory(self, parser: RequestParser) -> None:
        """Answer 503 to a request that there is no memory for; nothing of it has gone to a server."""
        dispatcher = self.owner.dispatcher
        config, class_states = dispatcher.active_config
        name = parser.message.header(CLASS_HEADER)
        self.class_name = name if name in config.request_classes else ""
        self.owner.bad_requests["no memory"] += 1
        trace_id = parser.message.header(TRACE_ID_HEADER)
        dispatcher.decisions.note(Decision.REFUSED, RefusalReason.MEMORY, trace_id)
        self.note_close(CloseReason.MEMORY)
        self.answer(answers.rejected(dispatcher.balancer.fixed_retry_after(class_states[0])), False)

    def finish_upload(self, upload: Upload) -> None:
        """Drop what is still to come of a body whose request has been answered; one that failed ends here."""
        if not upload.complete and upload.failure is None:
            self.set_state(DISCARDING)
            with suppress(UploadError):
                upload.discard()
        if upload.failure is not None:
            self.set_state(CLOSING)
            self.shutdown(socket.SHUT_WR)

    def is_read_shutdown(self) -> bool:
        """Whether a read that returned nothing did so because `expire` shut the read side down.

        The client may then still be sending, but a read no longer blocks until its bytes arrive; so this
        waits for POLL_INTERVAL_S and the caller reads again.
        """
        if not self.draining or self.presence.has_ended_sending():
            return False
        time.sleep(POLL_INTERVAL_S)
        return True

    def set_state(self, state: int) -> bool:
        """Enter a state, or return False if the connection is to end.

        A draining connection may still enter BUSY or PARTIAL: its request was sent before the shutdown.
        """
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
            if state == PARTIAL:
                self.sending_rate.restart(self.state_since)
            elif state == BUSY:
                self.sending_rate.pause()
        return True

    def reject_early(self, parser: RequestParser, received_at: int) -> bool:
        """Ask the admission gate before parsing, and answer 503 if it refuses; False if it doesn't.

        On an overloaded core a rejection must be much cheaper than a served request: it needs neither parsing
        nor the dispatcher's lock, and the connection stays open.
        """
        peeked = parser.peek_request()
        if peeked is None:
            return False
        size, name, expires, retry = peeked
        self.head_only = False
        dispatcher = self.owner.dispatcher
        config, class_states = dispatcher.active_config
        request_class = config.request_classes.get(name)
        if request_class is None or not self.set_state(BUSY):
            return False
        deadline = class_states[request_class].request_class.deadline
        if expires:
            deadline = min(deadline, int(expires) * 1000)
        typical_latency = class_states[request_class].typical_latency
        self.holds_slot = dispatcher.admission_gate.enter(
            received_at, received_at + deadline, request_class, retry, typical_latency
        )
        if self.holds_slot:
            return False
        parser.ring.consume(size)
        dispatcher.decisions.note(Decision.REFUSED, RefusalReason.ADMISSION)
        self.class_name = name
        self.keep_alive = not self.draining
        self.answer(
            answers.rejected(dispatcher.admission_gate.queue.retry_after(request_class)),
            not dispatcher.closes_connections(),
        )
        return True

    def acquire_slot(self) -> None:
        """Wait for a slot to go on with a request that was admitted earlier."""
        self.owner.dispatcher.admission_gate.reenter()
        self.holds_slot = True

    def leave_bulkheads(self) -> None:
        """Let other threads go on with what this one did one at a time with them."""
        self.transfers.leave()
        self.local_work.leave()

    def before_blocking(self) -> None:
        """Give up what others wait for, as this thread is about to wait for the client or another process."""
        self.leave_bulkheads()
        self.release_slot()

    def release_slot(self, delay: int = 0) -> None:
        """Release the slot, if it is held; `delay`: how long a received response waited to be passed on."""
        if not self.holds_slot:
            return
        with self.state_lock:
            held_slot, self.holds_slot = self.holds_slot, False
        if held_slot:
            self.owner.dispatcher.admission_gate.leave(delay)

    def serve(self, request: Request, received_at: int) -> None:
        """Run a request up to its final answer."""
        dispatcher = self.owner.dispatcher
        self.requests_served += 1
        self.local_answers += 1
        self.presence.request_begins(received_at)
        try:
            exchange = self.start_submission(request, received_at)
        finally:
            self.release_slot()
        self.local_work.leave()
        if exchange is None:
            return
        self.local_answers = 0
        try:
            dispatcher.run_hops(exchange)
        except Exception:
            dispatcher.abort_exchange(exchange)
            raise
        failure = self.upload.failure if self.upload is not None else None
        if exchange.client_left and failure is not None and failure.status:
            self.class_name = ""  # it was never complete, so it is not counted
            self.send_error(MalformedMessageError(failure.status, failure.reason), False)
        elif exchange.client_left and self.draining:
            # The request crossed our shutdown, after which its client may have closed its own side as well;
            # it must still be answered.
            self.answer(answers.FAILED, False)
        elif exchange.client_left:
            self.class_name = ""
            self.set_state(CLOSING)
        else:
            self.answered.wait()  # set by the timer thread if the deadline has passed
        self.write_unsent()

    def start_submission(self, request: Request, received_at: int) -> Exchange | None:
        """Submit a request, its first hop still to be run; None if the client was answered or has left."""
        dispatcher = self.owner.dispatcher
        self.keep_alive = request.keeps_alive() and not self.draining
        self.head_only = request.method == "HEAD"
        if request.target == "/up" and request.method in ("GET", "HEAD"):
            if dispatcher.closes_connections():
                self.answer(answers.OUT_OF_SERVICE, False)
            else:
                self.answer(dispatcher.readiness(), not self.is_in_the_way())
            return None
        config, class_states = dispatcher.active_config
        name = request.header(CLASS_HEADER)
        self.class_name = name if name in config.request_classes else ""
        try:
            params = parse_submission(request, config.request_classes, config.settings.request_classes)
        except MalformedMessageError as error:
            self.send_error(error, True)
            return None
        if self.owner.is_over_limit():
            # All connections that the limits allow are in use.  Nothing was sent to a server, so a retry is
            # safe.  The connection stays open for a few of them: a new one would cost more than this answer.
            self.owner.bad_requests["no room"] += 1
            dispatcher.decisions.note(Decision.REFUSED, RefusalReason.NO_ROOM, params.trace_id)
            self.answer(
                answers.rejected(dispatcher.balancer.fixed_retry_after(class_states[params.request_class])),
                not dispatcher.closes_connections() and not self.is_in_the_way(),
            )
            return None
        if not self.holds_slot:
            typical_latency = class_states[params.request_class].typical_latency
            self.holds_slot = dispatcher.admission_gate.enter(
                received_at,
                received_at + params.deadline,
                params.request_class,
                params.retry,
                typical_latency,
            )
            if not self.holds_slot:
                dispatcher.decisions.note(Decision.REFUSED, RefusalReason.ADMISSION, params.trace_id)
                self.answer(
                    answers.rejected(dispatcher.admission_gate.queue.retry_after(params.request_class)),
                    not dispatcher.closes_connections(),
                )
                return None
        if self.presence.age(clock.now()) > CHECK_AFTER_US and self.has_left():
            self.class_name = ""
            self.set_state(CLOSING)  # a busy core should not work for a client that has left
            return None
        # Delivering the answer takes about as long as threads now wait to run; on a busy core the deadline
        # would otherwise pass before the answer is sent.  At most a quarter of the deadline: a short stall
        # must not fail requests that could still be served.
        allowance = min(DELIVERY_ALLOWANCE_US, params.deadline // 20) + min(
            dispatcher.delay_monitor.delay, params.deadline // 4
        )
        deadline = params.deadline - allowance
        deadline_at = received_at + (deadline if self.upload is None else MAX_UPLOAD_US)
        if dispatcher.shutdown_at < deadline_at and self.upload is None:
            deadline_at = dispatcher.shutdown_at  # the process ends then
        exchange = Exchange(self, params.trace_id, request, deadline_at, dispatcher, self.upload, deadline)
        self.answered.clear()
        try:
            grant = dispatcher.submit(exchange, class_states[params.request_class], params.key, params.retry)
        except Exception:
            dispatcher.abort_exchange(exchange)
            raise
        if grant == Grant.GRANTED:
            self.consecutive_errors = 0
            return exchange
        if grant == Grant.UNANSWERED:
            dispatcher.decisions.note(Decision.REFUSED, RefusalReason.ID_UNANSWERED, params.trace_id)
            self.answer(
                answers.rejected(dispatcher.balancer.fixed_retry_after(class_states[params.request_class])),
                not dispatcher.closes_connections(),
            )
            return None
        self.send_error(MalformedMessageError(409, "id of a request that is open, or was just now"), True)
        return None

    def is_in_the_way(self) -> bool:
        """Whether others wait for the place of this client, none of whose requests goes to a server."""
        return self.local_answers > FREE_LOCAL_ANSWERS and self.owner.is_full()

    def send_error(self, error: MalformedMessageError, keep_alive: bool) -> None:
        """Answer a malformed request; after several in a row the connection is closed."""
        self.owner.bad_requests[str(error)] += 1
        self.consecutive_errors += 1
        if not keep_alive or self.consecutive_errors >= MAX_CONSECUTIVE_ERRORS:
            self.note_close(CloseReason.BAD_REQUEST)
        # A client that repeats the same malformed request at once would otherwise keep a core busy.
        self.answer(
            answers.text_answer(error.status, str(error)),
            keep_alive and self.consecutive_errors < MAX_CONSECUTIVE_ERRORS,
        )

    # -- answering, by the thread that ended the submission

    def answer(self, answer: answers.Answer, keep_alive: bool) -> None:
        """Write the final answer and finish the request.

        A thread other than the connection's own never waits for the client: it serves others too, and leaves
        what the client does not take at once to the connection's thread.
        """
        self.keep_alive = keep_alive and self.keep_alive
        self.status = answer.status
        body = answer.body
        head = writing.response_head(answer.status, answer.headers, len(body), self.keep_alive)
        parts = [head[self.presence.answer_start.take() :]]
        if not self.head_only:
            parts.append(body)
        if threading.get_ident() == self.thread_id:
            self.write(parts)
            self.finish()
        elif self.write_now(parts):
            self.finish()
        else:
            self.answered.set()

    def start_response(self, answer: answers.Answer, length: int, keep_alive: bool) -> None:
        """Write the head of a streamed response; `write_body` or `abort_response` must follow."""
        self.keep_alive = keep_alive and self.keep_alive and length != writing.UNTIL_CLOSE
        self.status = answer.status
        self.chunked = length == writing.CHUNKED
        self.until_close = length == writing.UNTIL_CLOSE
        head = writing.response(*answer, self.keep_alive, length)
        self.write((head[self.presence.answer_start.take() :],))

    def write_body(self, piece: bytes, last: bool) -> bool:
        """Write a piece of a streamed body; False if the client does not receive it."""
        written = self.write(writing.chunk(piece, last) if self.chunked else (piece,))
        if last:
            self.finish()
        return written

    def abort_response(self) -> None:
        """End a streamed response whose rest will not come.

        The client can tell: a framed body lacks its end, and a body that ends at the close is reset.
        """
        self.keep_alive = False
        self.status = 502
        self.note_close(CloseReason.ANSWER_BROKEN_OFF)
        self.finish(self.until_close)

    def write(self, parts: Sequence[bytes]) -> bool:
        """Write all of the parts; False if the connection broke or timed out."""
        try:
            self.writer.write(parts, self.before_blocking)
        except OSError:
            self.note_not_read()
            return False
        return True

    def write_now(self, parts: Sequence[bytes]) -> bool:
        """Write what the client takes at once, and leave the rest in `unsent`; whether nothing is left."""
        try:
            self.unsent = [bytes(rest) for rest in self.writer.write_now(parts)]
        except OSError:
            self.note_not_read()
        return not self.unsent

    def note_not_read(self) -> None:
        """Note that the client left or does not read: the response is incomplete."""
        self.keep_alive = False
        self.note_close(CloseReason.NOT_READ)

    def write_unsent(self) -> None:
        """Write what another thread has left of the answer, and finish the request."""
        if self.unsent:
            unsent, self.unsent = self.unsent, []
            self.write(unsent)
            self.finish()

    def finish(self, reset: bool = False) -> None:
        """Count the answer, shut the connection down unless it is kept alive, and wake its thread."""
        if self.class_name:
            self.owner.dispatcher.metrics.submission_finished(self.class_name, self.status)
            self.class_name = ""
        if not self.keep_alive:
            self.note_close(CloseReason.ANSWERED)
            self.set_state(CLOSING)
            if reset:
                with suppress(OSError):
                    self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            else:
                self.shutdown(socket.SHUT_WR)
            self.was_reset = reset
        self.answered.set()

    def has_left(self) -> bool:
        """Whether the client is known to have closed the connection, or failed to send its body."""
        if self.has_failed_upload():
            return True
        if not self.presence.has_ended_sending():
            return False
        held_slot = self.holds_slot
        self.before_blocking()
        try:
            return self.presence.has_left()
        finally:
            if held_slot:
                self.acquire_slot()

    def is_there(self) -> bool:
        """Whether something may be sent for the client; False also where that can't be known."""
        return not self.has_failed_upload() and self.presence.is_there()

    def has_failed_upload(self) -> bool:
        """Whether the body of the request will not be complete."""
        return self.upload is not None and self.upload.failure is not None

    # -- closing, by other threads

    def expire(self, state: int) -> bool:
        """End the connection if it is still in the given state; returns whether it was.

        A connection between requests is closed only by its own thread, after it has read what had arrived by
        then: on a busy core that thread may be a second late, and the request it is about to read must not be
        lost.  An incomplete request is answered 408.
        """
        with self.state_lock:
            if self.state != state or state == PARTIAL and self.has_unread_bytes():
                return False
            self.state = DRAINING if state in (FRESH, IDLE) else CLOSING
            self.state_since = self.received_after = clock.now()
        is_leaving = self.owner.dispatcher.closes_connections()
        self.note_close(CloseReason.DRAINING if is_leaving else EXPIRY_REASONS[state])
        if state == PARTIAL:
            self.owner.bad_requests["unfinished"] += 1
            timeout_answer = answers.text_answer(408, "unfinished")
            with suppress(OSError):
                self.sock.send(writing.response(*timeout_answer, False), socket.MSG_DONTWAIT)
            self.shutdown(socket.SHUT_WR)
        else:
            is_answered = state in (CLOSING, DISCARDING)
            self.presence.close_undetectable = arrival.shutdown(
                self.sock, socket.SHUT_RDWR if is_answered else socket.SHUT_RD
            )
        return True

    def evict_stalled(self, now: int) -> bool:
        """End a connection whose client has stopped within a request or an answer; whether it was ended.

        Called by other threads.  What has arrived and was not read yet is no silence of the client.
        """
        with self.state_lock:
            is_reading = bool(self.writer.blocked_since)
            if self.state != BUSY or self.evicted or not self.has_stalled(now):
                return False
            if not is_reading and self.has_unread_bytes():
                return False
            self.evicted = True
        self.note_close(CloseReason.STALLED)
        how = socket.SHUT_RDWR if is_reading else socket.SHUT_RD
        self.presence.close_undetectable = arrival.shutdown(self.sock, how)
        return True

    def stalled_for(self, now: int) -> int:
        """For how long the client has not sent, or not read, what it is expected to."""
        return self.writer.blocked_for(now) or self.sending_rate.silence(now)

    def has_stalled(self, now: int) -> bool:
        """Whether the client has stopped sending within a request, or reading within an answer."""
        if self.writer.blocked_since:
            return self.writer.blocked_for(now) >= READER_STALLED_AFTER_US
        is_sending = self.state == PARTIAL or self.state == BUSY and self.upload is not None
        return is_sending and self.sending_rate.has_stalled(now)

    def has_unread_bytes(self) -> bool:
        """Whether bytes are waiting that the connection's thread has not read yet."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def shutdown(self, how: int) -> None:
        """Shut the socket down (`how` as in socket.shutdown), even if the client closed it first."""
        with suppress(OSError):  # already closed by the client
            self.sock.shutdown(how)
