"""Stand-ins for the platform's store, its links, back ends and requesters, and gateway processes started as deploy/ says.

Everything runs in one asyncio loop; the gateways are separate processes. All addresses are loopback addresses: each
machine has an address of its own, because ports are the same on all machines.
"""

import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import re
import signal
import socket
import struct
import subprocess
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
FRONT, READY, CONTROL, METRICS = 8226, 8227, 8224, 9464


def now():
    """Seconds of the steady clock."""
    return time.monotonic()


def reset(writer):
    """Closes a connection with a TCP reset."""
    connection = writer.get_extra_info("socket")
    if connection is not None:
        try:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        except OSError:
            pass
    writer.transport.abort()


async def read_message(reader):
    """Reads one HTTP/1.1 message with a length or in chunks; returns its start line, header and body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head[:-4].split("\r\n")
    header = {}
    for line in lines:
        name, _, value = line.partition(":")
        header[name.strip().lower()] = value.strip()
    body = b""
    if header.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        while await reader.readuntil(b"\r\n") != b"\r\n":
            pass
    elif "content-length" in header:
        body = await reader.readexactly(int(header["content-length"]))
    return start, header, body


def write_answer(writer, status, header=(), body=b""):
    """Writes one answer with a length."""
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in header), f"Content-Length: {len(body)}"]
    writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


class Server:
    """Base class of servers: one task for each connection, keep-alive, one request at a time."""

    def __init__(self):
        self.server = None
        self.writers = set()

    async def listen(self, host, port=0):
        self.server = await asyncio.start_server(self.on_connection, host, port, backlog=512)
        self.host, self.port = self.server.sockets[0].getsockname()[:2]
        return self

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def on_connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start, header, body = await read_message(reader)
                await self.serve(reader, writer, start, header, body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        """Ends like a process: the listener goes, and all connections break."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


