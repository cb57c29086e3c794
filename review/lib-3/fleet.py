"""Stand-ins for the platform (its store, servers and clients) and real gateway processes, on loopback addresses.

The stand-ins follow PROTOCOL.md. Every node reaches the store through a door of its own, so that the store can turn
single nodes away and serve the others.
"""

import base64
import collections
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
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
GATEWAY = ROOT / "target" / "toucan-gateway"
TEMPLATE = ROOT / "deploy" / "settings.template"
HOST = "front.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def reset(connection):
    """Closes a connection with a TCP reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.shutdown(socket.SHUT_RD)
        connection.close()
    except OSError:
        pass


class QuietServer(http.server.ThreadingHTTPServer):
    """HTTP server that prints nothing and can reset its connections."""

    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def __init__(self, handler, address):
        super().__init__(address, handler)
        self.open_sockets = set()
        self.lock = threading.Lock()
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.05}, daemon=True).start()

    def server_bind(self):
        """Without the name lookup of the base class."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(self.server_address)
        self.server_address = self.socket.getsockname()
        self.server_name, self.server_port = self.server_address

    def handle_error(self, request, client_address):
        """Connections break on purpose."""

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
        """Stops at once, as a process that ends."""
        self.shutdown()
        self.server_close()
        self.reset_connections()


class Handler(http.server.BaseHTTPRequestHandler):
    """Base of the stand-ins' handlers."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format, *args):  # pylint: disable=redefined-builtin
        """No line for each request."""

    def answer(self, status, body=b"", headers=()):
        """Sends a complete answer in one write."""
        lines = [f"HTTP/1.1 {status} {http.client.responses.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += [f"Content-Length: {len(body)}", "", ""]
        self.wfile.write("\r\n".join(lines).encode() + body)


class Store:
    """The platform's store: items with revisions, pages, watches and conditional writes."""

    def __init__(self, network):
        self.network = network
        self.condition = threading.Condition()
        self.items = {}
        self.events = []
        self.revision = 100
        self.compacted = 100
        self.away = {}
        self.connections = set()
        self.stopped = threading.Event()
        self.doors = {}
        # The sheets say 4 ms an answer.
        self.answer_s = 0.004

    def door(self, name):
        """Address at which the node of that name reaches the store."""
        store = self

        class StoreHandler(Handler):
            """One call of that node."""

            def setup(self):
                super().setup()
                self.is_busy = self.is_silent = False
                self.used_at = time.monotonic()
                with store.condition:
                    store.connections.add(self)

            def finish(self):
                with store.condition:
                    store.connections.discard(self)
                super().finish()

            def do_GET(self):  # pylint: disable=invalid-name
                """Serves reads and writes."""
                if self.is_silent:
                    self.close_connection = True
                    store.stopped.wait()
                    return
                self.is_busy = True
                length = int(self.headers.get("Content-Length", 0))
                store.serve(self, name, self.rfile.read(length) if length else b"")
                self.is_busy, self.used_at = False, time.monotonic()

            do_POST = do_DELETE = do_GET

        if name not in self.doors:
            self.doors[name] = QuietServer(StoreHandler, (self.network.store_ip, 0))
        return f"{self.network.store_ip}:{self.doors[name].server_port}"

    def turn_away(self, names, mode):
        """Turns the nodes away ("busy": 503, "reset": connections are reset); None serves them again."""
        with self.condition:
            for name in names:
                self.away[name] = mode
            self.condition.notify_all()
        if mode:
            for name in names:
                self.doors[name].reset_connections()

    def silence_idle_connections(self, idle_s):
        """The connections without a call for that time carry nothing any more, in either direction; new ones work."""
        before = time.monotonic() - idle_s
        with self.condition:
            idle = [each for each in self.connections if not each.is_busy and each.used_at < before]
            for connection in idle:
                connection.is_silent = True
        return len(idle)

    def serve(self, call, name, body):
        """Answers one call, unless the node is turned away."""
        mode = self.away.get(name)
        if mode == "busy":
            call.answer(503)
            return
        if mode == "reset":
            reset(call.connection)
            call.close_connection = True
            return
        time.sleep(self.answer_s)
        url = urllib.parse.urlsplit(call.path)
        query = {key: values[0] for key, values in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/api/kv-range":
            self.answer_range(call, query)
        elif url.path == "/api/kv-watch":
            self.answer_watch(call, name, query)
        elif url.path == "/api/kv-txn" and call.command == "POST":
            self.answer_write(call, json.loads(body))
        else:
            call.answer(404)

    @staticmethod
    def answer_json(call, value, status=200):
        """Sends a JSON body."""
        call.answer(status, json.dumps(value).encode(), [("Content-Type", "application/json")])

    def answer_range(self, call, query):
        """One page."""
        with self.condition:
            keys = sorted(key for key in self.items
                          if key.startswith(query.get("prefix", "")) and key > query.get("after", ""))
            body = {"items": [self.items[key] for key in keys[:500]], "more_pages": len(keys) > 500,
                    "as_of": self.revision}
        self.answer_json(call, body)

    def answer_watch(self, call, name, query):
        """The events after a revision, as soon as there is one."""
        after, end = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        with self.condition:
            while True:
                if self.away.get(name):
                    return
                if not self.compacted <= after <= self.revision:
                    status = 410
                    break
                events = [event for event in self.events if event["revision"] > after]
                left = end - time.monotonic()
                if events or left <= 0:
                    status, body = 200, {"events": events, "as_of": self.revision}
                    break
                self.condition.wait(left)
        if status == 410:
            call.answer(410)
        else:
            self.answer_json(call, body)

    def answer_write(self, call, transaction):
        """All or nothing."""
        with self.condition:
            rows = transaction.get("expected") or []
            held = all(self.items.get(row["key"], {"revision": 0})["revision"] == row["revision"] for row in rows)
            if held:
                for put in transaction.get("puts") or []:
                    self.put_bytes(put["key"], base64.b64decode(put["value"]))
                for key in transaction.get("deletes") or []:
                    self.delete(key)
            body = {"revision": self.revision} if held else {
                "items": [self.items[row["key"]] for row in rows if row["key"] in self.items]}
        self.answer_json(call, body, 200 if held else 412)

    def put_bytes(self, key, value):
        """Writes an item."""
        with self.condition:
            self.revision += 1
            created = self.items.get(key, {"created_rev": self.revision})["created_rev"]
            item = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision,
                    "created_rev": created, "lease": 0}
            self.items[key] = item
            self.events.append(item)
            self.condition.notify_all()
            return time.monotonic()

    def put(self, key, value):
        """Writes a JSON document; returns the time of the confirmation."""
        return self.put_bytes(key, json.dumps(value).encode())

    def delete(self, key):
        """Removes an item; returns the time of the confirmation."""
        with self.condition:
            if key in self.items:
                self.revision += 1
                del self.items[key]
                self.events.append({"key": key, "revision": self.revision, "tombstone": True})
                self.condition.notify_all()
            return time.monotonic()

    def stop(self):
        """Ends all doors."""
        self.stopped.set()
        for door in self.doors.values():
            door.stop()


