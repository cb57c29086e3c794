#!/usr/bin/env python3
"""Runs a fleet of local processes (platform stand-in, targets, nodes, proxy) and stops exactly those that it started.

In a test, use it as a context manager:

    with Fleet(folder, "loeffelchen", "small") as fleet:
        answer = fleet.query("entry-1", "parent-app-1", {"text": "carrot"})

In a shell: `Scripts/toucanfleet.py --deployment agency --variant small --seconds 60`.
"""

import argparse
import dataclasses
import fcntl
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
# Below Linux's range of ephemeral ports, so that no outgoing connection takes a chosen port.
PORT_RANGE = range(15000, 32000)
PORT_BLOCK = 1000
READY_TIMEOUT_S = 20
STOP_TIMEOUT_S = 20


@dataclasses.dataclass(frozen=True)
class ServiceShape:
    """A group of `count` identical services with `targets` targets each; times in milliseconds."""

    name: str
    rule: str
    count: int
    targets: int
    slots: int
    connections: int
    connect_ms: float
    service_ms: float


@dataclasses.dataclass(frozen=True)
class Deployment:
    """The fleet of one user; see section 1.3 of docs/design.md. `domains` are the names of the failure domains."""

    domains: tuple
    shapes: tuple
    rules: dict
    nodes: int = 7


def rule(priority, deadline_ms, **members):
    """Returns one entry of "rules". Its deadline exceeds the objective, so that late answers can be counted."""
    return {"priority": priority, "deadlineMs": deadline_ms, "minimumCoverage": 1.0, "hedge": True,
            "hedgeQuantile": 0.95, "extraLoadBudget": 0.05, "replicaChoice": "load-aware", "queueLimit": 64,
            "ejection": True, "objective": {"latencyMs": 59, "ratio": 0.99}} | members


DEPLOYMENTS = {
    "loeffelchen": Deployment(
        domains=("wien-a", "wien-b", "graz-a", "linz-a"),
        shapes=(ServiceShape("parent-app", "parents", 10, 3, 2, 25, 6, 4),
                ServiceShape("donor-portal", "donors", 15, 3, 2, 25, 6, 4),
                ServiceShape("warehouse-packing", "packing", 1, 16, 2, 100, 1, 4),
                ServiceShape("recipe-catalogue", "recipes", 1, 8, 2, 100, 1, 4)),
        rules={"parents": rule("interactive", 250), "donors": rule("interactive", 250),
               "packing": rule("urgent", 250), "recipes": rule("background", 500, minimumCoverage=0.5)}),
    "agency": Deployment(
        domains=("liege", "namur", "charleroi"),
        shapes=(ServiceShape("lot-search", "gate", 10, 3, 5, 40, 6, 4),
                ServiceShape("hauler-billing", "billing", 15, 3, 5, 40, 6, 4),
                ServiceShape("certificate-archive", "archive", 1, 40, 2, 35, 1, 6),
                ServiceShape("crew-rostering", "rostering", 1, 20, 2, 35, 1, 4)),
        rules={"gate": rule("urgent", 250), "billing": rule("interactive", 500, extraLoadBudget=0.02),
               "archive": rule("background", 5000, extraLoadBudget=0.02, queueLimit=512,
                               objective={"latencyMs": 2000, "ratio": 0.99}),
               "rostering": rule("interactive", 500, extraLoadBudget=0.02)}),
}


def small(deployment):
    """Returns the deployment with fewer services, targets and nodes, for tests and the demo."""
    shapes = tuple(dataclasses.replace(shape, count=min(shape.count, 2), targets=min(shape.targets, 6))
                   for shape in deployment.shapes)
    return dataclasses.replace(deployment, shapes=shapes, nodes=3)


