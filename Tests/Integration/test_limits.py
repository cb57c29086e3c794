"""Tests with real processes: nodes keep the connection limit of a target, and send a draining one no new attempts."""

import json
import pathlib
import sys
import tempfile
import unittest
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "Scripts"))

from toucanfleet import Fleet, call, checked, write_json  # noqa: E402  (the path is set above)

SERVICE = "warehouse-packing"
UNLOADED_SERVICE = "recipe-catalogue"
CONNECTIONS = 4
DEADLINE_MS = 250
# The bound for an accepted configuration to be in force on all nodes, plus the deadline of the rule.
HANDOVER_S = 3 + DEADLINE_MS / 1000
# A draining target gets no new attempts after this time.
LEAVING_BOUND_S = 3


class QuickStopFleet(Fleet):
    """A fleet whose nodes stop without waiting for a balancer."""

    def write_settings(self):
        """Writes all settings with a short balancer lag."""
        super().write_settings()
        for name in self.nodes:
            path = self.folder / f"{name}.json"
            settings = json.loads(path.read_text(encoding="utf-8"))
            write_json(path, settings | {"stop": {"balancerLagMs": 50, "drainMs": 10000}})


class LimitsFleet(QuickStopFleet):
    """One service of 6 targets that accept 4 connections each, so that each of 3 dispatchers may hold one."""

    def __init__(self, folder, nodes, roster):
        super().__init__(folder, nodes=nodes)
        self.configuration["services"] = {SERVICE: self.configuration["services"][SERVICE]}
        self.target_settings = {name: settings | {"connections": CONNECTIONS, "slots": CONNECTIONS}
                                for name, settings in self.target_settings.items() if settings["service"] == SERVICE}
        for target in self.configuration["services"][SERVICE]["targets"].values():
            target.update(connections=CONNECTIONS, slots=CONNECTIONS)
        self.set_roster(roster)

    def set_roster(self, names):
        """Sets the nodes that may become dispatchers; apply() puts the roster in force."""
        self.configuration["fleet"]["nodes"] = {name: {"failureDomain": self.node_domains[name]} for name in names}

    def start_load(self, seconds, nodes, rate=60):
        """Starts bounded load on the nodes and returns the process."""
        settings = {"seed": 3, "durationMs": seconds * 1000, "timeoutMs": 2000, "connections": 20,
                    "mix": [{"service": SERVICE, "rate": rate}], "history": str(self.folder / "callers.jsonl"),
                    "nodes": [{"name": name, "address": self.nodes[name].caller} for name in nodes]}
        write_json(self.folder / "load.json", settings)
        return self.spawn("load", "tg-load", "--settings", self.folder / "load.json")

    def answers(self):
        """Waits until the load has ended; returns the lines of its history."""
        self.processes["load"].wait(30)
        text = (self.folder / "callers.jsonl").read_text(encoding="utf-8")
        return [json.loads(line) for line in text.splitlines()]

    def complete_share(self):
        """Share of complete answers in the history of the load."""
        lines = self.answers()
        complete = sum(1 for line in lines if line["status"] == 200 and line["coverage"]["whole"])
        return complete / len(lines)

    def connections(self):
        """Connection counters of all targets by name."""
        counters = self.target_counters()
        return {name: entry["connections"] for name, entry in counters.get("targets", counters).items()}


