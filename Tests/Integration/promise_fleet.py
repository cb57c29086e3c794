"""Shared code of the tests of the promises: a small fleet, bounded load by tg-load, and the history checker."""

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
    """A fleet of two services. Its nodes stop without waiting for a balancer unless a test sets `stop_settings`."""

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
        """Stops all processes. Kills the nodes, because a planned stop takes time and the load has ended."""
        for name in self.nodes:
            self.kill(name)
        self.stop()

    def rule_of(self, service):
        """The rule of a service, given by name or as an object. Tests may change it before the fleet starts."""
        if isinstance(service, str):
            service = self.configuration["services"][service]
        return self.configuration["rules"][service["rule"]]

    def targets_of(self, service):
        """Names of the targets of a service, in the order of the configuration."""
        return list(self.configuration["services"][service]["targets"])

    def write_settings(self):
        """Writes all settings with the stop settings of the test and the store routes of the nodes."""
        super().write_settings()
        for name in self.nodes:
            path = self.folder / f"{name}.json"
            changes = {"stop": self.stop_settings}
            if f"store-{name}" in self.routes:
                changes["store"] = changes["vmList"] = self.routes[f"store-{name}"][0]
            write_json(path, json.loads(path.read_text(encoding="utf-8")) | changes)

    def write_configuration(self):
        """Writes the configuration, and records the shard count of every snapshot that it has contained."""
        self.shard_counts.update(check_history.snapshot_shards(self.configuration))
        return super().write_configuration()

    def set_snapshot(self, service, snapshot, sequence, shard_count):
        """Adds or replaces a snapshot in which two targets hold each shard; one target may hold several shards."""
        names = self.targets_of(service)
        shards = [[names[shard % len(names)], names[(shard + 1) % len(names)]] for shard in range(shard_count)]
        snapshots = self.configuration["services"][service]["snapshots"]
        snapshots[snapshot] = {"sequence": sequence, "shards": shards}
        for name in names:
            self.target_settings[name]["snapshots"] = held_shards(snapshots, name)

    def add_snapshot(self, service, snapshot, sequence, shard_count):
        """Adds a snapshot to the running targets of a service; apply() publishes it to the nodes."""
        self.set_snapshot(service, snapshot, sequence, shard_count)
        for name in self.targets_of(service):
            self.target_control(name, snapshots=self.target_settings[name]["snapshots"])

    def drop_snapshot(self, service, snapshot):
        """Removes a snapshot from all targets of a service; the configuration still lists it."""
        snapshots = dict(self.configuration["services"][service]["snapshots"])
        del snapshots[snapshot]
        for name in self.targets_of(service):
            self.target_control(name, snapshots=held_shards(snapshots, name))

    def give_own_store_route(self, node):
        """Gives one node its own proxy route to the store, named "store-NODE". Call it before the fleet starts."""
        self.routes[f"store-{node}"] = (self.ports.address(), self.platform)

    def copy_configuration(self, name):
        """Copies the configuration folder for another operator; returns the path of the copy."""
        return pathlib.Path(shutil.copytree(self.write_configuration(), self.folder / name))

    def platform_control(self, **faults):
        """Sets the faults of the store; see PlatformStandIn::control()."""
        return checked(call(self.platform, "POST", "/control", faults))

    def serving_version(self, node):
        """Configuration version in force on a node; None when the node is not ready or does not answer.

        Both values come from one response, because a starting node may become ready between two requests.
        """
        try:
            answer = call(self.nodes[node].admin, "GET", "/metrics", timeout_s=2)
            values = dict(re.findall(r"^(toucan_configuration_version|toucan_ready) (\d+)$", answer.text, re.M))
            return int(values["toucan_configuration_version"]) if values["toucan_ready"] == "1" else None
        except (OSError, http.client.HTTPException, KeyError):
            return None


@dataclasses.dataclass
class Acceptance:
    """An accepted configuration version; `time` is from time.monotonic()."""

    time: float
    version: int
    node: str = ""


class VersionWatch:
    """Polls the configuration version in force on each node, in one thread per node, until the context ends."""

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
        """Records versions with the time before each poll, so that a slow response does not count as a late version."""
        while not self.ended.wait(self.period_s):
            polled_at = time.monotonic()
            version = self.fleet.serving_version(name)
            if version is not None:
                self.seen[name].append((polled_at, version))

    def note_accepted(self, version):
        """Records that a version has been accepted now."""
        self.accepted.append(Acceptance(time.monotonic(), version))

    def note_resumed(self, name):
        """Records that a paused or disconnected node resumes now; its bound starts again, as it got no updates."""
        self.resumed[name] = time.monotonic()

    def breaches(self):
        """Yields breaches of P8: a version that goes back, or one that a ready node does not have within the bound."""
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
    """Yields breaches of P7: requests without a complete HTTP response, and queries with a status other than 200."""
    for line in callers:
        if line["status"] == 0 or line["kind"] == "query" and line["status"] != 200:
            yield f"P7 {line['kind']} {line['requestId']} at {line['node']}: {line['status']} {line['failure']}"


class LoadedFleet:
    """A fleet, the load on it and the histories of its callers."""

    def __init__(self, folder, **arguments):
        self.fleet = PromiseFleet(folder, **arguments)
        self.histories = []
        self.sent = []

    @contextlib.contextmanager
    def load(self, *mix, seconds, nodes=None, timeout_ms=5000):
        """Runs tg-load during the body of the `with` statement, which causes faults; waits until the load has ended."""
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
        """Sends one command with a given key and adds a line to the callers' history; returns the line."""
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
        """Lines of the callers' histories of a kind with status 200."""
        return [line for line in self.callers() if line["status"] == 200 and line["kind"] == kind]

    def target_lines(self):
        """All lines of the targets' history; complete after the fleet has stopped."""
        return check_history.read_lines([self.fleet.target_history])

    def outcomes(self, kind):
        """Number of the callers' lines of a kind by outcome."""
        return collections.Counter(line["outcome"] for line in self.callers() if line["kind"] == kind)

    def breaches(self):
        """Stops the fleet and returns the breaches that the history checker reports."""
        self.fleet.end()
        targets = self.target_lines()
        if not targets or not self.callers():
            raise RuntimeError("the history of the targets or of the callers is empty")
        return check_history.check(self.callers(), targets, self.fleet.shard_counts)


class PromiseTest(unittest.TestCase):
    """Base class of tests that run one fleet and check its histories."""

    def create_fleet(self, **arguments):
        """Creates a fleet that is not started yet and is stopped at the end of the test."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.loaded = LoadedFleet(folder.name, **arguments)
        self.fleet = self.loaded.fleet
        self.addCleanup(self.fleet.end)
        return self.fleet

    def assert_kept(self):
        """Asserts that the history checker reports no breach of any promise."""
        breaches = self.loaded.breaches()
        self.assertEqual(breaches[:5], [], f"{len(breaches)} breaches")

    def assert_broken(self, promise):
        """Asserts that the checker reports a breach of the given promise, which proves that the check can fail."""
        breaches = [breach for breach in self.loaded.breaches() if breach.startswith(promise)]
        self.assertTrue(breaches, f"no breach of {promise} was reported")
