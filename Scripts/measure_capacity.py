#!/usr/bin/env python3
"""Measures how the cost of a node grows with the fleet, and the cost of the data path; docs/CAPACITY.md uses it.

    Scripts/measure_capacity.py > docs/capacity-output.txt

Three measurements, chosen with --only: "engine" (tg-bench, no I/O), "control" (fleets of real processes without load)
and "data" (a fleet under a fixed query load). Never more than 63 processes; the whole takes about five minutes.
"""

import argparse
import concurrent.futures
import dataclasses
import http.client
import json
import os
import re
import statistics
import subprocess
import sys
import tempfile
import threading
import time

from toucanfleet import Fleet, ROOT, call, checked, uuid7

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# Until all peers have dialled each other and key ranges are owned.
SETTLE_S = 10
# More threads would measure Python's lock instead of the nodes.
POLLING_THREADS = 8
POLL_PAUSE_S = 0.004
CHANGE_TIMEOUT_S = 20
CONTROL_KINDS = ("digest", "fetch", "fetched", "probe", "probed")
LOAD_SERVICE = "warehouse-packing"


def load_average():
    """One-minute load average of the machine, for a note beside each figure."""
    return round(os.getloadavg()[0], 1)


def cpu_seconds(pid):
    """User and system time of a process in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def memory_megabytes(pid):
    """Resident memory and its anonymous share in MiB."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        values = dict(re.findall(r"^(VmRSS|RssAnon):\s+(\d+) kB", file.read(), re.MULTILINE))
    return int(values["VmRSS"]) / 1024, int(values["RssAnon"]) / 1024


@dataclasses.dataclass
class NodeSample:
    """Counters of one node at one moment."""

    cpu: float
    resident: float
    anonymous: float
    metrics: dict


def node_metrics(fleet, name):
    """Samples without labels of a node's /metrics, by name."""
    host, port = fleet.nodes[name].admin.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    try:
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
    finally:
        connection.close()
    return {key: float(value) for key, value in re.findall(r"^([a-zA-Z_]+) (\S+)$", text, re.MULTILINE)}


def sample(fleet):
    """Samples all nodes; CPU time first, so that reading the metrics of one node costs no other."""
    cpu = {name: cpu_seconds(fleet.processes[name].pid) for name in fleet.nodes}
    return {name: NodeSample(cpu[name], *memory_megabytes(fleet.processes[name].pid), node_metrics(fleet, name))
            for name in fleet.nodes}


def store_calls(fleet):
    """Calls of the store and the VM list so far, by kind."""
    counters = checked(call(fleet.platform, "GET", "/control"))
    return {kind: value for kind, value in counters.items()
            if isinstance(value, (int, float)) and kind not in ("revision", "waitingWatches")}


def growth(before, after, seconds, metric):
    """Mean growth per node and second of a metric."""
    return statistics.mean(after[name].metrics.get(metric, 0) - before[name].metrics.get(metric, 0)
                           for name in after) / seconds


def spread(values):
    """Mean and maximum, rounded for print."""
    return {"mean": round(statistics.mean(values), 5), "max": round(max(values), 5)}


class ChangeTimer:
    """Applies small changes and measures when each node reports the new version."""

    def __init__(self, fleet, names):
        self.fleet = fleet
        self.names = list(names)

    def versions(self):
        """Highest version of all watched nodes."""
        return max(self.fleet.configuration_version(name)["version"] for name in self.names)

    def wait_for(self, names, version, times):
        """Polls a few nodes until each has the version; notes the time of each."""
        pending = set(names)
        end = time.monotonic() + CHANGE_TIMEOUT_S
        while pending and time.monotonic() < end:
            for name in sorted(pending):
                if self.fleet.configuration_version(name)["version"] >= version:
                    times[name] = time.monotonic()
                    pending.discard(name)
            time.sleep(POLL_PAUSE_S)

    def change(self, number):
        """One change; returns seconds from the end of tgctl apply and from its start, until the last node has it."""
        service = self.fleet.configuration["services"]["recipe-catalogue"]
        target = next(iter(service["targets"].values()))
        target["slots"] = 3 - number % 2
        folder = self.fleet.write_configuration()
        version = self.versions() + 1
        started = time.monotonic()
        run = self.fleet.tgctl("apply", folder)
        accepted = time.monotonic()
        if run.returncode:
            raise RuntimeError(f"tgctl apply ended with {run.returncode}: {run.stdout}{run.stderr}")
        times = {}
        groups = [self.names[index::POLLING_THREADS] for index in range(POLLING_THREADS)]
        with concurrent.futures.ThreadPoolExecutor(POLLING_THREADS) as pool:
            for done in [pool.submit(self.wait_for, group, version, times) for group in groups if group]:
                done.result()
        missing = set(self.names) - set(times)
        if missing:
            raise RuntimeError(f"version {version} is not in force after {CHANGE_TIMEOUT_S} s on {sorted(missing)}")
        last = max(times.values())
        return last - accepted, last - started

    def run(self, count):
        """Statistics of `count` changes, in milliseconds."""
        pairs = []
        for number in range(count):
            pairs.append(self.change(number))
            time.sleep(0.2)
        accepted = sorted(pair[0] * 1000 for pair in pairs)
        started = sorted(pair[1] * 1000 for pair in pairs)
        return {"changes": count, "nodes": len(self.names),
                "afterAcceptedMs": {"p50": round(statistics.median(accepted)), "max": round(accepted[-1])},
                "fromStartOfTgctlMs": {"p50": round(statistics.median(started)), "max": round(started[-1])},
                "loadAverage": load_average()}


