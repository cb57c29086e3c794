#!/usr/bin/env python3
"""Measures how the cost of a node grows with the fleet, and the cost of the data path; docs/CAPACITY.md uses it.

    Scripts/measure_capacity.py > docs/capacity-output.txt

Three measurements, chosen with --only: "engine" (tg-bench, no I/O), "control" (fleets of real processes without load)
and "data" (a fleet under a fixed query load). At most 63 processes run at the same time; all measurements together take
about five minutes.
"""

import argparse
import concurrent.futures
import dataclasses
import http.client
import json
import os
import pathlib
import re
import statistics
import subprocess
import sys
import tempfile
import threading
import time

from toucanfleet import Fleet, ROOT, call, checked, uuid7

TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
# Time in which all peers connect to each other and all key ranges get an owner.
SETTLE_S = 10
# With more threads, contention for Python's interpreter lock would dominate the measured times.
POLLING_THREADS = 8
POLL_PAUSE_S = 0.004
CHANGE_TIMEOUT_S = 20
CONTROL_KINDS = ("digest", "fetch", "fetched", "probe", "probed")
LOAD_SERVICE = "warehouse-packing"


def load_average():
    """Returns the machine's load average over one minute, which is printed with each result."""
    return round(os.getloadavg()[0], 1)


def cpu_seconds(pid):
    """Returns the user and system CPU time of a process in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def memory_megabytes(pid):
    """Returns the resident and the anonymous resident memory of a process in MiB."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        values = dict(re.findall(r"^(VmRSS|RssAnon):\s+(\d+) kB", file.read(), re.MULTILINE))
    return int(values["VmRSS"]) / 1024, int(values["RssAnon"]) / 1024


@dataclasses.dataclass
class NodeSample:
    """CPU time in seconds, memory in MiB and metrics of one node at one time."""

    cpu: float
    resident: float
    anonymous: float
    metrics: dict


def node_metrics(fleet, name):
    """Returns the samples without labels of a node's /metrics, by name."""
    host, port = fleet.nodes[name].admin.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=5)
    try:
        connection.request("GET", "/metrics")
        text = connection.getresponse().read().decode()
    finally:
        connection.close()
    return {key: float(value) for key, value in re.findall(r"^([a-zA-Z_]+) (\S+)$", text, re.MULTILINE)}


def sample(fleet):
    """Samples all nodes; CPU times first, so that they do not include the cost of reading memory and metrics."""
    cpu = {name: cpu_seconds(fleet.processes[name].pid) for name in fleet.nodes}
    return {name: NodeSample(cpu[name], *memory_megabytes(fleet.processes[name].pid), node_metrics(fleet, name))
            for name in fleet.nodes}


def store_calls(fleet):
    """Returns the number of calls to the store and the VM list so far, by kind."""
    counters = checked(call(fleet.platform, "GET", "/control"))
    return {kind: value for kind, value in counters.items()
            if isinstance(value, (int, float)) and kind not in ("revision", "waitingWatches")}


def growth(before, after, seconds, metric):
    """Returns the mean growth of a metric per node and second."""
    return statistics.mean(after[name].metrics.get(metric, 0) - before[name].metrics.get(metric, 0)
                           for name in after) / seconds


def mean_and_max(values):
    """Returns the mean and the maximum, rounded for printing."""
    return {"mean": round(statistics.mean(values), 5), "max": round(max(values), 5)}


