#!/usr/bin/env python3
"""Runs gateway processes under load with seeded random faults and checks the promises at the callers and the targets.

`python3 Scripts/gateway_soak.py --seed N` prints the faults and the breaches, and exits with 1 if there are breaches.
`--seconds S` runs random seeds for that time. All faults are external to the gateway processes: signals, a fault proxy
in front of each target and of the store, and misbehaving targets, relays, callers and store. They overlap and repeat.
"""

import argparse
import collections
import contextlib
import http.client
import json
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "Tests" / "Integration"))

from misbehaving_target import FORMS, MisbehavingServer, MisbehavingTarget, peak_memory_mb  # noqa: E402
from platform_standin import (HOST, GatewayProcess, Store, Target, configuration, free_port, route,  # noqa: E402
                              wait_until)

NODES = 4
RELAYS = 2
SHARDS = ("shard-0", "shard-1", "shard-2")
ZONES = ("wien-a", "graz-a", "linz-a")
CALLERS = 12
# Workspaces with their keys, and a key that no workspace has, with which each caller sends one of STRANGER_EVERY
# requests.
KEYS = {"acme": "soak-k3y-acme-77c1", "beta": "soak-k3y-beta-04fd", "caesar": "soak-k3y-caesar-e9a2"}
UNKNOWN_KEY, STRANGER_EVERY = "soak-k3y-unknown-1b6e", 20
# Maximum duration that inject() passes to a fault; some faults add a fixed time to it.
MAXIMUM_FAULT_S = 2.5
# Bounds that the users' platform requires. For RECOVERY_S after a disturbance of a node or the store, the bounds on
# latency, configuration versions and drains do not apply. All nodes share one budget of extra attempts per service.
DRAIN_S = 3.0
CONFIGURATION_S = 3.0
RECOVERY_S = 4.0
EXTRA_RATIO, EXTRA_ALLOWANCE, EXTRA_WINDOW_S = 0.2, 54, 10.0
DEADLINE_MS = 1000
# Bound on a node's peak memory on a machine of 160 MB, whatever targets, callers, relays and the store send.
MEMORY_MB = 48
# Time after which requests that were on their way to a target that wants none have arrived, and the number of later ones
# that may reach it.
TRANSIT_S, WAIT_ARRIVALS = 0.5, 2
# Most requests that may reach a target under a rate limit in any window, from nodes that have known the limit for
# TRANSIT_S.
LIMIT_WINDOW_S, LIMIT_FACTOR, LIMIT_EXTRA = 4.0, 1.5, 5
# Faults that the seeds before them were found without; a seed plays the same faults only among the same names.
NEWEST_FAULTS = frozenset({"fault_store_restored"})
NEW_FAULTS = frozenset({"fault_target_limits_rate"}) | NEWEST_FAULTS
NEWER_FAULTS = frozenset({"fault_target_leaves", "fault_target_turns_away"}) | NEW_FAULTS
# Tolerance beyond the deadline, for scheduling delays on a busy machine.
DEADLINE_SLACK_S = 0.5


class Proxy:
    """A tg-proxy process with one route per given address."""

    def __init__(self, targets):
        self.routes = {target: f"127.0.0.1:{free_port()}" for target in targets}
        self.control_port = free_port()
        arguments = [ROOT / "build" / "tg-proxy", "--control", f"127.0.0.1:{self.control_port}"]
        for target, listen in self.routes.items():
            arguments += ["--route", f"{listen}={target}"]
        self.process = subprocess.Popen(  # pylint: disable=consider-using-with
            arguments, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)

    def set_faults(self, target, **faults):
        """Replaces the faults of one route; without `faults`, clears them."""
        connection = http.client.HTTPConnection("127.0.0.1", self.control_port, timeout=5)
        connection.request("POST", f"/control/routes/{self.routes[target]}", json.dumps(faults))
        if connection.getresponse().status != 200:
            raise RuntimeError(f"tg-proxy rejected the faults {faults}")
        connection.close()

    def stop(self):
        """Kills the proxy."""
        self.process.kill()
        self.process.wait()


class ProxiedTarget(Target):
    """A target that registers the address of its proxy route."""

    # Address of the proxy route by port of the target.
    proxies = {}

    def register(self):
        self.sequence += 1
        address = self.proxies.get(self.port, f"127.0.0.1:{self.port}")
        self.store.put(f"servers/{self.identity}", {
            "service": self.service, "addr": address, "zone": self.zone, "version": "v1", "slots": 8,
            "state": self.state, "warmup_left_ms": 0, "seq": self.sequence, "born": self.born})