def measure_quiet(fleet, seconds):
    """Costs of the nodes of a running fleet without load."""
    time.sleep(SETTLE_S)
    calls_before = store_calls(fleet)
    before = sample(fleet)
    started = time.monotonic()
    time.sleep(seconds)
    after = sample(fleet)
    elapsed = time.monotonic() - started
    calls_after = store_calls(fleet)
    kinds = {kind: round(growth(before, after, elapsed, f"toucan_frame_bytes_sent_{kind}_total"), 1)
             for kind in CONTROL_KINDS}
    return {
        "nodes": len(fleet.nodes), "targets": len(fleet.target_settings), "seconds": round(elapsed, 1),
        "cpuCores": spread([(after[name].cpu - before[name].cpu) / elapsed for name in after]),
        "residentMegabytes": spread([entry.resident for entry in after.values()]),
        "anonymousMegabytes": spread([entry.anonymous for entry in after.values()]),
        "controlBytesPerSecond": round(sum(kinds.values()), 1), "controlBytesPerSecondByKind": kinds,
        "framesPerSecond": round(growth(before, after, elapsed, "toucan_frames_sent_total"), 2),
        "targetPollsPerSecond": round(growth(before, after, elapsed, "toucan_target_polls_total"), 2),
        "storeCallsPerSecond": {kind: round((calls_after[kind] - calls_before.get(kind, 0)) / elapsed, 2)
                                for kind in calls_after},
        "loadAverage": load_average()}


def measure_control(nodes, variant, seconds, changes):
    """Costs of one fleet of real processes and the time of configuration changes in it."""
    with tempfile.TemporaryDirectory() as folder, Fleet(folder, "loeffelchen", variant, nodes) as fleet:
        result = measure_quiet(fleet, seconds)
        result["variant"] = variant
        if changes:
            result["configuration"] = ChangeTimer(fleet, fleet.nodes).run(changes)
    return result


def measure_paused(changes):
    """Configuration changes in a fleet of 10 of which one watcher is stopped with SIGSTOP."""
    with tempfile.TemporaryDirectory() as folder, Fleet(folder, "loeffelchen", "small", 10) as fleet:
        time.sleep(SETTLE_S)
        view = {name: checked(call(fleet.nodes[name].admin, "POST", "/rpc",
                                   {"jsonrpc": "2.0", "id": 1, "method": "view", "params": {}}))["result"]
                for name in fleet.nodes}
        watchers = [name for name, entry in view.items() if entry.get("watching")]
        paused = watchers[0] if watchers else next(iter(fleet.nodes))
        others = [name for name in fleet.nodes if name != paused]
        fleet.pause(paused)
        result = {"paused": paused, "watchers": watchers}
        try:
            result["others"] = ChangeTimer(fleet, others).run(changes)
        finally:
            fleet.resume(paused)
        resumed = time.monotonic()
        times = {}
        timer = ChangeTimer(fleet, others)
        timer.wait_for([paused], timer.versions(), times)
        result["resumedNodeMs"] = round((times[paused] - resumed) * 1000) if times else None
    return result


