"""Stand-ins for the platform's store, backends and callers, and gateway processes as the deploy file starts them.

Everything listens on loopback addresses. Each case imports this module, records what it sees with a Record, and stops
what it has started.
"""

import base64
import contextlib
import http.client
import http.server
import json
import os
import pathlib
import random
import re
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEPLOY = ROOT / "deploy"
HOST = "front.example"

# Bounds of sites/loeffel-such.toml.
BOUNDS = {"drain_ms": 3000, "stable_ms": 4000, "config_apply_ms": 3000, "grace_s": 6, "retry_budget_ratio": 0.2,
          "budget_window_s": 10, "budget_extra": 54}
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes record.txt in the folder of the case: one line for each event, with seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.lock = threading.Lock()

    def __call__(self, kind, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self.lock:
            self.file.write(f"{time.monotonic() - self.start:8.3f} {kind} {text}\n")
            self.file.flush()


def troubled():
    """Whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(address="127.0.0.1"):
    """A free port outside the range from which the kernel takes ports for outgoing connections."""
    for _ in range(500):
        port = random.randrange(15000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind((address, port))
                return port
            except OSError:
                continue
    raise CannotRun("no free port")


class QuietServer(http.server.ThreadingHTTPServer):
    """HTTP server that logs nothing and can reset its connections."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def __init__(self, handler):
        super().__init__(("127.0.0.1", free_port()), handler)
        self.sockets = set()
        self.lock = threading.Lock()
        self.thread = threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.02}, daemon=True)
        self.thread.start()

    def handle_error(self, request, client_address):
        """Connections break on purpose."""

    def process_request(self, request, client_address):
        with self.lock:
            self.sockets.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        with self.lock:
            self.sockets.discard(request)
        super().shutdown_request(request)

    def stop(self):
        """Closes the listener and every connection, as the end of the process does."""
        self.shutdown()
        self.server_close()
        with self.lock:
            sockets = list(self.sockets)
        for connection in sockets:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Handler(http.server.BaseHTTPRequestHandler):
    """Base class of the request handlers."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format, *args):  # pylint: disable=redefined-builtin
        """No log line."""

    def version_string(self):
        return "stand-in"

    def reply(self, status, body=b"", headers=()):
        """Sends a complete response in one write; a response to HEAD has no body."""
        head = [f"HTTP/1.1 {status} {http.client.responses.get(status, 'Other')}"]
        head += [f"{name}: {value}" for name, value in headers]
        head += [f"Content-Length: {len(body)}", "", ""]
        content = b"" if self.command == "HEAD" else body
        self.wfile.write("\r\n".join(head).encode("latin-1") + content)


class Store:
    """The platform's metadata store: PROTOCOL.md, "The platform's metadata store", the calls for reading."""

    PAGE = 50

    def __init__(self, record):
        self.record = record
        self.condition = threading.Condition()
        self.revision = 100
        self.items = {}
        self.events = []
        # Snapshots of the past for stale reads: (time, revision, items).
        self.past = [(time.monotonic(), self.revision, {})]
        # Age in seconds of a stale read, by the number of the page (0 for the first).
        self.stale_age = lambda page: 0.0
        self.stale_reads = []
        store = self

        class StoreHandler(Handler):
            """One call."""

            def do_GET(self):  # pylint: disable=invalid-name
                """kv-range and kv-watch."""
                url = urllib.parse.urlsplit(self.path)
                query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
                if url.path == "/api/kv-range":
                    store.range(self, query)
                elif url.path == "/api/kv-watch":
                    store.watch(self, query)
                else:
                    self.reply(404)

        self.server = QuietServer(StoreHandler)
        self.address = f"127.0.0.1:{self.server.server_port}"

    @staticmethod
    def reply_json(call, value):
        """Sends a JSON body."""
        call.reply(200, json.dumps(value).encode(), [("Content-Type", "application/json")])

    def range(self, call, query):
        """One page."""
        after = query.get("after", "")
        with self.condition:
            revision, items = self.revision, self.items
            if query.get("allow_stale") == "1":
                # Pages follow the order of the keys, so the key before the page tells its number.
                page = sum(1 for key in self.items if key <= after) // self.PAGE if after else 0
                moment = time.monotonic() - self.stale_age(page)
                _, revision, items = next(entry for entry in reversed(self.past)
                                          if entry[0] <= moment or entry is self.past[0])
                self.stale_reads.append((page, revision, self.revision))
                self.record("stale-read", page=page, as_of=revision, newest=self.revision)
            keys = sorted(key for key in items if key.startswith(query["prefix"]) and key > after)
            body = {"items": [items[key] for key in keys[:self.PAGE]], "more_pages": len(keys) > self.PAGE,
                    "as_of": revision}
        self.reply_json(call, body)

    def watch(self, call, query):
        """The events after a revision, as soon as there is one."""
        after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        with self.condition:
            while True:
                events = [event for event in self.events if event["revision"] > after]
                left = end - time.monotonic()
                if events or left <= 0:
                    break
                self.condition.wait(left)
            body = {"events": events, "as_of": self.revision}
        self.reply_json(call, body)

    def change(self, key, item):
        """Applies a write or, with None, a removal; returns the time of the confirmation."""
        with self.condition:
            self.revision += 1
            items = dict(self.items)
            if item is None:
                items.pop(key, None)
                self.events.append({"key": key, "revision": self.revision, "tombstone": True})
            else:
                created = items.get(key, {"created_rev": self.revision})["created_rev"]
                entry = {"key": key, "value": base64.b64encode(json.dumps(item).encode()).decode(),
                         "revision": self.revision, "created_rev": created, "lease": 0}
                items[key] = entry
                self.events.append(entry)
            self.items = items
            self.past.append((time.monotonic(), self.revision, items))
            self.condition.notify_all()
            return time.monotonic()

    def put(self, key, value):
        """Writes a document."""
        return self.change(key, value)

    def delete(self, key):
        """Removes a key."""
        return self.change(key, None)

    def stop(self):
        """Stops the store."""
        self.server.stop()