class Store(Server):
    """The platform's store: items with revisions, range reads, watches and transactions."""

    def __init__(self):
        super().__init__()
        self.items, self.events, self.revision = {}, [], 100
        self.changed = asyncio.Condition()

    async def put(self, key, value):
        """Writes a JSON value; the return is the confirmation."""
        self.revision += 1
        created = self.items.get(key, {"created_rev": self.revision})["created_rev"]
        item = {"key": key, "value": base64.b64encode(json.dumps(value).encode()).decode(),
                "revision": self.revision, "created_rev": created, "lease": 0}
        self.items[key] = item
        await self.tell(item)

    async def delete(self, key):
        """Removes a key; the return is the confirmation."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            await self.tell({"key": key, "revision": self.revision, "tombstone": True})

    async def tell(self, event):
        self.events.append(event)
        async with self.changed:
            self.changed.notify_all()

    async def serve(self, reader, writer, start, header, body):
        path, _, text = start.split(" ")[1].partition("?")
        query = dict(pair.partition("=")[::2] for pair in text.split("&") if pair)
        prefix = query.get("prefix", "").replace("%2F", "/")
        if path == "/api/kv-range":
            after = query.get("after", "").replace("%2F", "/")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            answer = {"items": [self.items[key] for key in keys[:500]], "more_pages": len(keys) > 500,
                      "as_of": self.revision}
        elif path == "/api/kv-watch":
            answer = await self.watch(prefix, int(query["after"]), int(query["wait_ms"]) / 1000)
        elif path == "/api/kv-txn":
            wanted = json.loads(body)
            failed = [row for row in wanted.get("expected", [])
                      if self.items.get(row["key"], {"revision": 0})["revision"] != row["revision"]]
            if failed or any(put["key"].startswith(("op/", "servers/")) for put in wanted.get("puts", [])):
                write_answer(writer, 412 if failed else 403, body=b'{"items": []}')
                return
            for put in wanted.get("puts", []):
                await self.put(put["key"], json.loads(base64.b64decode(put["value"])))
            for key in wanted.get("deletes", []):
                await self.delete(key)
            answer = {"revision": self.revision}
        else:
            write_answer(writer, 404)
            return
        write_answer(writer, 200, [("Content-Type", "application/json")], json.dumps(answer).encode())

    async def watch(self, prefix, after, seconds):
        end = now() + seconds
        while True:
            events = [event for event in self.events if event["revision"] > after and event["key"].startswith(prefix)]
            if events or now() >= end:
                return {"events": events, "as_of": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), end - now())
                except TimeoutError:
                    pass


class Link:
    """The path of one machine to the store. While it is cut, its connections are reset and new ones too."""

    def __init__(self, target):
        self.target, self.cut, self.writers = target, False, set()

    async def listen(self, host):
        self.server = await asyncio.start_server(self.on_connection, host, 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self

    def set_cut(self, cut):
        self.cut = cut
        for writer in list(self.writers) if cut else ():
            reset(writer)

    async def on_connection(self, reader, writer):
        if self.cut:
            reset(writer)
            return
        host, _, port = self.target.rpartition(":")
        other_reader, other_writer = await asyncio.open_connection(host, int(port))
        pair = {writer, other_writer}
        self.writers |= pair
        try:
            await asyncio.gather(self.pump(reader, other_writer), self.pump(other_reader, writer))
        except OSError:
            pass
        finally:
            self.writers -= pair
            for end in pair:
                end.close()

    @staticmethod
    async def pump(reader, writer):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
        writer.close()


class Backend(Server):
    """A back end: registers, runs requests that are meant for it, and says in each answer what it did."""

    numbers = itertools.count(1)

    def __init__(self, store, service, zone, record, work_s=0.02, slots=8):
        super().__init__()
        self.store, self.service, self.zone, self.record = store, service, zone, record
        self.work_s, self.slots, self.running, self.runs, self.sequence = work_s, slots, 0, 0, 0
        self.id = f"i-{service}-{next(self.numbers):04}"
        self.gone_at = None

    async def start(self, host="127.0.0.1"):
        await self.listen(host)
        self.born = int(time.time() * 1000)
        await self.register("ready")
        return self

    async def register(self, state):
        self.sequence += 1
        await self.store.put(f"servers/{self.id}", {
            "service": self.service, "addr": self.address, "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": state, "warmup_left_ms": 0, "seq": self.sequence, "born": self.born})

    async def leave(self, drain_s, longer_s, reports):
        """Leaves: reports that it drains, or only has its entry removed; serves on for drain_s and a little longer."""
        if reports:
            await self.register("draining")
        else:
            await self.store.delete(f"servers/{self.id}")
        self.gone_at = now()
        self.record(f"{self.id} {'is draining' if reports else 'has its entry removed'}: confirmed by the store")
        await asyncio.sleep(drain_s + longer_s)
        if reports:
            await self.store.delete(f"servers/{self.id}")
        self.record(f"{self.id} exits")
        self.close()

    async def serve(self, reader, writer, start, header, body):
        method, path, _ = start.split(" ")
        request = header.get("request-id", "-")
        if path == "/health":
            write_answer(writer, 200, [("Instance-Id", self.id), ("Backend-Load", f"{self.running},0,{self.slots}")])
            return
        if header.get("expect-instance", self.id) != self.id:
            write_answer(writer, 421, [("Not-Executed", "1"), ("Request-Id", request)])
            return
        if self.running >= 4 * self.slots:
            write_answer(writer, 503, [("Not-Executed", "1"), ("Request-Id", request)])
            return
        self.on_arrival(request, method, path)
        self.running += 1
        self.runs += 1
        stamp = f"{self.id}.{request}.{self.runs}"
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        write_answer(writer, 200, [("Request-Id", request), ("Server-Stamp", stamp),
                                   ("Backend-Load", f"{self.running},0,{self.slots}")], stamp.encode())

    def on_arrival(self, request, method, path):
        """For tests: called when a request begins to run."""


def free_addresses(count):
    """Loopback addresses on which the ports of a machine are free, one for each machine."""
    while True:
        base = f"127.{random.randrange(20, 120)}.{random.randrange(1, 250)}"
        addresses = [f"{base}.{number}" for number in range(11, 11 + count)]
        try:
            for address in addresses:
                for port in (FRONT, READY, CONTROL, METRICS):
                    with socket.socket() as probe:
                        probe.bind((address, port))
            return addresses
        except OSError:
            continue


def render(template, fields):
    """Fills in a settings template as DEPLOY.md says."""
    def value(path):
        found = fields
        for name in path.split("."):
            found = found.get(name) if isinstance(found, dict) else None
        return found

    def section(match):
        present = value(match[2]) not in (None, False)
        return render(match[3], fields) if present == (match[1] == "#") else ""

    template = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, template, flags=re.DOTALL)

    def plain(match):
        found = value(match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else ",".join(found) if isinstance(found, list) else str(found)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", plain, template)


class Machine:
    """A front machine with one gateway process."""

    def __init__(self, folder, name, zone, address, store_address, seeds, bounds):
        self.name, self.zone, self.address, self.process = name, zone, address, None
        self.fields = {
            "node_name": name, "zone": zone, "ip": address, "bootstrap": True,
            "listen_addrs": {"front": f"{address}:{FRONT}", "ready_addr": f"{address}:{READY}",
                             "control": f"{address}:{CONTROL}"},
            "platform": {"addr": store_address}, "seeds": [f"{seed}:{CONTROL}" for seed in seeds],
            "limits": {"memory_mb": 260}, "bounds": bounds}
        self.settings_file = pathlib.Path(folder) / f"{name}.conf"
        self.log_file = pathlib.Path(folder) / f"{name}.log"

    def write_settings(self, bootstrap):
        """Writes the settings file from the template of the deploy file; returns the role."""
        role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]["gateway"]
        self.fields["bootstrap"] = bootstrap or None
        template = (ROOT / role["template"]).read_text()
        self.settings_file.write_text(render(template, self.fields))
        return role

    def start(self, bootstrap):
        """Starts the command of the deploy file with the settings of its template."""
        role = self.write_settings(bootstrap)
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": os.environ.get("HOME", "/"), "LANG": "C",
                       "TOUCANGAUGE_SETTINGS": str(self.settings_file)}
        with open(self.log_file, "ab") as log:
            self.process = subprocess.Popen(role["run"].split(), cwd=ROOT, env=environment, stdout=log, stderr=log)

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def log(self):
        return self.log_file.read_text(errors="replace") if self.log_file.exists() else ""

    async def is_ready(self):
        try:
            status, _, _ = await ask(self.address, READY, "GET /ready", {}, b"", 1)
            return status == 200
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            return False


async def ask(host, port, start, header, body, seconds):
    """Sends one request on a new connection; returns status, header and body of its answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            lines = [f"{start} HTTP/1.1", *(f"{name}: {value}" for name, value in header.items())]
            if "Host" not in header:
                lines.append("Host: x")
            if body:
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            answer, fields, content = await read_message(reader)
            return int(answer.split(" ")[1]), fields, content
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), seconds)


def config(version, routes, services):
    """A config of the operator."""
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/health", "max_conns": 100, "protocol": "h1", "tls": False}
                         for name in services],
            "limits": {"header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 1000,
                       "idle_timeout_ms": 5000}}


def route(name, host, prefix, kind, **fields):
    """A route of a config."""
    return {"name": name, "host": host, "prefix": prefix, "route_kind": kind, "timeout_ms": 4000, "goal_ms": 400,
            "priority": 1, "attempts": 2, **fields}


SMALL_BOUNDS = {"retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 54, "drain_ms": 3000,
                "stable_ms": 4000, "config_apply_ms": 3000, "grace_s": 6}