class QueryLoad:
    """Open-loop load of a fixed rate over persistent connections, bounded in time."""

    def __init__(self, fleet, rate, threads):
        self.fleet = fleet
        self.interval = threads / rate
        self.threads = threads
        self.statuses = {}
        self.latencies = []
        self.lock = threading.Lock()

    def run(self, seconds):
        """Sends until the time is up; returns when all threads have ended."""
        end = time.monotonic() + seconds
        with concurrent.futures.ThreadPoolExecutor(self.threads) as pool:
            for done in [pool.submit(self.send_until, end, number) for number in range(self.threads)]:
                done.result()

    def send_until(self, end, number):
        """Sends at fixed times to one node."""
        addresses = [node.caller for node in self.fleet.nodes.values()]
        host, port = addresses[number % len(addresses)].rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=5)
        body = json.dumps({"text": "carrot", "limit": 10})
        next_time = time.monotonic() + self.interval * number / self.threads
        while next_time < end:
            time.sleep(max(0, next_time - time.monotonic()))
            started = time.monotonic()
            headers = {"Content-Type": "application/json", "Toucan-Request-Id": uuid7()}
            try:
                connection.request("POST", f"/v1/services/{LOAD_SERVICE}/query", body, headers)
                response = connection.getresponse()
                response.read()
                status = response.status
            except (OSError, http.client.HTTPException) as error:
                connection.close()
                status = type(error).__name__
            with self.lock:
                self.statuses[str(status)] = self.statuses.get(str(status), 0) + 1
                self.latencies.append((time.monotonic() - started) * 1000)
            next_time += self.interval
        connection.close()


def measure_data(rate, seconds):
    """CPU time of all node processes per part request, end to end, above the cost of the idle fleet."""
    with tempfile.TemporaryDirectory() as folder, Fleet(folder, "loeffelchen", "full", 7) as fleet:
        idle = measure_quiet(fleet, 10)
        before = sample(fleet)
        started = time.monotonic()
        load = QueryLoad(fleet, rate, 14)
        load.run(seconds)
        elapsed = time.monotonic() - started
        after = sample(fleet)
    cpu = sum(after[name].cpu - before[name].cpu for name in after)
    idle_cpu = idle["cpuCores"]["mean"] * len(fleet.nodes) * elapsed
    parts = growth(before, after, 1, "toucan_target_calls_total") * len(after)
    queries = sum(load.statuses.values())
    ordered = sorted(load.latencies)
    shards = len(fleet.configuration["services"][LOAD_SERVICE]["snapshots"]["s1"]["shards"])
    return {"nodes": len(after), "service": LOAD_SERVICE, "shardsPerQuery": shards, "seconds": round(elapsed, 1),
            "queries": queries, "statuses": load.statuses, "parts": int(parts),
            "nodeCpuSeconds": round(cpu, 2), "idleCpuSeconds": round(idle_cpu, 2),
            "cpuMicrosecondsPerPart": round((cpu - idle_cpu) / parts * 1e6, 1) if parts else None,
            "cpuMicrosecondsPerQuery": round((cpu - idle_cpu) / queries * 1e6, 1) if queries else None,
            "latencyMs": {"p50": round(statistics.median(ordered), 1), "p99": round(ordered[len(ordered) * 99 // 100], 1)},
            "peerBytesPerPart": {kind: round(growth(before, after, 1, f"toucan_frame_bytes_sent_{kind}_total")
                                             * len(after) / parts, 1) for kind in ("parts", "results")},
            "loadAverage": load_average()}


def measure_engine():
    """Output of tg-bench for the fleet in two years and for smaller ones, to show what grows."""
    result = []
    for nodes, targets in ((470, 2500), (120, 2500), (470, 1600)):
        run = subprocess.run([ROOT / "build" / "tg-bench", "--nodes", str(nodes), "--targets", str(targets)],
                             capture_output=True, text=True, timeout=120, check=True)
        result.append(json.loads(run.stdout) | {"loadAverage": load_average()})
    return result


def show(title, value):
    """Prints one result at once, so that a broken run still leaves what it measured."""
    print(f"== {title}")
    print(json.dumps(value, indent=1), flush=True)


def main():
    """Runs the measurements and prints their results."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--only", choices=("engine", "control", "data"), action="append")
    parser.add_argument("--seconds", type=float, default=20, help="time of each fleet after settling")
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--fleets", type=int, nargs="*", default=(7, 20, 60))
    parser.add_argument("--rate", type=float, default=280, help="queries per second of the data path")
    arguments = parser.parse_args()
    chosen = arguments.only or ("engine", "control", "data")
    if any(nodes > 90 for nodes in arguments.fleets):
        sys.exit("A fleet has at most 90 nodes here; use tg-bench for more")
    if "engine" in chosen:
        for result in measure_engine():
            show(f"engine alone, {result['nodes']} nodes, {result['targets']} targets", result)
    if "control" in chosen:
        for nodes in arguments.fleets:
            show(f"control, {nodes} nodes", measure_control(nodes, "small", arguments.seconds, arguments.changes))
        show("control, 20 nodes, more targets", measure_control(20, "full", arguments.seconds, 0))
        show("control, 1 of 10 nodes paused", measure_paused(arguments.changes))
    if "data" in chosen:
        show("data path, 7 nodes", measure_data(arguments.rate, arguments.seconds))


if __name__ == "__main__":
    main()
