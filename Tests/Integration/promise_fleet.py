"""What the tests of the promises share: a small fleet, bounded load by tg-load, and the verdict of the checker."""

import collections
import contextlib
import dataclasses
import http.client
import json
import pathlib
import re
import shutil
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "Scripts"))

import check_history  # noqa: E402  (the path is set above)
from toucanfleet import Fleet, call, checked, held_shards, uuid7, write_json  # noqa: E402

QUERIED = "warehouse-packing"
COMMANDED = "recipe-catalogue"


class PromiseFleet(Fleet):
    """A fleet of two services whose nodes stop without waiting for a balancer, unless a test asks for it."""

    stop_settings = {"balancerLagMs": 50, "drainMs": 10000}

    def __init__(self, folder, nodes=3, seed=1, proxied=()):
        super().__init__(folder, nodes=nodes, seed=seed, proxied=proxied)
        self.shard_counts = {}
        self.configuration["rules"] = json.loads(json.dumps(self.configuration["rules"]))
        self.configuration["services"] = {name: self.configuration["services"][name] for name in (QUERIED, COMMANDED)}
        self.target_settings = {name: settings for name, settings in self.target_settings.items()
                                if settings["service"] in (QUERIED, COMMANDED)}
        for service in self.configuration["services"].values():
            rule = self.rule_of(service)
            rule.update(deadlineMs=1000, minimumCoverage=1.0)
        self.routes = {name: route for name, route in self.routes.items()
                       if name in self.target_settings or name in self.nodes or name == "store"}

    def end(self):
        """Ends all processes, the nodes by SIGKILL: once the load has ended, a planned stop would only take time."""
        for name in self.nodes:
            self.kill(name)
        self.stop()

    def rule_of(self, service):
        """The rule of a service, given by name or as an object; tests change it before the start."""
        if isinstance(service, str):
            service = self.configuration["services"][service]
        return self.configuration["rules"][service["rule"]]

    def targets_of(self, service):
        """Names of the targets of a service in order."""
        return list(self.configuration["services"][service]["targets"])

    def write_settings(self):
        """Writes all settings, with the stop settings of the test."""
        super().write_settings()
        for name in self.nodes:
            path = self.folder / f"{name}.json"
            changes = {"stop": self.stop_settings}
            if f"store-{name}" in self.routes:
                changes["store"] = changes["vmList"] = self.routes[f"store-{name}"][0]
            write_json(path, json.loads(path.read_text(encoding="utf-8")) | changes)

    def write_configuration(self):
        """Writes the configuration and remembers the shard counts of all snapshots that ever were in it."""
        self.shard_counts.update(check_history.snapshot_shards(self.configuration))
        return super().write_configuration()

    def set_snapshot(self, service, snapshot, sequence, shard_count):
        """Adds a snapshot whose shards lie on two targets each, so that a target may hold two shards."""
        names = self.targets_of(service)
        shards = [[names[shard % len(names)], names[(shard + 1) % len(names)]] for shard in range(shard_count)]
        snapshots = self.configuration["services"][service]["snapshots"]
        snapshots[snapshot] = {"sequence": sequence, "shards": shards}
        for name in names:
            self.target_settings[name]["snapshots"] = held_shards(snapshots, name)

    def add_snapshot(self, service, snapshot, sequence, shard_count):
        """Repartitions a service while its targets run; apply() makes it known to the nodes."""
        self.set_snapshot(service, snapshot, sequence, shard_count)
        for name in self.targets_of(service):
            self.target_control(name, snapshots=self.target_settings[name]["snapshots"])

    def drop_snapshot(self, service, snapshot):
        """Takes a snapshot from all targets of a service; the configuration still has it."""
        snapshots = dict(self.configuration["services"][service]["snapshots"])
        del snapshots[snapshot]
        for name in self.targets_of(service):
            self.target_control(name, snapshots=held_shards(snapshots, name))


    def give_own_store_route(self, node):
        """Lets one node reach the platform by a route of its own, which is named "store-NODE"; before the start."""
        self.routes[f"store-{node}"] = (self.ports.address(), self.platform)

    def copy_configuration(self, name):
        """A copy of the configuration folder for another operator; returns its path."""
        return pathlib.Path(shutil.copytree(self.write_configuration(), self.folder / name))

    def platform_control(self, **faults):
        """Sets the faults of the store; see PlatformStandIn::control()."""
        return checked(call(self.platform, "POST", "/control", faults))

    def serving_version(self, node):
        """Version in force on a node while it is ready; None when it is not ready or does not answer.

        Both come from one answer: a node that starts may become ready between two questions.
        """
        try:
            answer = call(self.nodes[node].admin, "GET", "/metrics", timeout_s=2)
            values = dict(re.findall(r"^(toucan_configuration_version|toucan_ready) (\d+)$", answer.text, re.M))
            return int(values["toucan_configuration_version"]) if values["toucan_ready"] == "1" else None
        except (OSError, http.client.HTTPException, KeyError):
            return None


@dataclasses.dataclass
class Acceptance:
    """Time at which a version was accepted, or at which a node that had been paused went on."""

    time: float
    version: int
    node: str = ""