class LimitsTest(unittest.TestCase):
    """Each test runs a fleet under load and checks the connection counters of the targets."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def check_limit(self, fleet):
        """Asserts that no target had more connections than its limit, and that none was refused."""
        seen = fleet.connections()
        peaks = {name: (entry["peak"], entry["refused"]) for name, entry in seen.items()}
        print(f"connections (peak, refused): {sorted(peaks.values())}", end=" ", flush=True)
        for name, (peak, refused) in peaks.items():
            self.assertLessEqual(peak, CONNECTIONS, name)
            self.assertEqual(refused, 0, name)

    def test_roster_changes_under_load(self):
        """Guards against former dispatchers that keep their connections while new ones connect."""
        with LimitsFleet(self.folder, 5, ["entry-1", "entry-2", "entry-3"]) as fleet:
            fleet.start_load(14, fleet.nodes)
            for roster in (["entry-3", "entry-4", "entry-5"], ["entry-1", "entry-2", "entry-5"],
                           ["entry-2", "entry-3", "entry-4"]):
                time.sleep(HANDOVER_S + 0.5)
                fleet.set_roster(roster)
                fleet.apply()
            share = fleet.complete_share()
            self.check_limit(fleet)
            print(f"complete answers: {share:.4f}", end=" ", flush=True)
            # A target that no dispatcher may connect to would be unreachable until the delay of the handover ends.
            unreachable = [line for line in fleet.answers() if line["problem"] == "/problems/target-unreachable"]
            self.assertEqual(unreachable, [])
            self.assertGreater(share, 0.99)

    def test_node_outside_the_roster_and_overlapping_successor(self):
        """Guards against connections of a node outside the roster, and against a successor that exceeds its limit.

        A successor that starts before its predecessor has ended may use the spare share of the connection limit only.
        """
        with LimitsFleet(self.folder, 4, ["entry-1", "entry-2", "entry-3"]) as fleet:
            load = fleet.start_load(6, fleet.nodes)
            time.sleep(1)
            settings = json.loads((self.folder / "entry-1.json").read_text(encoding="utf-8"))
            settings |= {name: fleet.ports.address() for name in ("callerListen", "peerListen", "adminListen")}
            write_json(self.folder / "successor.json", settings)
            fleet.spawn("successor", "toucangauged", "--settings", self.folder / "successor.json")
            time.sleep(3)
            self.assertIsNone(load.poll())
            share = fleet.complete_share()
            self.check_limit(fleet)
            print(f"complete answers: {share:.4f}", end=" ", flush=True)

    def test_paused_carrier_during_a_roster_change(self):
        """Guards against new dispatchers that connect while a paused one holds connections that no node can close."""
        with LimitsFleet(self.folder, 5, ["entry-1", "entry-2", "entry-3"]) as fleet:
            fleet.start_load(9, ["entry-2", "entry-3", "entry-4", "entry-5"])
            time.sleep(1.5)
            fleet.pause("entry-1")
            fleet.set_roster(["entry-2", "entry-3", "entry-4"])
            fleet.apply()
            time.sleep(HANDOVER_S + 1.5)
            self.check_limit(fleet)
            fleet.resume("entry-1")
            fleet.complete_share()
            self.check_limit(fleet)
            view = fleet.connections()
            self.assertLessEqual(max(entry["now"] for entry in view.values()), 3)


class LeavingFleet(QuickStopFleet):
    """A service under load, and one without load, of whose targets only status polls report the state."""

    def __init__(self, folder):
        super().__init__(folder, nodes=5)
        services = (SERVICE, UNLOADED_SERVICE)
        self.configuration["services"] = {name: self.configuration["services"][name] for name in services}
        self.target_settings = {name: settings for name, settings in self.target_settings.items()
                                if settings["service"] in services}

    def start_load(self, seconds):
        """Starts bounded load on the first service."""
        settings = {"seed": 3, "durationMs": seconds * 1000, "timeoutMs": 2000, "connections": 20,
                    "mix": [{"service": SERVICE, "rate": 200}], "history": str(self.folder / "callers.jsonl"),
                    "nodes": [{"name": name, "address": node.caller} for name, node in self.nodes.items()]}
        write_json(self.folder / "load.json", settings)
        return self.spawn("load", "tg-load", "--settings", self.folder / "load.json")

    def list_as_leaving(self, target):
        """Adds a target to the VM list with the state "leaving"."""
        entries = json.loads((self.folder / "vms.json").read_text(encoding="utf-8"))
        definition = self.configuration["services"][SERVICE]["targets"][target]
        entries.append({"name": target, "address": definition["address"],
                        "failureDomain": definition["failureDomain"], "state": "leaving"})
        checked(call(self.platform, "POST", "/control", {"vms": entries}))

    def starts_after(self, moments):
        """Start times in seconds after the given wall-clock times, by target."""
        lines = [json.loads(line) for line in self.target_history.read_text(encoding="utf-8").splitlines()]
        return {target: sorted(line["time"] / 1000 - moment for line in lines if line["kind"] == "start"
                               and line["target"] == target and line["time"] / 1000 >= moment)
                for target, moment in moments.items()}


class LeavingTest(unittest.TestCase):
    """A draining target gets no new attempts, whichever signal reports its state."""

    def test_each_signal_stops_new_starts(self):
        """Guards against attempts at a draining target after 3 s, also while its own answers report "serving"."""
        with tempfile.TemporaryDirectory() as folder, LeavingFleet(folder) as fleet:
            load = fleet.start_load(9)
            time.sleep(2)
            by_signal = {"own state": f"{SERVICE}-t1", "configuration": f"{SERVICE}-t3", "VM list": f"{SERVICE}-t5",
                         "status poll": f"{UNLOADED_SERVICE}-t1"}
            moments = {}
            for signal in ("own state", "status poll"):
                # The target still accepts attempts, so that only the nodes can stop them.
                fleet.target_control(by_signal[signal], state="draining", drainGraceMs=60000)
                moments[by_signal[signal]] = time.time()
            moments[by_signal["VM list"]] = time.time()
            fleet.list_as_leaving(by_signal["VM list"])
            definition = fleet.configuration["services"][SERVICE]["targets"][by_signal["configuration"]]
            definition["draining"] = True
            fleet.apply()
            moments[by_signal["configuration"]] = time.time()
            time.sleep(1.5)
            for number in range(60):
                fleet.query(f"entry-{number % 5 + 1}", UNLOADED_SERVICE)
                time.sleep(0.05)
            load.wait(20)
            fleet.stop()
            starts = fleet.starts_after(moments)
        last = {signal: max(starts[target], default=0) for signal, target in by_signal.items()}
        print("seconds until the last start: "
              + ", ".join(f"{signal} {value:.2f}" for signal, value in last.items()), end=" ", flush=True)
        for signal, value in last.items():
            self.assertLessEqual(value, LEAVING_BOUND_S, signal)


if __name__ == "__main__":
    unittest.main()
