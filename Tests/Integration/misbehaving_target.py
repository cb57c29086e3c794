"""Targets whose answers never end, for tests and measurements of the effect of one misbehaving target."""

import itertools
import pathlib
import socket
import threading
import time

from platform_standin import free_port

# Bytes that a fast target sends at once, and the pause after them.
BLOCK_BYTES = 262144
BLOCK_PAUSE_S = 0.02
# Pause of a slow target after each byte.
BYTE_PAUSE_S = 0.01

START = b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nRequest-Id: %s\r\n"
FILLER = b"x" * 4096


def endless_form(form, request_id):
    """Yields the bytes of an endless answer of the given form, piece by piece."""
    start = START % request_id
    chunked = start + b"Transfer-Encoding: chunked\r\n\r\n"

    def repeat(piece):
        """Repeats a piece, several at a time: the stand-in shares its interpreter with the callers."""
        return itertools.repeat(piece * max(1, len(FILLER) // len(piece)))

    pieces = {
        "head-fields": ([start], repeat(b"X-Field: value\r\n")),
        "head-line": ([start + b"X-Line: "], repeat(FILLER)),
        "noise": ([], repeat(b"\x07\xffnoise")),
        "interim": ([], repeat(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n")),
        "chunks": ([chunked], repeat(b"1000\r\n" + FILLER + b"\r\n")),
        "chunk-extensions": ([chunked], repeat(b"1;" + b"e" * 200 + b"\r\nx\r\n")),
        "trailers": ([chunked + b"0\r\n"], repeat(b"X-Trailer: value\r\n")),
        "until-close": ([start + b"\r\n"], repeat(FILLER)),
        "huge-length": ([start + b"Content-Length: 999999999999\r\n\r\n"], repeat(FILLER)),
        "empty-lines": ([], repeat(b"\r\n")),
        "others": ([], repeat(START % b"other" + b"Content-Length: 2\r\n\r\nno")),
    }[form]
    return itertools.chain(*pieces)


FORMS = ("head-fields", "head-line", "noise", "interim", "chunks", "chunk-extensions", "trailers", "until-close",
         "huge-length", "empty-lines", "others")


class MisbehavingServer:
    """A server that gives every request an endless answer of one form, fast or one byte at a time.

    It refuses connections until start().
    """

    def __init__(self):
        self.form, self.slow = "noise", False
        self.bytes_sent = 0
        self.lock = threading.Lock()
        self.port = free_port()
        self.listener = None

    @property
    def address(self):
        """IP address and port."""
        return f"127.0.0.1:{self.port}"

    def start(self, form, slow):
        """Sets the form and pace of new answers and starts to accept connections."""
        self.form, self.slow = form, slow
        with self.lock:
            if self.listener:
                return
            self.listener = socket.create_server(("127.0.0.1", self.port), backlog=128)
        threading.Thread(target=self.accept, args=(self.listener,), daemon=True).start()

    def pause(self):
        """Stops accepting connections."""
        with self.lock:
            listener, self.listener = self.listener, None
        if listener:
            # close() alone neither wakes the thread that is blocked in accept() nor releases the port.
            listener.shutdown(socket.SHUT_RDWR)
            listener.close()

    def accept(self, listener):
        """Serves each connection in a thread of its own until the listener is closed."""
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        """Reads one request and sends its endless answer until the gateway closes the connection."""
        with connection:
            try:
                request = b""
                while b"\r\n\r\n" not in request:
                    received = connection.recv(65536)
                    if not received:
                        return
                    request += received
                request_id = next((line.split(b":")[1].strip() for line in request.split(b"\r\n")
                                   if line.lower().startswith(b"request-id:")), b"none")
                self.send_without_end(connection, endless_form(self.form, request_id))
            except OSError:
                pass

    def send_without_end(self, connection, pieces):
        """Sends the pieces, fast or byte by byte, until the connection breaks."""
        while True:
            block = bytearray()
            while len(block) < (1 if self.slow else BLOCK_BYTES):
                block += next(pieces)
            if self.slow:
                for byte in block:
                    connection.sendall(bytes([byte]))
                    time.sleep(BYTE_PAUSE_S)
            else:
                connection.sendall(block)
                time.sleep(BLOCK_PAUSE_S)
            with self.lock:
                self.bytes_sent += len(block)


class MisbehavingTarget(MisbehavingServer):
    """A misbehaving server that registers itself as a target."""

    def __init__(self, store, identity, service, zone="wien-a", form="noise", slow=False):
        super().__init__()
        self.start(form, slow)
        store.put(f"servers/{identity}", {
            "service": service, "addr": self.address, "zone": zone, "version": "v1", "slots": 8, "state": "ready",
            "warmup_left_ms": 0, "seq": 1, "born": int(time.time() * 1000)})

    def stop(self):
        """Stops accepting connections."""
        self.pause()


def peak_memory_mb(pid):
    """Peak resident memory of a process in MiB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text(encoding="ascii").splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise RuntimeError(f"/proc/{pid}/status has no VmHWM; the process has ended")