class Server:
    """A backend that registers itself and records what reaches it. Its pings change only `seq`, so they leave the entry
    as it is (PROTOCOL.md), and are not played."""

    def __init__(self, store, identity, service, work_s=0.005, zone="zone-a"):
        self.store, self.identity, self.service, self.work_s, self.zone = store, identity, service, work_s, zone
        self.work_time = lambda: self.work_s
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.slots = 8
        self.limit = None
        self.arrivals = []
        self.lock = threading.Lock()
        server = self

        class ServerHandler(Handler):
            """One request."""

            def handle_request(self):
                """Reads the body and runs the request."""
                length = int(self.headers.get("Content-Length", 0))
                server.serve(self, self.rfile.read(length) if length else b"")

            do_GET = do_POST = do_PUT = handle_request

        self.http = QuietServer(ServerHandler, (store.network.server_ip, 0))
        self.address = f"{store.network.server_ip}:{self.http.server_port}"
        self.register()

    def register(self):
        """Writes the entry; returns the time of the confirmation."""
        return self.store.put(f"servers/{self.identity}", self.entry())

    def entry(self):
        """The entry of its next ping."""
        with self.lock:
            self.sequence += 1
            return {"service": self.service, "addr": self.address, "zone": self.zone, "version": "1",
                    "slots": self.slots, "state": self.state, "warmup_left_ms": 0, "seq": self.sequence,
                    "born": self.born}

    def drain(self):
        """Reports that it drains; returns the time of the confirmation."""
        self.state = "draining"
        return self.register()

    def leave_unannounced(self):
        """Removes its entry without having reported that it drains, and serves on; returns the confirmation's time."""
        return self.store.delete(f"servers/{self.identity}")

    def serve(self, call, body):
        """Runs one request."""
        expected, request_id = call.headers.get("Expect-Instance"), call.headers.get("Request-Id", "")
        if call.path == "/health":
            call.answer(200, headers=[("Instance-Id", self.identity), ("Backend-Load", f"0,0,{self.slots}")])
            return
        if expected and expected != self.identity:
            call.answer(421, headers=[("Not-Executed", "1"), ("Request-Id", request_id)])
            return
        with self.lock:
            self.arrivals.append((time.monotonic(), request_id))
            number = len(self.arrivals)
        if not self.work(call):
            return
        headers = [("Request-Id", request_id), ("Server-Stamp", f"{self.identity}.{request_id}.{number}"),
                   ("Backend-Load", f"1,0,{self.slots}")]
        if self.limit is not None:
            headers.append(("Server-Limit", f"{self.limit}"))
        call.answer(200, f"{self.identity} {request_id}".ljust(32).encode(), headers)

    def work(self, call):
        """Waits for the work; False when the connection closed meanwhile."""
        ready, _, _ = select.select([call.connection], [], [], self.work_time())
        if not ready:
            return True
        try:
            return bool(call.connection.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def stop(self):
        """The process ends."""
        self.http.stop()


def render(text, fields, scopes=()):
    """Fills in a settings template as DEPLOY.md says: values, JSON values and sections."""

    def look(name):
        for scope in (*reversed(scopes), fields):
            value = scope
            for part in name.split("."):
                value = value.get(part) if isinstance(value, dict) else None
            if value is not None:
                return value
        return None

    def section(match):
        kind, name, inner = match.group(1), match.group(2), match.group(3)
        value = look(name)
        if kind == "^":
            return render(inner, fields, scopes) if value is None or value is False else ""
        return "" if value is None or value is False else render(inner, fields, scopes)

    def place(match):
        name, form = match.group(1), match.group(2)
        value = look(name)
        if form:
            return json.dumps(value)
        if value is None:
            return ""
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", place, text)


class Node:
    """A gateway process, started with the command and the template of the deploy file."""

    def __init__(self, run, name, seeds=None, zone="zone-a", bounds=None):
        self.run, self.name, self.zone = run, name, zone
        self.ip = run.network.node_ip()
        self.ports = {"front": 8226, "ready_addr": 8227, "control": 8224}
        self.bootstrap = True
        self.bounds = {"drain_ms": 3000, "grace_s": 6, "config_apply_ms": 3000, "retry_budget_ratio": 0.2,
                       "budget_window_s": 10, "budget_extra": 54, "stable_ms": 4000, **(bounds or {})}
        self.seeds = seeds
        self.process = None
        self.log_file = run.folder / f"{name}.log"
        self.store_address = run.store.door(name)

    @property
    def control(self):
        """Address for other nodes."""
        return f"{self.ip}:{self.ports['control']}"

    def write_settings(self):
        """Renders the settings that are in effect now; returns the file."""
        fields = {"node_name": self.name, "zone": self.zone, "ip": self.ip, "bootstrap": self.bootstrap,
                  "listen_addrs": {key: f"{self.ip}:{port}" for key, port in self.ports.items()},
                  "platform": {"addr": self.store_address}, "seeds": self.seeds, "limits": {"memory_mb": 260},
                  "bounds": self.bounds}
        settings = self.run.folder / f"{self.name}.conf"
        complete = settings.with_suffix(".new")
        complete.write_text(render(TEMPLATE.read_text(encoding="utf-8"), fields), encoding="utf-8")
        complete.rename(settings)
        return settings

    def start(self):
        """Starts the process with the settings in effect now."""
        settings = self.write_settings()
        environment = {"PATH": os.environ["PATH"], "HOME": str(self.run.folder), "LANG": "C.UTF-8",
                       "TOUCANGAUGE_SETTINGS": str(settings)}
        with open(self.log_file, "ab") as log:
            self.process = subprocess.Popen([str(GATEWAY)], cwd=ROOT, env=environment,  # pylint: disable=consider-using-with
                                            stdin=subprocess.DEVNULL, stdout=log, stderr=subprocess.STDOUT)
        self.bootstrap = False
        return self

    def ready(self):
        """Whether the readiness call answers 200."""
        try:
            connection = http.client.HTTPConnection(self.ip, self.ports["ready_addr"], timeout=1)
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def wait_ready(self, bound=15):
        """Waits until the node is ready."""
        end = time.monotonic() + bound
        while not self.ready():
            if time.monotonic() > end or self.process.poll() is not None:
                raise Unplayable(f"{self.name} did not become ready")
            time.sleep(0.05)

    def kill(self):
        """SIGKILL."""
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def events(self, name):
        """Log lines of the event."""
        text = self.log_file.read_text(encoding="utf-8", errors="replace") if self.log_file.exists() else ""
        return [line for line in text.splitlines() if f"event={name} " in line + " "]


class Unplayable(Exception):
    """The case could not run."""


class Network:
    """Loopback addresses of this run, chosen so that nothing listens on them."""

    def __init__(self):
        self.prefix = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        self.store_ip, self.server_ip = f"{self.prefix}.1", f"{self.prefix}.2"
        self.last = 10

    def node_ip(self):
        """Address of one more node."""
        self.last += 1
        return f"{self.prefix}.{self.last}"


class Run:
    """One run: the store, what was started, and the record."""

    def __init__(self, case):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="toucan-review-"))
        self.network = Network()
        self.store = Store(self.network)
        self.nodes, self.servers = [], []
        self.begin = time.monotonic()
        self.record_file = pathlib.Path(case) / "record.txt"
        self.record = open(self.record_file, "w", encoding="utf-8")  # pylint: disable=consider-using-with
        self.lock = threading.Lock()

    def note(self, text, at=None):
        """Writes one line to the record."""
        with self.lock:
            self.record.write(f"{(at or time.monotonic()) - self.begin:9.3f} {text}\n")

    def say(self, text):
        """Writes a line to the record and to standard output."""
        self.note(text)
        print(text, flush=True)

    def node(self, name, **options):
        """Adds a node; it is not started."""
        node = Node(self, name, **options)
        self.nodes.append(node)
        return node

    def server(self, identity, service, **options):
        """Starts a server."""
        server = Server(self.store, identity, service, **options)
        self.servers.append(server)
        return server

    def close(self):
        """Ends everything that was started."""
        for node in self.nodes:
            node.kill()
        for server in self.servers:
            server.stop()
        self.store.stop()
        self.record.close()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, **fields):
    """A route of the config."""
    return {"name": name, "host": HOST, "prefix": prefix, "route_kind": "idempotent", "timeout_ms": 2000,
            "goal_ms": 200, "priority": 1, "attempts": 2, **fields}