class Ports:
    """Allocates free loopback ports from a block that is locked for this process.

    Without the lock, a fleet of another process could bind a port between its allocation here and its use.
    """

    _lock = threading.Lock()
    _block_lock_file = None
    _block = None
    _next = 0

    @classmethod
    def _lock_block(cls):
        """Locks a block of ports for the lifetime of this process; all fleets of the process share it."""
        starts = list(range(PORT_RANGE.start, PORT_RANGE.stop - PORT_BLOCK + 1, PORT_BLOCK))
        random.SystemRandom().shuffle(starts)
        for start in starts:
            lock = open(pathlib.Path(tempfile.gettempdir()) / f"toucangauge-ports-{start}.lock", "w", encoding="utf-8")
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                lock.close()
                continue
            cls._block_lock_file = lock
            cls._block = range(start, start + PORT_BLOCK)
            cls._next = start - 1
            return
        raise RuntimeError("No free block of ports; stop other fleets on this machine")

    def take(self):
        """Returns a port that is currently unbound."""
        with Ports._lock:
            if Ports._block is None:
                Ports._lock_block()
            for _ in Ports._block:
                Ports._next = Ports._next + 1 if Ports._next + 1 in Ports._block else Ports._block.start
                if self._is_free(Ports._next):
                    return Ports._next
        raise RuntimeError("No free port in this process's block; stop other fleets of this process")

    @staticmethod
    def _is_free(port):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
            return True

    def address(self):
        """Returns a loopback address with a free port, as "IP:PORT"."""
        return f"{HOST}:{self.take()}"


def uuid7(time_ms=None):
    """Returns a UUIDv7 (RFC 9562, section 5.7) for the given Unix time in milliseconds, by default the current one."""
    unix_ms = int(time.time() * 1000) if time_ms is None else int(time_ms)
    value = (unix_ms & (1 << 48) - 1) << 80 | 7 << 76 | random.getrandbits(12) << 64 | 2 << 62 | random.getrandbits(62)
    text = f"{value:032x}"
    return "-".join((text[:8], text[8:12], text[12:16], text[16:20], text[20:]))


@dataclasses.dataclass
class Answer:
    """An HTTP response; `body` is the parsed JSON, or None if the text is not JSON."""

    status: int
    headers: dict
    body: object
    text: str
    elapsed_ms: float


def call(address, method, path, body=None, headers=None, timeout_s=10):
    """Sends one HTTP request over a new connection. Raises OSError or http.client.HTTPException without a response."""
    host, port = address.rsplit(":", 1)
    started = time.monotonic()
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        payload = None if body is None else json.dumps(body).encode()
        fields = {"Content-Type": "application/json"} if payload else {}
        connection.request(method, path, payload, fields | (headers or {}))
        response = connection.getresponse()
        text = response.read()
    finally:
        connection.close()
    try:
        parsed = json.loads(text)
    except ValueError:
        parsed = None
    fields = {name.lower(): value for name, value in response.getheaders()}
    return Answer(response.status, fields, parsed, text.decode(errors="replace"), (time.monotonic() - started) * 1000)


def shard_map(names, snapshot_sequence=1):
    """Returns one entry of "snapshots" with 2 replicas per shard.

    Three targets hold 3 shards, each on 2 of the 3; other numbers of targets hold half as many shards as targets.
    """
    if len(names) == 3:
        shards = [[names[index], names[(index + 1) % 3]] for index in range(3)]
    else:
        shards = [[names[index], names[index + 1]] for index in range(0, len(names) - 1, 2)]
    return {"sequence": snapshot_sequence, "shards": shards}


def held_shards(snapshots, target):
    """Returns the "snapshots" member of a target's settings: the shards that it holds of each snapshot."""
    return {snapshot: [index for index, replicas in enumerate(entry["shards"]) if target in replicas]
            for snapshot, entry in snapshots.items()}


@dataclasses.dataclass
class NodeAddresses:
    """Addresses on which one node listens."""

    caller: str
    peer: str
    admin: str


