"""Stand-ins for the users' platform (its metadata store and the targets that register there), and gateway processes.

The stand-ins implement only the part of the published protocol that the gateway uses. Every target records the requests
that it ran; the tests check the promises against these records.
"""

import base64
import collections
import http.client
import http.server
import json
import os
import pathlib
import select
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "Scripts"))

from toucanfleet import Ports  # noqa: E402  (the path is set above)

# TOUCAN_GATEWAY names another build of the gateway, for comparisons.
GATEWAY = pathlib.Path(os.environ.get("TOUCAN_GATEWAY", ROOT / "build" / "toucan-gateway"))
HOST = "front.example"


class QuietServer(http.server.ThreadingHTTPServer):
    """HTTP server on loopback that logs nothing and closes all its connections when it stops."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def __init__(self, handler, port=0):
        super().__init__(("127.0.0.1", port or free_port()), handler)
        self.open_sockets = set()
        self.lock = threading.Lock()
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()

    def handle_error(self, request, client_address):
        """Prints no error: tests break connections on purpose."""

    def process_request(self, request, client_address):
        with self.lock:
            self.open_sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        with self.lock:
            self.open_sockets.discard(request)
        super().shutdown_request(request)

    def reset_connections(self):
        """Resets every open connection."""
        with self.lock:
            sockets = list(self.open_sockets)
        for connection in sockets:
            reset(connection)

    def stop(self):
        """Stops the server and resets its connections, as a crash does."""
        self.shutdown()
        self.server_close()
        self.reset_connections()


def reset(connection):
    """Closes a connection with a TCP reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.shutdown(socket.SHUT_RD)
        connection.close()
    except OSError:
        pass


