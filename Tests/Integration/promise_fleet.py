"""What the tests of the promises share: a small fleet, bounded load by tg-load, and the verdict of the checker."""

import contextlib
import json
import pathlib
import subprocess
import sys
import tempfile
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "Scripts"))

import check_history  # noqa: E402  (the path is set above)
from toucanfleet import Fleet, held_shards, write_json  # noqa: E402

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
            write_json(path, json.loads(path.read_text(encoding="utf-8")) | {"stop": self.stop_settings})

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


class PromiseTest(unittest.TestCase):
    """Starts one fleet per test and collects its histories."""

    def create_fleet(self, **arguments):
        """A fleet that is not started yet and that ends with the test."""
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = PromiseFleet(folder.name, **arguments)
        self.addCleanup(self.fleet.stop)
        self.histories = []
        return self.fleet

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
        self.assertEqual(process.returncode, 0, self.fleet.log_tail(f"load-{len(self.histories)}"))

    def callers(self):
        """All lines of the callers' histories."""
        return check_history.read_lines(self.histories)

    def answered(self, kind="query"):
        """The lines of the callers that got a 200."""
        return [line for line in self.callers() if line["status"] == 200 and line["kind"] == kind]

    def target_lines(self):
        """All lines of the targets' history; complete once the fleet has ended."""
        return check_history.read_lines([self.fleet.target_history])

    def breaches(self):
        """Ends the fleet and returns the breaches that the checker sees."""
        self.fleet.stop()
        targets = self.target_lines()
        self.assertTrue(targets, "the targets have no history")
        self.assertTrue(self.callers(), "the callers have no history")
        return check_history.check(self.callers(), targets, self.fleet.shard_counts)

    def assert_kept(self):
        """The checker sees no breach of any promise."""
        breaches = self.breaches()
        self.assertEqual(breaches[:5], [], f"{len(breaches)} breaches")

    def assert_broken(self, promise):
        """The checker sees a breach of the given promise; a check that never fails would prove nothing."""
        breaches = [breach for breach in self.breaches() if breach.startswith(promise)]
        self.assertTrue(breaches, f"no breach of {promise} was reported")