class ChangeTimer:
    """Applies small configuration changes and measures when each node reports the new version."""

    def __init__(self, fleet, node_names):
        self.fleet = fleet
        self.node_names = list(node_names)

    def highest_version(self):
        """Returns the highest version in force on the observed nodes."""
        return max(self.fleet.configuration_version(name)["version"] for name in self.node_names)

    def wait_for(self, node_names, version, times):
        """Polls nodes for up to CHANGE_TIMEOUT_S until each has the version; stores the time for each in `times`."""
        pending = set(node_names)
        end = time.monotonic() + CHANGE_TIMEOUT_S
        while pending and time.monotonic() < end:
            for name in sorted(pending):
                if self.fleet.configuration_version(name)["version"] >= version:
                    times[name] = time.monotonic()
                    pending.discard(name)
            time.sleep(POLL_PAUSE_S)

    def change(self, number):
        """Applies one change; returns the seconds until the last node has it, from the end and the start of tgctl."""
        service = self.fleet.configuration["services"]["recipe-catalogue"]
        target = next(iter(service["targets"].values()))
        target["slots"] = 3 - number % 2
        folder = self.fleet.write_configuration()
        version = self.highest_version() + 1
        started = time.monotonic()
        run = self.fleet.tgctl("apply", folder)
        accepted = time.monotonic()
        if run.returncode:
            raise RuntimeError(f"tgctl apply exited with code {run.returncode}: {run.stdout}{run.stderr}")
        times = {}
        groups = [self.node_names[index::POLLING_THREADS] for index in range(POLLING_THREADS)]
        with concurrent.futures.ThreadPoolExecutor(POLLING_THREADS) as pool:
            for done in [pool.submit(self.wait_for, group, version, times) for group in groups if group]:
                done.result()
        missing = set(self.node_names) - set(times)
        if missing:
            raise RuntimeError(f"version {version} is not in force after {CHANGE_TIMEOUT_S} s on {sorted(missing)}")
        last = max(times.values())
        return last - accepted, last - started

    def run(self, count):
        """Applies `count` changes and returns statistics of their times in milliseconds."""
        pairs = []
        for number in range(count):
            pairs.append(self.change(number))
            time.sleep(0.2)
        accepted = sorted(pair[0] * 1000 for pair in pairs)
        started = sorted(pair[1] * 1000 for pair in pairs)
        return {"changes": count, "nodes": len(self.node_names),
                "afterAcceptedMs": {"p50": round(statistics.median(accepted)), "max": round(accepted[-1])},
                "fromStartOfTgctlMs": {"p50": round(statistics.median(started)), "max": round(started[-1])},
                "loadAverage": load_average()}


def measure_idle(fleet, seconds):
    """Measures the cost of the nodes of a running fleet without load."""
    time.sleep(SETTLE_S)
    store_calls_before = store_calls(fleet)
    before = sample(fleet)
    started = time.monotonic()
    time.sleep(seconds)
    after = sample(fleet)
    elapsed = time.monotonic() - started
    store_calls_after = store_calls(fleet)
    kinds = {kind: round(growth(before, after, elapsed, f"toucan_frame_bytes_sent_{kind}_total"), 1)
             for kind in CONTROL_KINDS}
    return {
        "nodes": len(fleet.nodes), "targets": len(fleet.target_settings), "seconds": round(elapsed, 1),
        "cpuCores": mean_and_max([(after[name].cpu - before[name].cpu) / elapsed for name in after]),
        "residentMegabytes": mean_and_max([entry.resident for entry in after.values()]),
        "anonymousMegabytes": mean_and_max([entry.anonymous for entry in after.values()]),
        "controlBytesPerSecond": round(sum(kinds.values()), 1), "controlBytesPerSecondByKind": kinds,
        "framesPerSecond": round(growth(before, after, elapsed, "toucan_frames_sent_total"), 2),
        "targetPollsPerSecond": round(growth(before, after, elapsed, "toucan_target_polls_total"), 2),
        "storeCallsPerSecond": {kind: round((store_calls_after[kind] - store_calls_before.get(kind, 0)) / elapsed, 2)
                                for kind in store_calls_after},
        "loadAverage": load_average()}


def measure_control(nodes, variant, seconds, changes):
    """Measures the idle cost of a fleet of real processes and the time that configuration changes take in it."""
    with tempfile.TemporaryDirectory() as folder, Fleet(folder, "loeffelchen", variant, nodes) as fleet:
        result = measure_idle(fleet, seconds)
        result["variant"] = variant
        if changes:
            before, started = sample(fleet), time.monotonic()
            result["configuration"] = ChangeTimer(fleet, fleet.nodes).run(changes)
            after, elapsed = sample(fleet), time.monotonic() - started
            # Traffic above that of the idle fleet.
            result["configuration"]["sentBytesPerNodeAndChange"] = {
                kind: round((growth(before, after, 1, f"toucan_frame_bytes_sent_{kind}_total")
                             - result["controlBytesPerSecondByKind"][kind] * elapsed) / changes)
                for kind in ("digest", "fetch", "fetched")}
    return result