class Handler(http.server.BaseHTTPRequestHandler):
    """Base class of the stand-ins' request handlers."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format, *args):  # pylint: disable=redefined-builtin
        """Disables the log line of each request."""

    def answer(self, status, body=b"", headers=()):
        """Sends a complete response."""
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Store:
    """The platform's metadata store: items with revisions, range reads and watches."""

    def __init__(self):
        self.condition = threading.Condition()
        self.items = {}
        self.events = []
        self.revision = 100
        # Revision after which the events are complete; a watch after an earlier revision gets status 410.
        self.compacted_revision = 100
        self.calls = collections.Counter()
        # How often the store was restored; copies to which it can be (time, revision, items); and the values that its
        # writers have written last, which a restoration does not change.
        self.era = 0
        self.copies = collections.deque([(time.monotonic(), self.revision, {})], maxlen=400)
        self.written = {}
        # None: serves; "refuse": answers 503; "silent": sends no answer; "endless": sends a body that never ends.
        self.fault = None
        store = self

        class StoreHandler(Handler):
            """Handler of one request."""

            def do_GET(self):  # pylint: disable=invalid-name
                """Handles kv-range and kv-watch."""
                store.serve(self)

            do_POST = do_GET

        self.server = QuietServer(StoreHandler)

    @property
    def address(self):
        """IP address and port, as in the settings."""
        return f"127.0.0.1:{self.server.server_port}"

    def serve(self, call):
        """Answers one request, or applies the fault."""
        url = urllib.parse.urlsplit(call.path)
        query = {key: values[0] for key, values in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        self.calls[url.path] += 1
        if self.fault == "refuse":
            call.answer(503, headers=self.era_field(self.era))
            return
        if self.fault == "silent":
            time.sleep(2)
            return
        if self.fault == "endless":
            self.answer_without_end(call)
            return
        if url.path == "/api/kv-range":
            self.answer_range(call, query)
        elif url.path == "/api/kv-watch":
            self.answer_watch(call, query)
        elif url.path == "/api/kv-txn" and call.command == "POST":
            self.answer_write(call)
        else:
            call.answer(404)

    def answer_without_end(self, call):
        """Sends chunks until the client closes the connection or the fault is cleared."""
        try:
            call.wfile.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while self.fault == "endless":
                call.wfile.write(b"8000\r\n" + b"[" * 0x8000 + b"\r\n")
                time.sleep(0.001)
        except OSError:
            pass
        call.close_connection = True

    def answer_json(self, call, value, era=0):
        """Sends a JSON body that was read in the given era."""
        call.answer(200, json.dumps(value).encode(), [("Content-Type", "application/json"), *self.era_field(era)])

    @staticmethod
    def era_field(era):
        """Header field with the era; none in era 0."""
        return [("Store-Era", str(era))] if era else []

    def answer_range(self, call, query):
        """Answers one page of at most 50 items."""
        with self.condition:
            keys = sorted(key for key in self.items
                          if key.startswith(query["prefix"]) and key > query.get("after", ""))
            page = [self.items[key] for key in keys[:50]]
            body = {"items": page, "more_pages": len(keys) > 50, "as_of": self.revision}
            era = self.era
        self.answer_json(call, body, era)

    def answer_watch(self, call, query):
        """Answers with the events after a revision; waits for one for at most `wait_ms`."""
        after = int(query["after"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        with self.condition:
            while True:
                if not self.compacted_revision <= after <= self.revision:
                    call.answer(410, headers=self.era_field(self.era))
                    return
                events = [event for event in self.events if event["revision"] > after]
                left = end - time.monotonic()
                if events or left <= 0 or self.fault:
                    break
                self.condition.wait(left)
            body = {"events": events, "as_of": self.revision}
            era = self.era
        if self.fault:
            reset(call.connection)
            return
        self.answer_json(call, body, era)

    def answer_write(self, call):
        """Writes the items of a transaction if its conditions hold."""
        transaction = json.loads(call.rfile.read(int(call.headers["Content-Length"])))
        with self.condition:
            expected = transaction.get("expected", [])
            held = all(self.items.get(row["key"], {"revision": 0})["revision"] == row["revision"] for row in expected)
            for put in transaction["puts"] if held else []:
                self.put_bytes(put["key"], base64.b64decode(put["value"], validate=True))
            body = {"revision": self.revision} if held else {
                "items": [self.items[row["key"]] for row in expected if row["key"] in self.items]}
        if held:
            self.answer_json(call, body)
        else:
            call.answer(412, json.dumps(body).encode(), [("Content-Type", "application/json")])

    def put_bytes(self, key, value):
        """Writes raw bytes."""
        with self.condition:
            self.revision += 1
            created = self.items.get(key, {"created_rev": self.revision})["created_rev"]
            item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                    "created_rev": created, "lease": 0}
            self.items[key] = item
            self.written[key] = value
            self.events.append(item)
            self.copies.append((time.monotonic(), self.revision, dict(self.items)))
            self.condition.notify_all()

    def put(self, key, value):
        """Writes a JSON document."""
        self.put_bytes(key, json.dumps(value).encode())

    def delete(self, key):
        """Removes an item."""
        with self.condition:
            self.revision += 1
            self.items.pop(key, None)
            self.written.pop(key, None)
            self.events.append({"key": key, "revision": self.revision, "tombstone": True})
            self.copies.append((time.monotonic(), self.revision, dict(self.items)))
            self.condition.notify_all()

    def forget_history(self):
        """Drops all events, so that watches of earlier revisions get status 410."""
        with self.condition:
            self.events.clear()
            self.compacted_revision = self.revision
            self.condition.notify_all()

    def restore(self, seconds):
        """Returns to the copy of `seconds` ago; what was written since is gone, and its revisions are issued again."""
        with self.condition:
            bound = time.monotonic() - seconds
            while len(self.copies) > 1 and self.copies[-1][0] > bound:
                self.copies.pop()
            _, self.revision, items = self.copies[-1]
            self.items = dict(items)
            self.events = [event for event in self.events if event["revision"] <= self.revision]
            self.compacted_revision = min(self.compacted_revision, self.revision)
            self.era += 1
            self.condition.notify_all()
        self.server.reset_connections()

    def rewrite(self):
        """The operator and the targets write their entries again, and the leases of those that ended lapse."""
        with self.condition:
            for key, value in list(self.written.items()):
                if self.items.get(key, {}).get("value") != base64.b64encode(value).decode():
                    self.put_bytes(key, value)
            for key in set(self.items) - set(self.written):
                self.delete(key)

    def set_fault(self, fault):
        """Sets the fault, or clears it with None; a fault resets the connections of waiting watches."""
        with self.condition:
            self.fault = fault
            self.condition.notify_all()

    def stop(self):
        """Stops the store."""
        self.server.stop()


class Target:
    """A target of one service that registers itself and records what it runs."""

    def __init__(self, store, identity, service, zone="wien-a", port=0):
        self.store = store
        self.identity = identity
        self.service = service
        self.zone = zone
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.delay = 0.0
        # Milliseconds for which the target says that it stays cold.
        self.warm_up_left = 0
        # Whether every answer says that the target leaves.
        self.leaving = False
        # Requests per second that every answer states as the limit for all nodes together; None states none. The last
        # one that was stated.
        self.rate_limit = self.stated_limit = None
        # Seconds in the Retry-After of behave_shed, and the time, request id and seconds of each such answer.
        self.retry_after = None
        self.waits = []
        # Value of the load header: running, queued, slots and optionally the slowdown in percent.
        self.load = "1,0,8"
        # Suffix of the behave_* method that answers requests and returns True if it did; None selects the normal
        # answer.
        self.behaviour = None
        self.runs = []
        self.arrivals = []
        self.lock = threading.Lock()
        target = self

        class TargetHandler(Handler):
            """Handler of one request."""

            def handle_request(self):
                """Reads the body and passes the request to the target."""
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                target.serve(self, body)

            do_GET = do_POST = do_PUT = do_DELETE = do_PATCH = handle_request

        self.server = QuietServer(TargetHandler, port)
        self.register()

    @property
    def port(self):
        """Port of the target."""
        return self.server.server_port

    def register(self):
        """Writes the target's entry to the store."""
        self.sequence += 1
        self.store.put(f"servers/{self.identity}", {
            "service": self.service, "addr": f"127.0.0.1:{self.port}", "zone": self.zone, "version": "v1",
            "slots": 8, "state": self.state, "warmup_left_ms": self.warm_up_left, "seq": self.sequence, "born": self.born})

    def drain(self):
        """Registers the target as draining."""
        self.state = "draining"
        self.register()

    def stamp(self, call):
        """Value of Server-Stamp for one answer: target, request id and number of runs so far."""
        return f"{self.identity}.{call.headers['Request-Id']}.{len(self.runs)}"

    def serve(self, call, body):
        """Answers one request."""
        request_id = call.headers["Request-Id"]
        record = {"at": time.monotonic(), "id": request_id, "method": call.command, "path": call.path, "body": body,
                  "headers": dict(call.headers.items()), "state": self.state}
        with self.lock:
            self.arrivals.append(record)
        expected = call.headers.get("Expect-Instance")
        if expected and expected != self.identity:
            call.answer(421, headers=[("Instance-Id", self.identity)])
            return
        behaviour = getattr(self, f"behave_{self.behaviour}", None) if self.behaviour else None
        if behaviour and behaviour(call):
            return
        with self.lock:
            self.runs.append(record)
        if self.delay and not self.wait_unless_disconnected(call, self.delay):
            # Time at which the client disconnected before the answer.
            record["gone"] = time.monotonic()
            return
        self.answer_run(call)

    @staticmethod
    def wait_unless_disconnected(call, seconds):
        """Waits; returns False as soon as the client closes the connection."""
        ready, _, _ = select.select([call.connection], [], [], seconds)
        if not ready:
            return True
        try:
            return bool(call.connection.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def answer_run(self, call):
        """Sends the normal answer: two records that name the target."""
        records = b"".join(f"{self.identity[:8]:8}{call.headers['Request-Id'][-7:]:>7}{index}".encode()
                           for index in range(2))
        call.answer(200, records, [("Request-Id", call.headers["Request-Id"]), ("Server-Stamp", self.stamp(call)),
                                   ("Backend-Load", self.load), *self.notices()])

    def notices(self):
        """Header fields with which the target says that it leaves or limits its load."""
        leaving = [("Server-Leaving", "1")] if self.leaving else []
        limit = self.rate_limit
        return leaving + ([("Server-Limit", str(limit))] if limit is not None else [])

    def behave_shed(self, call):
        """Refuses the request with 503 without running it."""
        headers = [("Not-Executed", "1"), ("Request-Id", call.headers["Request-Id"]), *self.notices()]
        retry_after = self.retry_after
        if retry_after is not None:
            headers.append(("Retry-After", str(retry_after)))
        call.answer(503, headers=headers)
        if retry_after is not None:
            with self.lock:
                self.waits.append((time.monotonic(), call.headers["Request-Id"], retry_after))
        return True

    def behave_run_and_reset(self, call):
        """Runs the request and resets the connection instead of answering."""
        with self.lock:
            self.runs.append({"at": time.monotonic(), "id": call.headers["Request-Id"], "state": self.state})
        reset(call.connection)
        call.close_connection = True
        return True

    def behave_fail(self, call):
        """Runs the request and answers 500."""
        with self.lock:
            self.runs.append({"at": time.monotonic(), "id": call.headers["Request-Id"], "state": self.state})
        call.answer(500, b"failed", [("Server-Stamp", self.stamp(call)), ("Request-Id", call.headers["Request-Id"]),
                                     *self.notices()])
        return True

    def behave_truncate(self, call):
        """Runs the request and closes the connection in the middle of the body."""
        with self.lock:
            self.runs.append({"at": time.monotonic(), "id": call.headers["Request-Id"], "state": self.state})
        call.wfile.write((f"HTTP/1.1 200 OK\r\nServer-Stamp: {self.stamp(call)}\r\nContent-Length: 32\r\n\r\n"
                          "only a part").encode())
        call.close_connection = True
        return True

    def behave_twice(self, call):
        """Runs the request and sends a second, unsolicited answer after the real one."""
        with self.lock:
            self.runs.append({"at": time.monotonic(), "id": call.headers["Request-Id"], "state": self.state})
        self.answer_run(call)
        call.wfile.write(b"HTTP/1.1 200 OK\r\nServer-Stamp: false\r\nContent-Length: 5\r\n\r\nextra")
        return True

    def crash(self):
        """Stops the target without removing its entry."""
        self.server.stop()

    def stop(self):
        """Stops the target and removes its entry."""
        self.crash()
        self.store.delete(f"servers/{self.identity}")


def free_port():
    """A port from this process's block, outside the kernel's ephemeral range."""
    return Ports().take()


class GatewayProcess:
    """A gateway process with its own ports, settings file and log file; start() starts it."""

    def __init__(self, folder, store_address, name="node-1", zone="wien-a", settings=None):
        self.name = name
        self.caller_port, self.ready_port, self.metrics_port = free_port(), free_port(), free_port()
        self.log_file = pathlib.Path(folder) / f"{name}.log"
        self.settings_file = pathlib.Path(folder) / f"{name}.json"
        self.settings = {
            "name": name, "failureDomain": zone, "callerListen": f"127.0.0.1:{self.caller_port}",
            "readyListen": f"127.0.0.1:{self.ready_port}", "metricsListen": f"127.0.0.1:{self.metrics_port}",
            "registry": store_address, "stopMs": 3000, "balancerLagMs": 500,
            "extraAttempts": {"ratio": 0.2, "allowance": 2, "windowSeconds": 10}, **(settings or {})}
        self.settings_file.write_text("// settings of a test\n" + json.dumps(self.settings), encoding="utf-8")
        self.process = None

    def start(self, wait=True):
        """Starts the process and, unless `wait` is false, waits until it is ready."""
        with open(self.log_file, "ab") as log:
            self.process = subprocess.Popen(  # pylint: disable=consider-using-with
                [GATEWAY, "--settings", self.settings_file], stdout=log, stderr=subprocess.STDOUT)
        if wait:
            wait_until(self.ready, 10)
        return self

    def ready(self):
        """Whether /ready answers 200."""
        try:
            return http_get(self.ready_port, "/ready")[0] == 200
        except OSError:
            return False

    def log(self):
        """All log lines."""
        return self.log_file.read_text(encoding="utf-8", errors="replace")

    def metrics(self):
        """Metric values by name and labels."""
        text = http_get(self.metrics_port, "/metrics")[1].decode()
        return {line.split()[0]: float(line.split()[1]) for line in text.splitlines() if line}

    def send_signal(self, number):
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def stop(self, number=signal.SIGTERM):
        """Resumes the process if it is paused and sends the signal; kills it after 10 s. Returns its exit code."""
        if self.process is None:
            return None
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.send_signal(number)
        try:
            return self.process.wait(10)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return self.process.wait()


def http_get(port, path, timeout=2):
    """Sends a GET request; returns status and body."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def wait_until(condition, bound):
    """Waits until the condition holds; fails the test after `bound` seconds."""
    end = time.monotonic() + bound
    while not condition():
        if time.monotonic() > end:
            raise AssertionError(f"condition did not hold within {bound} s")
        time.sleep(0.01)


def route(name, prefix, kind="idempotent", **fields):
    """A route of the configuration document."""
    return {"name": name, "host": HOST, "prefix": prefix, "route_kind": kind, "timeout_ms": 1000, "goal_ms": 200,
            "priority": 1, "attempts": 2, **fields}


def configuration(version, routes, services):
    """A configuration document with the given routes and services."""
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": False}
                         for name in services],
            "limits": {"header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 1000,
                       "idle_timeout_ms": 5000}}


class Answer:
    """The answer that a caller received, with its latency in seconds."""

    def __init__(self, status, headers, body, elapsed):
        self.status, self.headers, self.body, self.elapsed = status, headers, body, elapsed

    def stamps(self):
        """Server stamps of the parts that the answer contains."""
        return [stamp.strip() for stamp in self.headers.get("Part-Stamps", "").split(",") if stamp.strip()]


def call(port, path, request_id, method="GET", body=None, deadline=1000, connection=None, headers=None):
    """Sends one request with a deadline in ms, on a new connection unless one is given."""
    own = connection or http.client.HTTPConnection("127.0.0.1", port, timeout=deadline / 1000 + 2)
    start = time.monotonic()
    try:
        own.request(method, path, body=body, headers={"Host": HOST, "Request-Id": request_id,
                                                      "Deadline-Ms": str(deadline), **(headers or {})})
        response = own.getresponse()
        content = response.read()
        return Answer(response.status, dict(response.getheaders()), content, time.monotonic() - start)
    finally:
        if connection is None:
            own.close()