class Fleet:
    """A deployment in one folder. `configuration` and `target_settings` may be changed before start()."""

    def __init__(self, folder, deployment="loeffelchen", variant="small", nodes=None, seed=1, proxied=(), build=None):
        """`proxied` lists what is reached through tg-proxy: "targets", "peers", "store"."""
        self.folder = pathlib.Path(folder)
        self.build = pathlib.Path(build or os.environ.get("TOUCAN_BUILD", ROOT / "build"))
        self.deployment = DEPLOYMENTS[deployment] if variant == "full" else small(DEPLOYMENTS[deployment])
        self.seed = seed
        self.proxied = frozenset(proxied)
        self.ports = Ports()
        self.processes = {}
        self.exit_codes = {}
        self.routes = {}
        self.platform = self.ports.address()
        self.target_control_address = self.ports.address()
        self.proxy_control_address = self.ports.address()
        self.target_history = self.folder / "targets.jsonl"
        count = nodes or self.deployment.nodes
        self.node_domains = {f"entry-{index + 1}": self.deployment.domains[index % len(self.deployment.domains)]
                             for index in range(count)}
        self.nodes = {name: NodeAddresses(self.ports.address(), self.ports.address(), self.ports.address())
                      for name in self.node_domains}
        self.store = self._through_proxy("store", "store", self.platform)
        self.peer_addresses = {name: self._through_proxy("peers", name, addresses.peer)
                               for name, addresses in self.nodes.items()}
        self.configuration = {}
        self.target_settings = {}
        self._build_configuration()

    def __enter__(self):
        self.start()
        return self

    def __exit__(self, *_):
        self.stop()

    def _through_proxy(self, kind, name, address):
        """Returns the address that clients use; adds a route of the proxy if this kind is proxied."""
        if kind not in self.proxied:
            return address
        listen = self.ports.address()
        self.routes[name] = (listen, address)
        return listen

    def _build_configuration(self):
        """Fills in the configuration document and the targets' settings."""
        self.configuration = {
            "fleet": {"nodes": {name: {"failureDomain": domain} for name, domain in self.node_domains.items()},
                      "carriersPerTarget": 3, "routing": "carried", "watchers": 2, "keyRanges": 16},
            "classes": ["urgent", "interactive", "background"],
            "rules": self.deployment.rules,
            "services": {}}
        for shape in self.deployment.shapes:
            for index in range(shape.count):
                name = shape.name if shape.count == 1 else f"{shape.name}-{index + 1}"
                self._add_service(name, shape)

    def _add_service(self, name, shape):
        """Adds one service with its targets and its first snapshot."""
        names = [f"{name}-t{index + 1}" for index in range(shape.targets)]
        snapshots = {"s1": shard_map(names)}
        targets = {}
        for index, target in enumerate(names):
            listen = self.ports.address()
            targets[target] = {"address": self._through_proxy("targets", target, listen),
                               "failureDomain": self.deployment.domains[index % len(self.deployment.domains)],
                               "slots": shape.slots, "connections": shape.connections, "draining": False}
            self.target_settings[target] = {
                "name": target, "service": name, "address": listen, "slots": shape.slots,
                "connections": shape.connections, "connectMs": shape.connect_ms, "serviceMs": shape.service_ms,
                "jitter": 0.3, "coldStartMs": 0, "snapshots": held_shards(snapshots, target)}
        self.configuration["services"][name] = {"rule": shape.rule, "targets": targets, "snapshots": snapshots}

    # Files

    def write_configuration(self):
        """Replaces the configuration folder by the contents of `configuration` and returns its path."""
        folder = self.folder / "configuration"
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        fleet_and_classes = {name: self.configuration[name] for name in ("fleet", "classes")}
        write_json(folder / "00-fleet.json", fleet_and_classes)
        write_json(folder / "10-rules.json", {"rules": self.configuration["rules"]})
        for name, service in self.configuration["services"].items():
            write_json(folder / f"20-{name}.json", {"services": {name: service}})
        return folder

    def write_vms(self, states=None):
        """Writes the platform's VM list; `states` maps node name to "live" or "leaving"."""
        write_json(self.folder / "vms.json",
                   [{"name": name, "address": self.peer_addresses[name], "failureDomain": domain,
                     "state": (states or {}).get(name, "live")} for name, domain in self.node_domains.items()])

    def write_settings(self):
        """Writes the settings of targets and nodes, the VM list and the configuration folder."""
        (self.folder / "logs").mkdir(parents=True, exist_ok=True)
        self.write_configuration()
        self.write_vms()
        write_json(self.folder / "targets.json",
                   {"control": self.target_control_address, "history": str(self.target_history), "seed": self.seed,
                    "targets": list(self.target_settings.values())})
        for name, addresses in self.nodes.items():
            peers = [{"name": other, "address": address} for other, address in self.peer_addresses.items()
                     if other != name]
            settings = {"name": name, "failureDomain": self.node_domains[name], "callerListen": addresses.caller,
                        "peerListen": addresses.peer, "adminListen": addresses.admin, "store": self.store,
                        "vmList": self.platform, "peers": peers, "stop": {"balancerLagMs": 2000, "drainMs": 10000}}
            if "peers" in self.proxied:
                settings["peerAdvertise"] = self.peer_addresses[name]
            write_json(self.folder / f"{name}.json", settings)

    # Processes

    def spawn(self, name, program, *arguments):
        """Starts a program from the build folder; its output goes to logs/NAME.log."""
        with open(self.folder / "logs" / f"{name}.log", "ab") as log:
            command = [self.build / program, *map(str, arguments)]
            self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        return self.processes[name]

    def start_platform(self):
        """Starts tg-platform, which stands in for the store and the VM list."""
        self.spawn("platform", "tg-platform", "--listen", self.platform, "--vms", self.folder / "vms.json")
        self._wait_for_listener("platform", self.platform)

    def start_targets(self):
        """Starts tg-target, one process that runs all targets."""
        self.spawn("targets", "tg-target", "--settings", self.folder / "targets.json")
        self._wait_for_listener("targets", self.target_control_address)

    def start_proxy(self):
        """Starts tg-proxy if it has routes."""
        if not self.routes:
            return
        routes = [part for listen, to in self.routes.values() for part in ("--route", f"{listen}={to}")]
        self.spawn("proxy", "tg-proxy", "--control", self.proxy_control_address, "--seed", self.seed, *routes)
        self._wait_for_listener("proxy", self.proxy_control_address)

    def start_node(self, name):
        """Starts one node with its settings file."""
        return self.spawn(name, "toucangauged", "--settings", self.folder / f"{name}.json")

    def start(self):
        """Starts all processes, applies the configuration and waits until all nodes are ready."""
        self.write_settings()
        try:
            self.start_platform()
            self.start_targets()
            self.start_proxy()
            for name in self.nodes:
                self.start_node(name)
            self.apply()
            for name in self.nodes:
                self.wait_ready(name)
        except BaseException:
            self.stop()
            raise

    def stop(self):
        """Stops all processes: first those that a test added, then the nodes, then the rest. Returns `exit_codes`."""
        nodes = [name for name in self.processes if name in self.nodes]
        others = [name for name in ("proxy", "targets", "platform") if name in self.processes]
        extra = [name for name in self.processes if name not in nodes + others]
        for group in (extra, nodes, others):
            for name in group:
                self.signal(name, signal.SIGCONT)
                self.signal(name, signal.SIGTERM)
            for name in group:
                self.wait_exit(name)
        return dict(self.exit_codes)

    def wait_exit(self, name, timeout_s=STOP_TIMEOUT_S):
        """Waits for a process to end and returns its exit code. Kills it after the timeout, with exit code -9."""
        process = self.processes.pop(name, None)
        if process is None:
            return self.exit_codes.get(name)
        try:
            process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self.exit_codes[name] = process.returncode
        return process.returncode

    def signal(self, name, number):
        """Sends a signal to one of the started processes; does nothing if it has ended."""
        process = self.processes.get(name)
        if process and process.poll() is None:
            process.send_signal(number)

    def pause(self, name):
        """Suspends a process with SIGSTOP, like a paused VM."""
        self.signal(name, signal.SIGSTOP)

    def resume(self, name):
        """Resumes a paused process with SIGCONT."""
        self.signal(name, signal.SIGCONT)

    def kill(self, name):
        """Kills a process with SIGKILL, like a VM that fails, and returns its exit code."""
        self.signal(name, signal.SIGKILL)
        return self.wait_exit(name)

    def stop_node(self, name):
        """Shuts a node down gracefully with SIGTERM and returns its exit code."""
        self.signal(name, signal.SIGTERM)
        return self.wait_exit(name)

    def _wait_for_listener(self, name, address):
        """Waits until a process accepts connections."""
        host, port = address.rsplit(":", 1)
        self._wait_until(name, lambda: not socket.create_connection((host, int(port)), 1).close())

    def _wait_until(self, name, check):
        """Polls `check` until it is true. OSError and HTTPException count as false.

        Raises RuntimeError if the process ends or READY_TIMEOUT_S has passed.
        """
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            process = self.processes.get(name)
            if process is None or process.poll() is not None:
                raise RuntimeError(f"{name} ended too early; see {self.folder}/logs/{name}.log\n{self.log_tail(name)}")
            try:
                if check():
                    return
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.02)
        raise RuntimeError(f"{name} is not ready after {READY_TIMEOUT_S} s\n{self.log_tail(name)}")

    def log_tail(self, name):
        """Returns the last 2000 characters of a process's log."""
        path = self.folder / "logs" / f"{name}.log"
        return path.read_text(encoding="utf-8", errors="replace")[-2000:] if path.exists() else ""

    # Operators

    def tgctl(self, *arguments, timeout_s=30):
        """Runs tgctl with the store's address and returns the finished process."""
        return subprocess.run([self.build / "tgctl", *map(str, arguments), "--store", self.platform],
                              capture_output=True, text=True, timeout=timeout_s, check=False)

    def apply(self):
        """Writes and applies the configuration. Raises RuntimeError with tgctl's output if tgctl fails."""
        run = self.tgctl("apply", self.write_configuration())
        if run.returncode:
            raise RuntimeError(f"tgctl apply exited with code {run.returncode}: {run.stdout}{run.stderr}")
        return run.stdout

    def ready(self, name):
        """Returns whether a node's admin address reports that it is ready."""
        return call(self.nodes[name].admin, "GET", "/ready", timeout_s=2).status == 200

    def wait_ready(self, name):
        """Waits until a node is ready."""
        self._wait_until(name, lambda: self.ready(name))

    def configuration_version(self, name):
        """Returns the configuration version in force on a node, read by JSON-RPC from its admin address."""
        request = {"jsonrpc": "2.0", "id": 1, "method": "configurationVersion", "params": {}}
        return call(self.nodes[name].admin, "POST", "/rpc", request).body["result"]

    # Callers

    def query(self, node, service, body=None, deadline_ms=None, priority=None, request_id=None, timeout_s=10):
        """Sends an idempotent query to one node."""
        headers = {"Toucan-Request-Id": request_id or uuid7()}
        if deadline_ms is not None:
            headers["Toucan-Deadline-Ms"] = str(deadline_ms)
        if priority is not None:
            headers["Toucan-Priority"] = priority
        return call(self.nodes[node].caller, "POST", f"/v1/services/{service}/query", body or {}, headers, timeout_s)

    def command(self, node, service, record, key=None, deadline_ms=None, request_id=None, timeout_s=10):
        """Sends a non-idempotent request to one node, by default with a new request key."""
        headers = {"Toucan-Request-Id": request_id or uuid7(), "Toucan-Request-Key": key or uuid7()}
        if deadline_ms is not None:
            headers["Toucan-Deadline-Ms"] = str(deadline_ms)
        return call(self.nodes[node].caller, "POST", f"/v1/services/{service}/command", {"record": record}, headers,
                    timeout_s)

    # Faults

    def target_control(self, target, **change):
        """Changes the behaviour of one target; `change` is described at TargetStandIn::control()."""
        return checked(call(self.target_control_address, "POST", f"/control/targets/{target}", change))

    def target_counters(self):
        """Returns the counters of all targets by name."""
        return checked(call(self.target_control_address, "GET", "/control"))

    def proxy_control(self, name, **faults):
        """Replaces the faults of the proxy's route to a target, a node or "store"; without `faults`, clears them."""
        return checked(call(self.proxy_control_address, "POST", f"/control/routes/{self.routes[name][0]}", faults))

    def proxy_counters(self):
        """Returns the counters of all proxy routes by listen address."""
        return checked(call(self.proxy_control_address, "GET", "/control"))