class History:
    """The callers' requests and answers, and the times of disturbances, drains and configuration versions."""

    def __init__(self):
        self.lock = threading.Lock()
        # Records of requests (with "id"), and breaches found during the run (with "breach").
        self.calls = []
        # Lists of start, end (None until then) and what was disturbed.
        self.disturbances = []
        # Time of the announcement and target, by identity.
        self.drains = {}
        # Targets that said in their answers that they leave, with the time since which they do, and the time of their
        # restart if there was one.
        self.leavings = []
        # Rate limits that targets have stated: start, end, requests per second and target.
        self.limits = []
        # Time of publication by the path prefix of the version's route.
        self.published_at = {}

    @contextlib.contextmanager
    def record_disturbance(self, what):
        """Records the enclosed block as a disturbance of a node or the store."""
        start = time.monotonic()
        entry = [start, None, what]
        self.disturbances.append(entry)
        try:
            yield
        finally:
            entry[1] = time.monotonic()

    def was_undisturbed(self, start, end):
        """Returns whether nodes and store were undisturbed from RECOVERY_S before `start` until `end`."""
        return all(entry[0] > end or (entry[1] is not None and entry[1] < start - RECOVERY_S)
                   for entry in self.disturbances)


class Soak:
    """One seeded run."""

    def __init__(self, seed, folder, report, without=frozenset(), check_memory=True):
        self.random = random.Random(seed)
        self.without = without
        self.memory_bound_mb = MEMORY_MB if check_memory else float("inf")
        self.seed = seed
        self.report = report
        self.history = History()
        self.store = Store()
        self.stopping = False
        self.version = 0
        self.version_prefixes = []
        ports = [free_port() for _ in range(3 * (len(SHARDS) + 1))]
        store_routes = [self.store.address]
        self.proxy = Proxy([f"127.0.0.1:{port}" for port in ports] + store_routes)
        ProxiedTarget.proxies = {port: self.proxy.routes[f"127.0.0.1:{port}"] for port in ports}
        self.targets = []
        for service in (*SHARDS, "single"):
            for zone in ZONES:
                self.targets.append(ProxiedTarget(self.store, f"{service}-{zone}", service, zone, ports.pop()))
        self.stopped_targets = []
        self.publish_configuration()
        self.misbehaving_relay = MisbehavingServer()
        relays = [f"127.0.0.1:{free_port()}" for _ in range(RELAYS)] + [self.misbehaving_relay.address]
        self.nodes = []
        for index in range(NODES):
            settings = {"relays": relays,
                        "relayListen": relays[index] if index < RELAYS else f"127.0.0.1:{free_port()}"}
            self.nodes.append(GatewayProcess(folder, self.proxy.routes[self.store.address], f"node-{index}",
                                             ZONES[index % 3], settings))
        self.reserved = set()
        self.reserved_lock = threading.Lock()

    # Configuration

    def publish_configuration(self):
        """Publishes the next configuration version, with one more route that shows whether the version is in force."""
        self.version += self.random.randint(1, 3)
        self.version_prefixes.append(f"/v{self.version}/")
        routes = [route("search", "/search/", gather=list(SHARDS), top_k=4, min_bound=0.6),
                  route("fetch", "/fetch/", service="single"),
                  route("pull", "/pull/", kind="non_idempotent", service="single")]
        routes += [route(f"added{prefix}", prefix, service="single") for prefix in self.version_prefixes]
        document = configuration(self.version, routes, [*SHARDS, "single"])
        document["tenants"] = [{"name": name, "api_keys": [key], "priority": 1} for name, key in KEYS.items()]
        self.store.put("op/config", document)
        self.history.published_at[self.version_prefixes[-1]] = time.monotonic()

    # Load

    def run_caller(self, number):
        """Sends requests to random nodes until the run ends, mostly on persistent connections. Nodes may be down."""
        source = random.Random(self.seed * 1000 + number)
        connections = {}
        count = 0
        while not self.stopping:
            count += 1
            node = source.randrange(NODES)
            kind = source.choices(("search", "fetch", "pull", "added"), (5, 3, 3, 1))[0]
            prefix = source.choice(self.version_prefixes[-3:]) if kind == "added" else f"/{kind}/"
            workspace = sorted(KEYS)[number % len(KEYS)] if count % STRANGER_EVERY else None
            self.send(connections, node, kind, f"{prefix}{count}", f"{self.seed}-{number}-{count}", workspace)
            time.sleep(source.uniform(0.0, 0.08))
        for connection in connections.values():
            connection.close()

    def send(self, connections, node, kind, path, request_id, workspace="acme"):
        """Sends one request, with an unknown key for the workspace None, and records its outcome."""
        record = {"id": request_id, "kind": kind, "path": path, "node": node, "at": time.monotonic(),
                  "pid": self.nodes[node].process.pid, "body": request_id.encode() if kind == "pull" else b"",
                  "status": None, "stamps": [], "missing": 0, "content": b"", "error": None, "workspace": workspace,
                  "kept": node in connections}
        try:
            connection = connections.pop(node, None) or http.client.HTTPConnection(
                "127.0.0.1", self.nodes[node].caller_port, timeout=DEADLINE_MS / 1000 + 2)
            connection.request("POST" if kind == "pull" else "GET", path, record["body"] or None,
                               {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": str(DEADLINE_MS),
                                "Authorization": "Token " + KEYS.get(workspace, UNKNOWN_KEY), "Tenant": "claimed"})
            response = connection.getresponse()
            record["content"] = response.read()
            record["headers"] = str(response.getheaders())
            record["status"] = response.status
            stamps = response.getheader("Part-Stamps") or response.getheader("Server-Stamp") or ""
            record["stamps"] = [stamp.strip() for stamp in stamps.split(",") if stamp.strip()]
            record["missing"] = int(response.getheader("Missing-Parts") or 0)
            if response.getheader("Connection") == "close":
                connection.close()
            else:
                connections[node] = connection
        except (OSError, http.client.HTTPException) as error:
            record["error"] = repr(error)
        record["end"] = time.monotonic()
        with self.history.lock:
            self.history.calls.append(record)

    # Faults

    def pick(self, candidates):
        """Reserves a random target, node or store without a fault; returns None if every candidate is reserved."""
        with self.reserved_lock:
            free = [candidate for candidate in candidates if candidate not in self.reserved]
            if not free:
                return None
            chosen = self.random.choice(free)
            self.reserved.add(chosen)
            return chosen

    def release(self, candidate):
        """Releases the reservation made by pick()."""
        with self.reserved_lock:
            self.reserved.discard(candidate)

    def fault_target_behaviour(self, seconds):
        """A target refuses requests, fails them, or loses, truncates or duplicates its answers."""
        target = self.pick(self.targets)
        if target:
            target.behaviour = self.random.choice(("shed", "run_and_reset", "fail", "truncate", "twice"))
            time.sleep(seconds)
            target.behaviour = None
            self.release(target)

    def fault_target_endless(self, seconds):
        """An additional target of a service sends an endless response, fast or slowly."""
        service = self.random.choice((*SHARDS, "single"))
        identity = f"{service}-endless-{self.random.randrange(10**6)}"
        target = MisbehavingTarget(self.store, identity, service, self.random.choice(ZONES),
                                   self.random.choice(FORMS), self.random.random() < 0.5)
        time.sleep(seconds)
        self.store.delete(f"servers/{identity}")
        target.stop()

    def fault_relay_endless(self, seconds):
        """A relay from which nodes may request updates sends an endless response, fast or slowly."""
        self.misbehaving_relay.start(self.random.choice(FORMS), self.random.random() < 0.5)
        time.sleep(seconds)
        self.misbehaving_relay.pause()

    def fault_caller_endless(self, seconds):
        """Callers send heads byte by byte, endless bodies or pipelined requests, or hold many idle connections."""
        node = self.random.choice(self.nodes)
        head = f"POST /pull/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: endless\r\n".encode()
        what = self.random.choice(("head", "body", "pipelined", "idle"))
        end = time.monotonic() + seconds
        with contextlib.ExitStack() as stack, contextlib.suppress(OSError):
            connections = [stack.enter_context(socket.create_connection(("127.0.0.1", node.caller_port), 1))
                           for _ in range(100 if what == "idle" else 10)]
            for connection in connections:
                connection.settimeout(0.05)
                if what == "body":
                    connection.sendall(head + b"Transfer-Encoding: chunked\r\n\r\n")
            piece = {"head": b"X", "body": b"1000\r\n" + b"x" * 0x1000 + b"\r\n", "idle": b"",
                     "pipelined": f"GET /none HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode() * 100}[what]
            while time.monotonic() < end and connections:
                for connection in list(connections):
                    try:
                        connection.sendall(piece)
                    except OSError:
                        connections.remove(connection)
                time.sleep(0.01)

    def fault_target_slow(self, seconds):
        """A target answers slowly or stalls for 2 s."""
        target = self.pick(self.targets)
        if target:
            target.delay = self.random.choice((0.05, 0.3, 2))
            time.sleep(seconds)
            target.delay = 0
            self.release(target)

    def fault_target_link(self, seconds):
        """The link to a target is delayed, cut, stalled or truncated, or loses the bytes of one direction."""
        target = self.pick(self.targets)
        if target:
            faults = self.random.choice(({"delayMs": 60}, {"cut": True}, {"blackhole": "toCaller"},
                                         {"blackhole": "toTarget"}, {"stall": True}, {"truncateAfter": 100}))
            self.proxy.set_faults(f"127.0.0.1:{target.port}", **faults)
            time.sleep(seconds)
            self.proxy.set_faults(f"127.0.0.1:{target.port}")
            self.release(target)

    def fault_target_replaced(self, seconds):
        """A target crashes without deregistering, another service reuses its address, and then the target restarts."""
        target = self.pick([target for target in self.targets if target.service != "single"])
        if target:
            target.crash()
            replacement = ProxiedTarget(self.store, f"{target.identity}-s{self.random.random()}", "other", target.zone,
                                        target.port)
            self.stopped_targets.append(replacement)
            time.sleep(0.5)
            self.store.delete(f"servers/{target.identity}")
            time.sleep(seconds)
            replacement.stop()
            self.replace_stopped(target)

    def fault_target_drains(self, seconds):
        """A target announces that it drains, keeps serving for a while and stops; then it restarts."""
        target = self.pick(self.targets)
        if target:
            target.drain()
            self.history.drains[target.identity] = (time.monotonic(), target)
            time.sleep(DRAIN_S + seconds)
            target.crash()
            self.store.delete(f"servers/{target.identity}")
            time.sleep(0.5)
            self.replace_stopped(target)

    def fault_target_leaves(self, seconds):
        """A target says in all its answers that it leaves and at times drains; then it is replaced or restarts."""
        target = self.pick(self.targets)
        if target:
            target.leaving = True
            self.history.leavings.append((time.monotonic(), target))
            if self.random.random() < 0.5:
                time.sleep(seconds / 2)
                target.drain()
                self.history.drains[target.identity] = (time.monotonic(), target)
            time.sleep(DRAIN_S + seconds)
            target.crash()
            if self.random.random() < 0.5:
                self.store.delete(f"servers/{target.identity}")
                time.sleep(0.5)
                self.replace_stopped(target)
                return
            # The same identity in a newer incarnation.
            self.stopped_targets.append(target)
            self.targets.remove(target)
            self.targets.append(ProxiedTarget(self.store, target.identity, target.service, target.zone, target.port))
            self.release(target)

    def fault_target_turns_away(self, seconds):
        """One target, or all of a service, refuse requests and say how long they want none."""
        service = self.random.choice((None, *SHARDS, "single"))
        targets = [target for target in self.targets if service in (None, target.service)]
        chosen = [self.pick([target]) for target in (targets if service else [self.random.choice(targets)])]
        for target in filter(None, chosen):
            target.retry_after = self.random.choice((0.3, 1, 2.5))
            target.behaviour = "shed"
        time.sleep(seconds)
        for target in filter(None, chosen):
            target.behaviour = target.retry_after = None
            self.release(target)

    def fault_target_limits_rate(self, seconds):
        """One target, or all of a service, state a rate limit for more than a window."""
        service = self.random.choice((None, *SHARDS, "single"))
        targets = [target for target in self.targets if service in (None, target.service)]
        chosen = [self.pick([target]) for target in (targets if service else [self.random.choice(targets)])]
        for target in filter(None, chosen):
            target.rate_limit = self.random.choice((2, 5.5, 12, 30))
        start = time.monotonic()
        time.sleep(LIMIT_WINDOW_S + seconds)
        for target in filter(None, chosen):
            self.history.limits.append((start, time.monotonic(), target.rate_limit, target))
            target.rate_limit = None
            self.release(target)

    def replace_stopped(self, target):
        """Replaces a stopped target by a new one with another identity at the same address."""
        self.stopped_targets.append(target)
        self.targets.remove(target)
        self.targets.append(ProxiedTarget(self.store, f"{target.identity.split('~')[0]}~{self.random.randrange(10**6)}",
                                          target.service, target.zone, target.port))
        self.release(target)

    def fault_store_restored(self, seconds):
        """The store returns from an older copy, once or twice; its writers write their entries again after a while."""
        if not self.pick([self.store]):
            return
        with self.history.record_disturbance("store"):
            for _ in range(self.random.randint(1, 2)):
                self.store.set_fault(self.random.choice((None, "refuse")))
                time.sleep(0.2)
                self.store.restore(self.random.uniform(0, 4))
                self.store.set_fault(None)
            time.sleep(self.random.uniform(0, min(seconds, 1.5)))
            self.store.rewrite()
        self.release(self.store)

    def fault_store(self, seconds):
        """The store refuses calls, does not answer, sends endless answers, is cut off, or loses its event history."""
        if not self.pick([self.store]):
            return
        with self.history.record_disturbance("store"):
            what = self.random.choice(("refuse", "silent", "endless", "cut", "history"))
            if what == "cut":
                self.proxy.set_faults(self.store.address, cut=True)
            elif what == "history":
                self.store.forget_history()
            else:
                self.store.set_fault(what)
            time.sleep(seconds)
            self.store.set_fault(None)
            self.proxy.set_faults(self.store.address)
        self.release(self.store)

    def fault_node_stops(self, seconds):
        """A node is stopped with SIGTERM and restarted."""
        self.restart_node(signal.SIGTERM, seconds / 4)

    def fault_node_killed(self, seconds):
        """A node is killed with SIGKILL and restarted."""
        self.restart_node(signal.SIGKILL, seconds / 2)

    def restart_node(self, number, pause):
        """Ends a node with a signal and restarts it after a pause."""
        node = self.pick(self.nodes)
        if node:
            with self.history.record_disturbance(f"node {node.name} signal {number}"):
                self.check_memory(node)
                code = node.stop(number)
                if number == signal.SIGTERM and code != 0:
                    self.history.calls.append({"breach": f"planned stop of {node.name} exited with code {code}"})
                time.sleep(pause)
                node.start(wait=False)
                time.sleep(0.5)
            self.release(node)

    def fault_node_paused(self, seconds):
        """A node is suspended with SIGSTOP and resumed with SIGCONT."""
        node = self.pick(self.nodes)
        if node:
            with self.history.record_disturbance(f"node {node.name} paused"):
                node.send_signal(signal.SIGSTOP)
                time.sleep(seconds)
                node.send_signal(signal.SIGCONT)
            self.release(node)

    def fault_node_reloaded(self, _seconds):
        """A node reloads its settings several times."""
        node = self.pick(self.nodes)
        if node:
            for _ in range(3):
                node.send_signal(signal.SIGHUP)
                time.sleep(0.05)
            self.release(node)

    def fault_configurations(self, _seconds):
        """Several configuration versions are published in quick succession."""
        for _ in range(self.random.randint(1, 4)):
            self.publish_configuration()
            time.sleep(0.1)

    def inject(self, seconds):
        """Starts overlapping faults, one every 0.2 to 1.5 s, for the given time, and waits until all have ended."""
        names = sorted(name for name in dir(self) if name.startswith("fault_") and name not in self.without)
        threads = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            name = self.random.choice(names)
            thread = threading.Thread(target=getattr(self, name), args=(self.random.uniform(0.3, MAXIMUM_FAULT_S),))
            thread.start()
            threads.append((name, thread))
            time.sleep(self.random.uniform(0.2, 1.5))
        for _, thread in threads:
            thread.join()
        self.report(f"seed {self.seed}: " + " ".join(name[len("fault_"):] for name, _ in threads))

    def run(self, seconds):
        """Runs the load and the faults, and returns the breaches."""
        try:
            for node in self.nodes:
                node.start(wait=False)
            for node in self.nodes:
                wait_until(node.ready, 10)
            callers = [threading.Thread(target=self.run_caller, args=(number,)) for number in range(CALLERS)]
            for thread in callers:
                thread.start()
            self.inject(seconds)
            time.sleep(1)
            self.check_recovered()
            self.stopping = True
            for thread in callers:
                thread.join()
            return HistoryChecker(self).breaches()
        finally:
            self.stopping = True
            for node in self.nodes:
                node.stop()
            self.proxy.stop()
            for target in (*self.targets, *self.stopped_targets):
                with contextlib.suppress(OSError):
                    target.server.stop()
            self.store.stop()

    def check_memory(self, node):
        """Records a breach if a node's peak memory exceeds its bound."""
        with contextlib.suppress(OSError, RuntimeError):
            if (memory := peak_memory_mb(node.process.pid)) > self.memory_bound_mb:
                self.history.calls.append({"breach": f"MEMORY: peak of {node.name} is {memory:.0f} MB"})

    def check_recovered(self):
        """Records a breach for each node that does not serve the last version in time after the faults have ended."""
        last = self.version_prefixes[-1]
        for index, node in enumerate(self.nodes):
            self.check_memory(node)
            end = time.monotonic() + CONFIGURATION_S + RECOVERY_S
            while True:
                self.send({}, index, "added", f"{last}x", f"recovered-{node.name}-{time.monotonic_ns()}")
                if self.history.calls[-1]["status"] == 200:
                    break
                if time.monotonic() > end:
                    self.history.calls.append({"breach": f"{node.name} does not serve {last} after the faults"})
                    break
                time.sleep(0.1)


class HistoryChecker:
    """Checks the recorded history of a run for breaches of the promises."""

    def __init__(self, soak):
        self.soak = soak
        self.calls = [call for call in soak.history.calls if "id" in call]
        self.found_breaches = [call["breach"] for call in soak.history.calls if "breach" in call]
        self.targets = [*soak.targets, *soak.stopped_targets]
        self.runs = collections.defaultdict(list)
        for target in self.targets:
            for run in target.runs:
                self.runs[run["id"]].append((target, run))

    def breaches(self):
        """Returns all breaches as lines of text."""
        self.check_answers()
        self.check_runs()
        self.check_versions()
        self.check_drains()
        self.check_leavings()
        self.check_waits()
        self.check_limits()
        self.check_extra_attempts()
        self.check_workspaces()
        self.check_keys_are_not_told()
        answered = sum(1 for call in self.calls if call["status"] == 200)
        self.soak.report(f"seed {self.soak.seed}: {len(self.calls)} requests, {answered} answered with success, "
                         f"{len(self.found_breaches)} breaches")
        if answered < len(self.calls) / 4:
            self.found_breaches.append(f"only {answered} of {len(self.calls)} requests were answered with success")
        return self.found_breaches

    def check_answers(self):
        """Successful answers are complete and belong to their request, and no answer is late."""
        for call in self.calls:
            name = f"{call['kind']} {call['id']} at node {call['node']}"
            if call["status"] == 200:
                if any(stamp.split(".")[1:2] != [call["id"]] for stamp in call["stamps"]) or not call["stamps"]:
                    self.found_breaches.append(f"MIXED: {name} got {call['stamps']}")
                elif call["kind"] == "search":
                    self.check_merge(call, name)
                elif call["content"] != self.records(call["stamps"], call["id"]):
                    self.found_breaches.append(f"MIXED: the body of {name} differs from the one that its target sent")
            if call["end"] - call["at"] > DEADLINE_MS / 1000 + DEADLINE_SLACK_S \
                    and self.soak.history.was_undisturbed(call["at"], call["end"]):
                self.found_breaches.append(f"LATE: {name} ended after {call['end'] - call['at']:.2f} s "
                                           f"with {call['status']}")

    @staticmethod
    def records(stamps, request_id):
        """Returns the records that the targets of these stamps send, in the order of the stamps."""
        return b"".join(f"{stamp.split('.')[0][:8]:8}{request_id[-7:]:>7}{index}".encode()
                        for stamp in stamps for index in range(2))

    def check_merge(self, call, name):
        """The parts are from distinct shards, Missing-Parts is correct, and the body has the greatest 4 records."""
        services = [stamp.rsplit("-", 2)[0] for stamp in call["stamps"]]
        if len(set(services)) != len(services) or len(services) + call["missing"] != len(SHARDS) or len(services) < 2:
            self.found_breaches.append(f"MIXED: {name} has parts of {services} and {call['missing']} missing")
        records = self.records(call["stamps"], call["id"])
        expected_records = sorted((records[at:at + 16] for at in range(0, len(records), 16)), reverse=True)[:4]
        if call["content"] != b"".join(expected_records):
            self.found_breaches.append(f"MIXED: the body of {name} is not the greatest records of its parts")

    def check_runs(self):
        """Targets run only requests that were sent, of their own service, and non-idempotent ones at most once.

        A non-idempotent request that was answered "not run" must not have run.
        """
        sent = {call["id"]: call for call in self.calls}
        for request_id, runs in self.runs.items():
            call = sent.get(request_id)
            if call is None:
                self.found_breaches.append(f"UNASKED: {request_id} ran but was not sent by a caller")
                continue
            for target, run in runs:
                expected = SHARDS if call["kind"] == "search" else ("single",)
                if target.service not in expected:
                    self.found_breaches.append(f"ROUTE: {request_id} ran at {target.service}")
                if "path" in run and (run["path"], run["body"]) != (call["path"], call["body"]):
                    self.found_breaches.append(f"UNASKED: {request_id} ran with another path or body")
            if call["kind"] == "pull":
                if len(runs) > 1:
                    self.found_breaches.append(f"TWICE: {request_id} ran {len(runs)} times")
                if call["status"] in (408, 421, 429, 503):
                    self.found_breaches.append(f"REFUSED: {request_id} ran but was answered with {call['status']}")

    def check_workspaces(self):
        """Only requests with a known key run, each for the workspace of its key, and none of them is denied."""
        sent = {call["id"]: call for call in self.calls}
        for target in self.targets:
            for arrival in target.arrivals:
                call = sent.get(arrival["id"])
                if call and arrival["headers"].get("Tenant") != call["workspace"]:
                    self.found_breaches.append(f"WORKSPACE: {arrival['id']} of {call['workspace']} reached "
                                               f"{target.identity} for {arrival['headers'].get('Tenant')}")
        for call in self.calls:
            denied = call["status"] in (400, 401, 403)
            if (denied and call["workspace"]) or (call["status"] == 200 and not call["workspace"]):
                self.found_breaches.append(f"WORKSPACE: {call['id']} of {call['workspace']} was answered with "
                                           f"{call['status']}")

    def check_keys_are_not_told(self):
        """No target, caller or reader of a log gets a key."""
        texts = {f"log of {node.name}": node.log() for node in self.soak.nodes}
        for target in self.targets:
            texts[f"requests at {target.identity}"] = str([arrival["headers"] for arrival in target.arrivals])
        texts["answers"] = str([(call.get("headers"), call["content"]) for call in self.calls])
        for place, text in texts.items():
            if any(key in text for key in (*KEYS.values(), UNKNOWN_KEY)):
                self.found_breaches.append(f"WORKSPACE: a key is in the {place}")

    def check_versions(self):
        """Each version is in force within CONFIGURATION_S, and stays in force for the lifetime of the process."""
        served = {}
        for call in sorted(self.calls, key=lambda entry: entry["at"]):
            if call["kind"] != "added":
                continue
            prefix = "/" + call["path"].split("/")[1] + "/"
            key = (call["pid"], prefix)
            if call["status"] == 200:
                served.setdefault(key, call["end"])
            elif call["status"] == 404:
                if key in served and served[key] < call["at"]:
                    self.found_breaches.append(f"CONFIG: node {call['node']} no longer serves {prefix}")
                due = self.soak.history.published_at[prefix] + CONFIGURATION_S
                if call["at"] > due and self.soak.history.was_undisturbed(self.soak.history.published_at[prefix],
                                                                          call["at"]):
                    self.found_breaches.append(f"CONFIG: node {call['node']} does not serve {prefix} "
                                               f"{call['at'] - due + CONFIGURATION_S:.2f} s after it was accepted")

    def check_drains(self):
        """A draining target receives no request more than DRAIN_S after its announcement."""
        for identity, (announced, target) in self.soak.history.drains.items():
            late = [arrival for arrival in target.arrivals if arrival["at"] > announced + DRAIN_S]
            if late and self.soak.history.was_undisturbed(announced, late[0]["at"]):
                self.found_breaches.append(f"DRAIN: {identity} received {late[0]['id']} "
                                           f"{late[0]['at'] - announced:.2f} s after it announced that it drains")

    def check_leavings(self):
        """A node that passed on an answer of a leaving target sends it nothing later than DRAIN_S afterwards.

        Only a restart or a pause of the node in between excuses it.
        """
        sent = {call["id"]: call for call in self.calls}
        for since, target in self.soak.history.leavings:
            told = self.told_nodes(target, since)
            for arrival in target.arrivals:
                call = sent.get(arrival["id"])
                passed_on = told.get((call["node"], call["pid"])) if call else None
                if passed_on and call["at"] > passed_on + DRAIN_S \
                        and not self.was_node_disturbed(call["node"], passed_on, arrival["at"]):
                    self.found_breaches.append(
                        f"DRAIN: {target.identity} received {arrival['id']} {arrival['at'] - passed_on:.2f} s after node "
                        f"{call['node']} had passed on that it leaves")
                    break

    def told_nodes(self, target, since):
        """Time at which each node process first passed on an answer that the target has sent after `since`."""
        ran = {run["id"] for run in target.runs if run["at"] > since}
        told = {}
        for call in sorted(self.calls, key=lambda entry: entry["end"]):
            stamped = any(stamp.split(".")[0] == target.identity for stamp in call["stamps"])
            if call["status"] == 200 and stamped and call["id"] in ran:
                told.setdefault((call["node"], call["pid"]), call["end"])
        return told

    def check_limits(self):
        """The nodes that were told of a target's rate limit keep to it together, but for LIMIT_FACTOR and LIMIT_EXTRA.

        Only a restart or a pause of a node since then excuses its requests.
        """
        sent = {call["id"]: call for call in self.calls}
        for since, until, limit, target in self.soak.history.limits:
            told = self.told_nodes(target, since)
            times = []
            for arrival in target.arrivals:
                call = sent.get(arrival["id"])
                passed_on = told.get((call["node"], call["pid"])) if call else None
                if passed_on and passed_on + TRANSIT_S < arrival["at"] < until \
                        and not self.was_node_disturbed(call["node"], passed_on, arrival["at"]):
                    times.append(arrival["at"])
            most = max((sum(start <= at < start + LIMIT_WINDOW_S for at in times) for start in times), default=0)
            if most > LIMIT_FACTOR * limit * LIMIT_WINDOW_S + LIMIT_EXTRA:
                self.found_breaches.append(f"LIMIT: {target.identity} received {most} requests in {LIMIT_WINDOW_S} s "
                                           f"under a limit of {limit} a second")

    def check_waits(self):
        """At most WAIT_ARRIVALS requests of a node reach a target that has told it to wait, apart from those in transit."""
        sent = {call["id"]: call for call in self.calls}
        for target in self.targets:
            for at, request_id, seconds in target.waits:
                refused = sent.get(request_id)
                if not refused or self.was_node_disturbed(refused["node"], at, at + seconds):
                    continue
                early = [arrival for arrival in target.arrivals if at + TRANSIT_S < arrival["at"] < at + seconds
                         and sent.get(arrival["id"], {}).get("node") == refused["node"]]
                if len(early) > WAIT_ARRIVALS:
                    self.found_breaches.append(f"BUDGET: {target.identity} received {len(early)} requests of node "
                                               f"{refused['node']} within {seconds} s for which it wanted none")
                    break

    def was_node_disturbed(self, node, start, end):
        """Whether the node was restarted or paused between two times."""
        name = f"node {self.soak.nodes[node].name} "
        return any(entry[2].startswith(name) and entry[0] <= end and (entry[1] is None or entry[1] >= start)
                   for entry in self.soak.history.disturbances)

    def check_extra_attempts(self):
        """In every window, the requests that arrive at targets more than once stay within the shared budget."""
        sent = {call["id"]: call for call in self.calls}
        for service in (*SHARDS, "single"):
            arrivals = sorted((arrival["at"], arrival["id"]) for target in self.targets if target.service == service
                              for arrival in target.arrivals)
            requests = sorted(call["at"] for call in sent.values() if (call["kind"] == "search") == (service in SHARDS))
            seen = set()
            extras = [at for at, request_id in arrivals if request_id in seen or seen.add(request_id)]
            for start in extras:
                extra_count = sum(1 for at in extras if start <= at < start + EXTRA_WINDOW_S)
                request_count = sum(1 for at in requests if start - 0.5 <= at < start + EXTRA_WINDOW_S)
                if extra_count > EXTRA_RATIO * request_count + EXTRA_ALLOWANCE:
                    self.found_breaches.append(f"BUDGET: {service} received {extra_count} extra attempts "
                                               f"for {request_count} requests")
                    break


def run_seed(seed, seconds, report=print, without=frozenset(), check_memory=True):
    """Runs one seed, without the named faults, and returns the breaches; keeps the logs if there are any."""
    with tempfile.TemporaryDirectory() as folder:
        breaches = Soak(seed, folder, report, without, check_memory).run(seconds)
        if breaches:
            kept = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
            for log in pathlib.Path(folder).glob("*.log"):
                log.rename(kept / log.name)
            report(f"seed {seed}: logs kept in {kept}")
        return breaches


def main():
    """Prints the breaches and exits with 1 if there are any."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, action="append", default=[], help="may be given several times")
    parser.add_argument("--faults-s", type=float, default=8, help="seconds during which each seed starts faults")
    parser.add_argument("--no-memory-bound", action="store_true", help="for builds with sanitizers, which need more")
    parser.add_argument("--seconds", type=float, default=0, help="run random seeds for this many seconds")
    arguments = parser.parse_args()
    failed = False
    end = time.monotonic() + arguments.seconds
    seeds = list(arguments.seed) or ([] if arguments.seconds else [1])
    while seeds or time.monotonic() < end:
        seed = seeds.pop(0) if seeds else random.SystemRandom().randrange(10**6)
        for breach in run_seed(seed, arguments.faults_s, check_memory=not arguments.no_memory_bound):
            failed = True
            print(f"seed {seed}: {breach}", flush=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