def config(version, routes, services, **fields):
    """A config."""
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": False}
                         for name in services],
            "limits": {"header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 2000,
                       "idle_timeout_ms": 15000}, **fields}


class Client:
    """A client with one kept connection to one node; it sends one request at a time."""

    def __init__(self, run, node, name):
        self.run, self.node, self.name = run, node, name
        self.connection = None
        self.number = 0
        self.outcomes = collections.Counter()
        self.refused = 0

    def send(self, path, method="GET", body=None, deadline_ms=2000, headers=None):
        """Sends one request; returns its id and the status, or None when the connection ended."""
        self.number += 1
        request_id = f"{self.name}-{self.number:05d}"
        at = time.monotonic()
        try:
            if self.connection is None:
                self.connection = http.client.HTTPConnection(
                    self.node.ip, self.node.ports["front"], timeout=deadline_ms / 1000 + 0.5)
                self.connection.connect()
                self.connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connection.request(method, path, body=body, headers={
                "Host": HOST, "Request-Id": request_id, "Deadline-Ms": str(deadline_ms), **(headers or {})})
            answer = self.connection.getresponse()
            answer.read()
            status = answer.status
            if answer.will_close:
                self.connection.close()
                self.connection = None
        except (OSError, http.client.HTTPException) as problem:
            self.refused += isinstance(problem, ConnectionRefusedError)
            if self.connection:
                self.connection.close()
            self.connection, status = None, None
        self.outcomes[status] += 1
        self.run.note(f"sent {request_id} {method} {path} to {self.node.name}, answered {status}", at)
        return request_id, at, status


def play(case, body):
    """Runs `body(run)`, which returns whether the rule held, and exits as the review asks."""
    if not GATEWAY.exists():
        print("target/toucan-gateway is missing")
        sys.exit(2)
    run = Run(case)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2
    try:
        code = 0 if body(run) else 1
    except Unplayable as problem:
        run.say(f"could not run: {problem}")
    finally:
        run.close()
    sys.exit(code)