def measure_paused(changes):
    """Measures configuration changes in a fleet of 10 nodes while one watcher is suspended with SIGSTOP."""
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
        timer.wait_for([paused], timer.highest_version(), times)
        result["resumedNodeMs"] = round((times[paused] - resumed) * 1000) if times else None
    return result


class QueryLoad:
    """Load at a fixed rate over persistent connections.

    Each connection sends its next request after the answer to the previous one; a request that is late for this reason
    is sent at once. Latencies count from the time of sending, not from the scheduled time.
    """

    def __init__(self, fleet, rate, threads):
        self.fleet = fleet
        self.interval = threads / rate
        self.threads = threads
        self.statuses = {}
        self.latencies = []
        self.lock = threading.Lock()

    def run(self, seconds):
        """Sends requests for the given time; returns when all threads have ended."""
        end = time.monotonic() + seconds
        with concurrent.futures.ThreadPoolExecutor(self.threads) as pool:
            for done in [pool.submit(self.send_until, end, number) for number in range(self.threads)]:
                done.result()

    def send_until(self, end, number):
        """Sends requests to one node at fixed intervals until `end`."""
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
    """Measures the CPU time of all node processes per part request, less the CPU time of the idle fleet."""
    with tempfile.TemporaryDirectory() as folder, Fleet(folder, "loeffelchen", "full", 7) as fleet:
        idle = measure_idle(fleet, 10)
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
            "latencyMs": {"p50": round(statistics.median(ordered), 1),
                          "p99": round(ordered[len(ordered) * 99 // 100], 1)},
            "peerBytesPerPart": {kind: round(growth(before, after, 1, f"toucan_frame_bytes_sent_{kind}_total")
                                             * len(after) / parts, 1) for kind in ("parts", "results")},
            "loadAverage": load_average()}


def run_bench(*arguments):
    """Runs tg-bench; returns its output and the load average afterwards."""
    build = pathlib.Path(os.environ.get("TOUCAN_BUILD", ROOT / "build"))
    run = subprocess.run([build / "tg-bench", *map(str, arguments)], capture_output=True, text=True, timeout=300,
                         check=True)
    return json.loads(run.stdout) | {"loadAverage": load_average()}


def measure_engine():
    """Runs tg-bench for the fleet size expected in two years, with fewer nodes, and with fewer targets.

    The comparison shows which costs grow with the number of nodes or of targets.
    """
    return [run_bench("--nodes", nodes, "--targets", targets)
            for nodes, targets in ((470, 2500), (120, 2500), (470, 1600))]


def print_result(title, value):
    """Prints one result immediately, so that an aborted run keeps the results so far."""
    print(f"== {title}")
    print(json.dumps(value, indent=1), flush=True)


def main():
    """Runs the measurements and prints their results."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--only", choices=("engine", "control", "data"), action="append")
    parser.add_argument("--seconds", type=float, default=20, help="measured seconds per fleet, after a settling time")
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--fleets", type=int, nargs="*", default=(7, 20, 60))
    parser.add_argument("--rate", type=float, default=280, help="queries per second of the data measurement")
    arguments = parser.parse_args()
    chosen = arguments.only or ("engine", "control", "data")
    if any(nodes > 90 for nodes in arguments.fleets):
        sys.exit("--fleets: a fleet of real processes has at most 90 nodes; use tg-bench for larger fleets")
    if "engine" in chosen:
        for result in measure_engine():
            print_result(f"engine alone, {result['nodes']} nodes, {result['targets']} targets", result)
    if "control" in chosen:
        for nodes in arguments.fleets:
            print_result(f"control, {nodes} nodes",
                         measure_control(nodes, "small", arguments.seconds, arguments.changes))
        print_result("control, 20 nodes, more targets", measure_control(20, "full", arguments.seconds, 0))
        print_result("control, 1 of 10 nodes paused", measure_paused(arguments.changes))
    if "data" in chosen:
        print_result("data path, 7 nodes", measure_data(arguments.rate, arguments.seconds))


if __name__ == "__main__":
    main()