class Backend:
    """A backend: PROTOCOL.md, "Backends" and "Service discovery". It works on `slots` requests at once, queues `queue`
    more, refuses the others, and drops a request when its connection closes."""

    def __init__(self, store, record, identity, service, zone="wien-a", slots=2, queue=12, work_s=0.01):
        self.store, self.record = store, record
        self.identity, self.service, self.zone = identity, service, zone
        self.slots, self.queue, self.work_s = slots, queue, work_s
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.lock = threading.Lock()
        self.free = threading.Semaphore(slots)
        self.running = self.waiting = 0
        self.alive = True
        # Requests that began to run: dicts with id, method, path, body, arrived, begun, ended and result.
        self.runs = []
        self.arrivals = []
        backend = self

        class BackendHandler(Handler):
            """One connection; requests follow one another."""

            def handle_request(self):
                """Reads the body and serves the request."""
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                backend.serve(self, body)

            do_GET = do_HEAD = do_POST = do_PUT = do_DELETE = do_PATCH = handle_request

        self.server = QuietServer(BackendHandler)
        self.address = f"127.0.0.1:{self.server.server_port}"

    def entry(self):
        """The entry in the store."""
        return {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "warmup_left_ms": 0, "seq": self.sequence,
                "born": self.born}

    def write_entry(self):
        """Writes the entry; returns the time of the store's confirmation."""
        with self.lock:
            self.sequence += 1
            return self.store.put(f"servers/{self.identity}", self.entry())

    def register(self):
        """Writes the entry. Heartbeats are left out, as the entry changes only "when more than `seq` changes"."""
        self.write_entry()
        return self

    def drain(self):
        """Reports draining; returns the time of the confirmation."""
        self.state = "draining"
        confirmed = self.write_entry()
        self.record("draining", backend=self.identity)
        return confirmed

    def withdraw(self):
        """Removes the entry without draining first; the backend goes on serving. Returns the time."""
        with self.lock:
            confirmed = self.store.delete(f"servers/{self.identity}")
        self.record("entry-removed", backend=self.identity)
        return confirmed

    def crash(self):
        """Ends without a word."""
        self.alive = False
        self.server.stop()
        self.record("backend-ended", backend=self.identity)

    @staticmethod
    def connection_open(call, seconds):
        """Waits; returns False as soon as the peer closes the connection."""
        ready, _, _ = select.select([call.connection], [], [], seconds)
        if not ready:
            return True
        try:
            return bool(call.connection.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def load(self):
        """Running requests, waiting requests, slots."""
        return f"{self.running},{self.waiting},{self.slots}"

    def serve(self, call, body):
        """One request."""
        identity = call.headers.get("Request-Id")
        run = {"id": identity, "method": call.command, "path": call.path, "body": body,
               "arrived": time.monotonic(), "result": "running"}
        if call.path == "/health":
            call.reply(200 if self.state == "ready" else 503,
                       headers=[("Instance-Id", self.identity), ("Backend-Load", self.load())])
            return
        expected = call.headers.get("Expect-Instance")
        if expected not in (None, self.identity):
            self.record("misdirected", backend=self.identity, id=identity)
            call.reply(421, headers=[("Instance-Id", self.identity)])
            return
        if not identity:
            call.reply(400, headers=[("Not-Executed", "1")])
            return
        self.arrivals.append(run)
        with self.lock:
            shed = self.waiting >= self.queue and self.running >= self.slots
            if not shed:
                self.waiting += 1
        if shed:
            self.record("shed", backend=self.identity, id=identity)
            call.reply(503, headers=[("Not-Executed", "1"), ("Backend-Load", self.load())])
            return
        # A request whose connection closes while it waits is dropped without running.
        while not self.free.acquire(timeout=0.02):
            if not self.connection_open(call, 0):
                with self.lock:
                    self.waiting -= 1
                call.close_connection = True
                return
        with self.lock:
            self.waiting -= 1
            self.running += 1
        run["begun"] = time.monotonic()
        self.runs.append(run)
        self.record("run", backend=self.identity, id=identity, method=call.command, path=call.path)
        try:
            stays = self.connection_open(call, self.work_s)
        finally:
            with self.lock:
                self.running -= 1
            self.free.release()
        run["ended"] = time.monotonic()
        if not stays or not self.alive:
            run["result"] = "dropped"
            self.record("dropped", backend=self.identity, id=identity)
            call.close_connection = True
            return
        run["result"] = "done"
        records = b"".join(f"{self.identity[:6]:6}{identity[-8:]:>8}{index:02}".encode() for index in range(2))
        call.reply(200, records, [("Request-Id", identity), ("Server-Stamp", f"{self.identity}.{identity}"),
                                  ("Backend-Load", self.load())])


def render(template, values):
    """Fills in a template as DEPLOY.md says: values, JSON values and sections of one value."""

    def look_up(name):
        value = values
        for part in name.split("."):
            value = value[part]
        return value

    def section(match):
        present = bool(look_up(match.group(2)))
        return match.group(3) if present == (match.group(1) == "#") else ""

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.S)

    def value(match):
        found = look_up(match.group(1))
        if match.group(2):
            return json.dumps(found)
        return json.dumps(found) if isinstance(found, (dict, list, bool)) else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class Node:
    """A machine of the system with one gateway process, started with the command of the deploy file."""

    def __init__(self, record, store_address, name, zone="wien-a"):
        self.record, self.name, self.zone = record, name, zone
        self.store_address = store_address
        # The metrics port of the template is fixed, so each machine has its own loopback address.
        self.ip = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}.{random.randrange(2, 250)}"
        self.front, self.ready_port, self.control = (free_port(self.ip) for _ in range(3))
        self.seeds = []
        self.bootstrap = True
        self.process = self.supervisor = None
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))

    def relay_address(self):
        """Address that the settings of the machines call a seed."""
        return f"{self.ip}:{self.control}"

    def write_settings(self):
        """Fills in the template of the deploy file."""
        values = {"node_name": self.name, "zone": self.zone, "ip": self.ip,
                  "listen_addrs": {"front": f"{self.ip}:{self.front}", "ready_addr": f"{self.ip}:{self.ready_port}",
                                   "control": self.relay_address()},
                  "platform": {"addr": self.store_address}, "seeds": self.seeds, "limits": {"memory_mb": 260},
                  "bootstrap": self.bootstrap, "bounds": BOUNDS}
        file = self.folder / "node.conf"
        file.write_text(render((DEPLOY / "settings.template").read_text(encoding="utf-8"), values), encoding="utf-8")
        return file

    def start(self):
        """Starts the process and waits until it is ready."""
        with open(DEPLOY / "system.toml", "rb") as deploy:
            command = tomllib.load(deploy)["roles"]["gateway"]["run"].split()
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} has not been built")
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["TOUCANGAUGE_SETTINGS"] = str(self.write_settings())
        with open(self.folder / "log.txt", "ab") as log:
            self.process = subprocess.Popen(  # pylint: disable=consider-using-with
                [str(ROOT / command[0]), *command[1:]], cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.record("node-started", node=self.name)
        end = time.monotonic() + 15
        while not self.ready():
            if self.process.poll() is not None or time.monotonic() > end:
                raise CannotRun(f"{self.name} did not become ready: {self.log()[-500:]}")
            time.sleep(0.02)
        self.record("node-ready", node=self.name)
        return self

    def ready(self):
        """Whether the readiness call answers 200."""
        connection = http.client.HTTPConnection(self.ip, self.ready_port, timeout=1)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def log(self):
        """What the process has written."""
        return (self.folder / "log.txt").read_text(encoding="utf-8", errors="replace")

    def supervise(self, seconds):
        """Restarts the process after a short delay whenever it ends by itself, as the platform does, for the given
        time. Returns the list of the exit codes, which grows meanwhile."""
        ends, until = [], time.monotonic() + seconds

        def watch():
            while time.monotonic() < until:
                if self.process.poll() is not None:
                    ends.append(self.process.returncode)
                    self.record("node-ended", node=self.name, code=self.process.returncode)
                    time.sleep(0.3)
                    self.bootstrap = False
                    with contextlib.suppress(CannotRun):
                        self.start()
                time.sleep(0.01)

        thread = threading.Thread(target=watch, daemon=True)
        thread.start()
        self.supervisor = thread
        return ends

    def kill(self):
        """Kills the process."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()
            self.record("node-killed", node=self.name)

    def end(self):
        """Kills the process and removes its folder."""
        self.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, service, kind="idempotent", timeout_ms=4000, goal_ms=400, attempts=2):
    """A route of the config."""
    return {"name": name, "host": HOST, "prefix": prefix, "route_kind": kind, "timeout_ms": timeout_ms,
            "goal_ms": goal_ms, "priority": 2, "service": service, "attempts": attempts}


def config(version, routes, max_conns):
    """A config; `max_conns` maps services to their connection limits."""
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health", "max_conns": limit, "protocol": "h1", "tls": False}
                         for name, limit in max_conns.items()],
            "limits": {"header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


def new_id():
    """An id of one requester attempt."""
    return f"{random.getrandbits(64):016x}"


class Caller:
    """One requester attempt on a connection of its own. It leaves after `leave_s` when that is given."""

    def __init__(self, record, node, path, method="GET", body=None, budget_ms=4000, leave_s=None, identity=None):
        self.record, self.node = record, node
        self.id = identity or new_id()
        self.path, self.method, self.body, self.budget_ms, self.leave_s = path, method, body, budget_ms, leave_s
        self.status = self.answer = self.left_at = self.sent_at = self.stamp = None
        self.thread = threading.Thread(target=self.run, daemon=True)

    def start(self):
        """Sends the request."""
        self.thread.start()
        return self

    def run(self):
        """Sends the request and waits for the answer, or leaves."""
        timeout = self.leave_s if self.leave_s is not None else self.budget_ms / 1000 + 1
        connection = http.client.HTTPConnection(self.node.ip, self.node.front, timeout=timeout)
        self.sent_at = time.monotonic()
        try:
            self.record("sent", id=self.id, method=self.method, path=self.path, node=self.node.name)
            connection.request(self.method, self.path, body=self.body, headers={
                "Host": HOST, "Request-Id": self.id, "Deadline-Ms": str(self.budget_ms)})
            response = connection.getresponse()
            self.answer = response.read()
            self.status, self.stamp = response.status, response.getheader("Server-Stamp")
            self.record("answered", id=self.id, status=self.status, stamp=self.stamp)
        except (OSError, http.client.HTTPException) as error:
            self.record("left" if self.leave_s is not None else "no-answer", id=self.id, why=repr(error))
        finally:
            connection.close()
            if self.status is None:
                self.left_at = time.monotonic()

    def wait(self, seconds=15):
        """Waits for the end."""
        self.thread.join(seconds)
        return self


def main(folder, case):
    """Runs `case(record)`, which returns a list of violations, and exits as the issue says."""
    record = Record(folder)
    threading.Thread(target=lambda: (time.sleep(115), os._exit(EXIT_NOT_RUN)), daemon=True).start()
    try:
        violations = case(record)
    except CannotRun as error:
        record("cannot-run", why=str(error).replace("\n", " | "))
        print(f"the case could not run: {error}", file=sys.stderr)
        sys.exit(EXIT_NOT_RUN)
    for violation in violations:
        record("VIOLATION", what=violation)
    verdict = "broken" if violations else "held"
    record("verdict", rule=verdict)
    print(f"rule {verdict}; violations: {len(violations)}")
    sys.stdout.flush()
    os._exit(EXIT_BROKEN if violations else EXIT_HELD)