class VersionWatch:
    """Polls the versions in force on all nodes in a thread of its own, until it is closed."""

    bound_s = 3.0
    period_s = 0.05

    def __init__(self, fleet):
        self.fleet = fleet
        self.accepted = []
        self.resumed = {}
        self.seen = {name: [] for name in fleet.nodes}
        self.ended = threading.Event()
        self.threads = [threading.Thread(target=self.watch, args=(name,)) for name in fleet.nodes]
        for thread in self.threads:
            thread.start()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.ended.set()
        for thread in self.threads:
            thread.join()

    def watch(self, name):
        """Notes the time before each poll, so that a slow answer is not taken for a late version."""
        while not self.ended.wait(self.period_s):
            moment = time.monotonic()
            version = self.fleet.serving_version(name)
            if version is not None:
                self.seen[name].append((moment, version))

    def note_accepted(self, version):
        """Tells the watch that a version has been accepted at this moment."""
        self.accepted.append(Acceptance(time.monotonic(), version))

    def note_resumed(self, name):
        """Tells the watch that a paused node goes on; the bound counts anew for it, as it could not learn anything."""
        self.resumed[name] = time.monotonic()

    def breaches(self):
        """P8: versions never go back, and each is in force on every ready node within the bound."""
        for name, observations in self.seen.items():
            highest = 0
            for moment, version in observations:
                if version < highest:
                    yield f"P8 node {name} went back from version {highest} to {version}"
                highest = max(highest, version)
                if moment < self.resumed.get(name, 0) + self.bound_s and name in self.resumed:
                    continue
                late = [entry for entry in self.accepted
                        if entry.version > version and moment > entry.time + self.bound_s]
                if late:
                    yield f"P8 node {name} has version {version} {moment - late[0].time:.1f} s after {late[0].version}"


def check_uncut(callers):
    """P7: each request has a whole HTTP answer, and each query is answered with 200."""
    for line in callers:
        if line["status"] == 0 or line["kind"] == "query" and line["status"] != 200:
            yield f"P7 {line['kind']} {line['requestId']} at {line['node']}: {line['status']} {line['failure']}"


class LoadedFleet:
    """A fleet, its load and the histories of its callers."""

    def __init__(self, folder, **arguments):
        self.fleet = PromiseFleet(folder, **arguments)
        self.histories = []
        self.sent = []

    @contextlib.contextmanager
    def load(self, *mix, seconds, nodes=None, timeout_ms=5000):
        """Runs tg-load while the body of the `with` causes faults; ends when the load has ended."""
        history = self.fleet.folder / f"callers-{len(self.histories)}.jsonl"
        self.histories.append(history)
        settings = {"seed": self.fleet.seed, "durationMs": int(seconds * 1000), "timeoutMs": timeout_ms,
                    "connections": 200, "history": str(history), "mix": list(mix),
                    "nodes": [{"name": name, "address": address.caller, "admin": address.admin}
                              for name, address in self.fleet.nodes.items() if nodes is None or name in nodes]}
        path = history.with_suffix(".json")
        write_json(path, settings)
        process = self.fleet.spawn(f"load-{len(self.histories)}", "tg-load", "--settings", path)
        # tg-load polls the readiness of the nodes for 500 ms before its first request.
        time.sleep(0.5)
        yield
        process.wait(seconds + timeout_ms / 1000 + 20)
        if process.returncode:
            raise RuntimeError(f"tg-load failed: {self.fleet.log_tail(f'load-{len(self.histories)}')}")

    def send_command(self, node, key, timeout_s=5):
        """Sends one command with a given key and adds it to the callers' history; returns its line."""
        line = {"time": int(time.time() * 1000), "kind": "command", "requestId": uuid7(), "requestKey": key,
                "service": COMMANDED, "node": node, "status": 0, "failure": "broken", "outcome": "unknown"}
        try:
            answer = self.fleet.command(node, COMMANDED, key, key, request_id=line["requestId"], timeout_s=timeout_s)
            body = answer.body or {}
            hits = body.get("hits", [])
            line.update(status=answer.status, failure="none", outcome=body.get("outcome", "unknown"),
                        answeredRequestId=body.get("requestId"), snapshot=body.get("snapshot"),
                        hits=[hit["id"] for hit in hits], hitRequestIds=[],
                        hitRequestKeys=[hit["requestKey"] for hit in hits])
        except (OSError, http.client.HTTPException):
            pass
        self.sent.append(line)
        return line

    def callers(self):
        """All lines of the callers' histories."""
        return check_history.read_lines(self.histories) + self.sent

    def answered(self, kind="query"):
        """The lines of the callers that got a 200."""
        return [line for line in self.callers() if line["status"] == 200 and line["kind"] == kind]

    def target_lines(self):
        """All lines of the targets' history; complete once the fleet has ended."""
        return check_history.read_lines([self.fleet.target_history])

    def outcomes(self, kind):
        """Count of the callers' lines of a kind by outcome."""
        return collections.Counter(line["outcome"] for line in self.callers() if line["kind"] == kind)

    def breaches(self):
        """Ends the fleet and returns the breaches that the checker sees."""
        self.fleet.end()
        targets = self.target_lines()
        if not targets or not self.callers():
            raise RuntimeError("the targets or the callers have no history")
        return check_history.check(self.callers(), targets, self.fleet.shard_counts)


class PromiseTest(unittest.TestCase):
    """Starts one fleet per test and asks the checker."""

    def create_fleet(self, **arguments):
        """A fleet that is not started yet and that ends with the test."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.loaded = LoadedFleet(folder.name, **arguments)
        self.fleet = self.loaded.fleet
        self.addCleanup(self.fleet.end)
        return self.fleet

    def assert_kept(self):
        """The checker sees no breach of any promise."""
        breaches = self.loaded.breaches()
        self.assertEqual(breaches[:5], [], f"{len(breaches)} breaches")

    def assert_broken(self, promise):
        """The checker sees a breach of the given promise; a check that never fails would prove nothing."""
        breaches = [breach for breach in self.loaded.breaches() if breach.startswith(promise)]
        self.assertTrue(breaches, f"no breach of {promise} was reported")