def checked(answer):
    """Returns the body of a control response. Raises RuntimeError unless its status is 200."""
    if answer.status != 200:
        raise RuntimeError(f"control request failed with status {answer.status}: {answer.body}")
    return answer.body


def write_json(path, value):
    """Replaces a JSON file atomically, so that no reader sees a partial file."""
    temporary = path.with_suffix(".tmp")
    temporary.write_text(json.dumps(value, indent=2) + "\n", encoding="utf-8")
    temporary.replace(path)


def main():
    """Runs a fleet for the given number of seconds and prints its addresses."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="loeffelchen")
    parser.add_argument("--variant", choices=("small", "full"), default="small")
    parser.add_argument("--nodes", type=int)
    parser.add_argument("--folder", help="default: a temporary folder")
    parser.add_argument("--seconds", type=float, default=60)
    parser.add_argument("--proxied", nargs="*", default=(), choices=("targets", "peers", "store"))
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary:
        fleet = Fleet(arguments.folder or temporary, arguments.deployment, arguments.variant, arguments.nodes,
                      proxied=arguments.proxied)
        with fleet:
            nodes = {name: dataclasses.asdict(node) for name, node in fleet.nodes.items()}
            print(json.dumps({"store": fleet.store, "targetControl": fleet.target_control_address, "nodes": nodes},
                             indent=2), flush=True)
            try:
                time.sleep(arguments.seconds)
            except KeyboardInterrupt:
                pass
    print(json.dumps(fleet.exit_codes))
    sys.exit(1 if any(fleet.exit_codes.values()) else 0)


if __name__ == "__main__":
    main()
