#!/usr/bin/env python3
"""Compares the current routing with a baseline under the same seeded load with real local processes.

The baseline uses direct routing and random replica choice, without hedging, ejection and limits. See
docs/MEASUREMENTS.md.
"""

import argparse
import collections
import concurrent.futures
import copy
import dataclasses
import json
import math
import os
import pathlib
import shutil
import subprocess
import sys
import threading
import time

sys.dont_write_bytecode = True
ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "Scripts"))

import check_history  # noqa: E402  (the path is set above)
import toucanfleet  # noqa: E402

# Time after its planned duration by which a load generator must have ended.
LOAD_GRACE_S = 20
# Above this 99th percentile of scheduling delay, other work on the machine dominates the latencies of a run.
DISTURBED_MS = 2
SERVICE_MS = 8
# Mean of the lognormal factor with sigma 0.3 by which the target stand-in multiplies its service times.
MEAN_JITTER = 1.046
OVERLOAD_START_MS = 6000
OVERLOAD_END_MS = 14000
RECOVERY_MS = 5000


@dataclasses.dataclass(frozen=True)
class Plan:
    """Settings of one run.

    `loads` maps a label to a mix of tg-load, `slow` names the slow targets, `events` are (ms after the start, target,
    change), and `steps` are changes of the load over time in tg-load's format.
    """

    deployment: toucanfleet.Deployment
    loads: dict
    duration_ms: int
    warmup_ms: int = 3000
    slow: tuple = ()
    events: tuple = ()
    steps: tuple = ()


@dataclasses.dataclass
class Row:
    """Measurements of one group of services under one load label.

    `latencies` are in milliseconds, `coverage` is a sum over the requests, `extra` is the extra load as a ratio, `peak`
    is the maximum number of connections of one target, and `seconds` is the duration of the measured interval.
    """

    sent: int = 0
    good: int = 0
    refused: int = 0
    coverage: float = 0
    latencies: list = dataclasses.field(default_factory=list)
    extra: float = 0
    peak: int = 0
    refused_connections: int = 0
    seconds: float = 1

    def quantile(self, ratio):
        """Returns a latency quantile in milliseconds of answers with status 200; None if there are none."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(ratio * len(ordered)))] if ordered else None


def group_of(service):
    """Returns the service name without its number."""
    head, _, tail = service.rpartition("-")
    return head if tail.isdigit() else service


def stream(service, rate, **members):
    """Returns one entry of tg-load's mix."""
    return {"service": service, "rate": rate} | members


def streams(shape_name, count, rate, **members):
    """Returns the same stream for each service of a shape."""
    return [stream(f"{shape_name}-{index + 1}", rate, **members) for index in range(count)]


def loeffelchen_plan(slow, rate):
    """Case 1: the full deployment; with `slow`, three of its 99 targets take ten times as long."""
    deployment = toucanfleet.DEPLOYMENTS["loeffelchen"]
    mix = streams("parent-app", 10, 24 * rate) + streams("donor-portal", 15, 12 * rate)
    mix += [stream("warehouse-packing", 60 * rate), stream("recipe-catalogue", 40 * rate),
            stream("warehouse-packing", 10 * rate, kind="command", duplicates=0.2)]
    # One target in each of the three largest groups.
    names = ("parent-app-1-t1", "donor-portal-1-t1", "warehouse-packing-t1") if slow else ()
    return Plan(deployment, {"all": mix}, 16000, slow=names)


def agency_plan(rate):
    """Case 2: a target of lot search crashes permanently while the archive is overloaded."""
    full = toucanfleet.DEPLOYMENTS["agency"]
    sizes = {"lot-search": (10, 3, 5, 4), "hauler-billing": (2, 3, 5, 4), "certificate-archive": (1, 8, 2, SERVICE_MS)}
    shapes = tuple(dataclasses.replace(shape, count=sizes[shape.name][0], targets=sizes[shape.name][1],
                                       service_ms=sizes[shape.name][3])
                   for shape in full.shapes if shape.name in sizes)
    deployment = dataclasses.replace(full, shapes=shapes)
    # 4 shards with 2 replicas of 2 slots, of which the lowest class may use one each: 239 queries/s.
    loads = {"gate": streams("lot-search", 10, 20 * rate),
             "gate-at-archive": [stream("certificate-archive", 15 * rate, priority="urgent", deadlineMs=250)],
             "background": [stream("certificate-archive", 350)],
             "billing": [stream("hauler-billing-1", 10 * rate),
                         stream("hauler-billing-2", 10 * rate, kind="command", duplicates=0.2)]}
    return Plan(deployment, loads, 16000, events=((6000, "lot-search-1-t1", {"crash": True}),))


def overload_capacity():
    """Returns the capacity of the overload case in queries/s: 2 services of 3 targets with 2 slots, 3 shards each."""
    return 2 * 3 * 2 / (SERVICE_MS * MEAN_JITTER / 1000) / 3


def overload_plan():
    """Case 3: half the capacity, then twice the capacity, then half again."""
    full = toucanfleet.DEPLOYMENTS["loeffelchen"]
    shape = dataclasses.replace(full.shapes[0], count=2, service_ms=SERVICE_MS)
    mix = streams("parent-app", 2, overload_capacity() / 4)
    mix += streams("parent-app", 1, 4, kind="command", duplicates=0.2)
    steps = ({"atMs": OVERLOAD_START_MS, "factor": 4}, {"atMs": OVERLOAD_END_MS, "factor": 1})
    return Plan(dataclasses.replace(full, shapes=(shape,)), {"all": mix}, 24000, steps=steps)


def make_baseline(configuration):
    """Changes a configuration in place to that of the baseline."""
    configuration["fleet"]["routing"] = "direct"
    configuration["rules"] = copy.deepcopy(configuration["rules"])
    for rule in configuration["rules"].values():
        rule.update(replicaChoice="random", hedge=False, ejection=False, limits=False)


class DelayProbe(threading.Thread):
    """Measures the scheduling delay of short sleeps during a run, to detect interference by other work."""

    SLEEP_S = 0.005

    def __init__(self):
        super().__init__(daemon=True)
        self.ended = threading.Event()
        self.delays_ms = []

    def run(self):
        while not self.ended.is_set():
            started = time.monotonic()
            time.sleep(self.SLEEP_S)
            self.delays_ms.append((time.monotonic() - started - self.SLEEP_S) * 1000)

    def end(self):
        """Stops the thread and returns the 99th percentile of the delays in milliseconds."""
        self.ended.set()
        self.join()
        return sorted(self.delays_ms)[int(0.99 * len(self.delays_ms))]


def load_settings(fleet, plan, label, seed):
    """Writes the settings file of one load generator; returns its path and that of the history."""
    path = fleet.folder / f"load-{label}.json"
    history = fleet.folder / f"callers-{label}.jsonl"
    toucanfleet.write_json(path, {
        "seed": seed, "durationMs": plan.duration_ms, "warmupMs": plan.warmup_ms, "timeoutMs": 8000,
        "connections": 400, "history": str(history), "mix": plan.loads[label], "steps": list(plan.steps),
        "nodes": [{"name": name, "address": node.caller} for name, node in fleet.nodes.items()]})
    return path, history


def run_events(fleet, plan):
    """Applies the plan's events at their times; runs in a separate thread."""
    started = time.monotonic()
    for at_ms, target, change in plan.events:
        time.sleep(max(0, started + at_ms / 1000 - time.monotonic()))
        fleet.target_control(target, **change)


def run_loads(fleet, plan, seed):
    """Runs all load generators until they have ended; returns the path of the history of each label."""
    histories, processes = {}, []
    for label in plan.loads:
        settings, histories[label] = load_settings(fleet, plan, label, seed)
        processes.append(fleet.spawn(f"load-{label}", "tg-load", "--settings", settings))
    events = threading.Thread(target=run_events, args=(fleet, plan))
    events.start()
    limit = time.monotonic() + plan.duration_ms / 1000 + LOAD_GRACE_S
    for process in processes:
        if process.wait(max(1, limit - time.monotonic())):
            raise RuntimeError(f"tg-load failed; see the logs in {fleet.folder}/logs")
    events.join()
    return histories


def node_views(fleet):
    """Returns the state that each node reports by the JSON-RPC method "view"."""
    request = {"jsonrpc": "2.0", "id": 1, "method": "view", "params": {}}
    return {name: toucanfleet.call(node.admin, "POST", "/rpc", request).body["result"]
            for name, node in fleet.nodes.items()}


@dataclasses.dataclass
class Result:
    """Data collected from one run.

    `delay_ms` is the 99th percentile of the scheduling delay; `first_ms` is the Unix time of the first request in ms.
    """

    callers: dict
    targets: list
    counters: dict
    views: dict
    breaches: list
    load_average: tuple
    delay_ms: float
    plan: Plan
    first_ms: float


def run(folder, plan, seed, baseline):
    """Runs one plan with real processes and returns its result."""
    fleet = toucanfleet.Fleet(folder, seed=seed, variant="full")
    fleet.deployment = plan.deployment
    fleet.target_settings.clear()
    fleet.node_domains = {name: plan.deployment.domains[index % len(plan.deployment.domains)]
                          for index, name in enumerate(fleet.node_domains)}
    fleet._build_configuration()  # noqa: SLF001  (Fleet has no public method to set a custom deployment)
    if baseline:
        make_baseline(fleet.configuration)
    with fleet:
        for target in plan.slow:
            fleet.target_control(target, slowFactor=10)
        probe = DelayProbe()
        probe.start()
        try:
            histories = run_loads(fleet, plan, seed)
        finally:
            delay = probe.end()
        counters, views = fleet.target_counters(), node_views(fleet)
        load_average = os.getloadavg()
    callers = {label: check_history.read_lines([path]) for label, path in histories.items()}
    targets = check_history.read_lines([fleet.target_history])
    all_callers = [line for lines in callers.values() for line in lines]
    shards = check_history.snapshot_shards(fleet.configuration)
    breaches = check_history.check(all_callers, targets, shards)
    first = min(line["time"] for line in all_callers)
    toucanfleet.write_json(folder / "views.json", views)
    return Result(callers, targets, counters.get("targets", counters), views, breaches, load_average, delay, plan,
                  first)


def measured_lines(result, label, start_ms=None, end_ms=None):
    """Returns the history entries of requests scheduled in an interval of the run, by default after the warm-up."""
    start = result.first_ms + (result.plan.warmup_ms if start_ms is None else start_ms)
    end = result.first_ms + (result.plan.duration_ms if end_ms is None else end_ms)
    return [line for line in result.callers[label] if start <= line["time"] < end]


def add_request(row, line, deadline_ms):
    """Adds one request to a row."""
    row.sent += 1
    row.refused += line["outcome"] == "not-run"
    if line["status"] != 200:
        return
    row.latencies.append(line["latencyMs"])
    coverage = line["coverage"] or {}
    share = coverage["merged"] / coverage["shards"] if coverage.get("shards") else 1
    row.coverage += share
    row.good += share == 1 and line["latencyMs"] <= deadline_ms


def summarize(result, start_ms=None, end_ms=None):
    """Returns rows by (label, group). An answer is good if it is complete and within the deadline of its rule."""
    deadlines = {shape.name: result.plan.deployment.rules[shape.rule]["deadlineMs"]
                 for shape in result.plan.deployment.shapes}
    rows = collections.defaultdict(Row)
    begin = result.plan.warmup_ms if start_ms is None else start_ms
    end = result.plan.duration_ms if end_ms is None else end_ms
    for label in result.callers:
        for line in measured_lines(result, label, start_ms, end_ms):
            group = group_of(line["service"])
            add_request(rows[label, group], line, deadlines[group])
    extra = extra_load(result)
    for (_, group), row in rows.items():
        row.seconds = (end - begin) / 1000
        row.extra = extra[group]
        own = [counter["connections"] for name, counter in result.counters.items()
               if group_of(name.rsplit("-t", 1)[0]) == group]
        row.peak = max(entry["peak"] for entry in own)
        row.refused_connections = sum(entry["refused"] for entry in own)
    return dict(rows)


def extra_load(result):
    """Returns the extra load by group: starts and refusals at targets / distinct parts (request and shard) - 1."""
    attempts = collections.Counter()
    parts = collections.defaultdict(set)
    for line in result.targets:
        if line["kind"] == "start":
            group = group_of(line["service"])
            attempts[group] += 1
            parts[group].add((line["requestKey"] or line["requestId"], line["shard"]))
    for name, counter in result.counters.items():
        attempts[group_of(name.rsplit("-t", 1)[0])] += counter["shed"]
    return {group: attempts[group] / len(parts[group]) - 1 if parts[group] else 0 for group in attempts}


def node_counter(result, name):
    """Returns one counter of the coordinator, summed over all nodes."""
    def search(value):
        if not isinstance(value, dict):
            return 0
        own = value["counters"].get(name, 0) if isinstance(value.get("counters"), dict) else 0
        return own + sum(search(member) for key, member in value.items() if key not in ("counters", "targets"))
    return sum(search(view) for view in result.views.values())


def format_number(value, digits=1):
    """Formats a number for a table; None becomes "-"."""
    return "-" if value is None else f"{value:.{digits}f}"


def print_result(name, result):
    """Prints one run as a Markdown table."""
    print(f"\n{name}: load average {', '.join(f'{value:.1f}' for value in result.load_average)}; "
          f"p99 of scheduling delay {result.delay_ms:.1f} ms; "
          + ", ".join(f"{counter} {node_counter(result, counter)}"
                      for counter in ("firstAttempts", "hedges", "retries", "ejections", "partialAnswers")) + "\n")
    print("| load, group | sent | p50 ms | p99 ms | p99.9 ms | coverage | extra load % | peak connections "
          "| refused connections | refused requests | goodput/s |")
    print("|---|--:|--:|--:|--:|--:|--:|--:|--:|--:|--:|")
    for (label, group), row in sorted(summarize(result).items()):
        print(f"| {label}, {group} | {row.sent} | {format_number(row.quantile(0.5))} "
              f"| {format_number(row.quantile(0.99))} | {format_number(row.quantile(0.999))} "
              f"| {row.coverage / row.sent:.4f} | {100 * row.extra:.2f} | {row.peak} "
              f"| {row.refused_connections} | {row.refused} | {row.good / row.seconds:.1f} |")
    promises = collections.Counter(breach.split()[0] for breach in result.breaches)
    print(f"breaches: {dict(promises) or 'none'}")
    for breach in result.breaches[:3]:
        print(f"  {breach}")


def print_check(what, value, bound, passed, delay_ms=0):
    """Prints one table row with a measure and its bound. A pass does not count if other work disturbed the run."""
    outcome = "FAIL" if not passed else "pass" if delay_ms <= DISTURBED_MS else "void (disturbed)"
    print(f"| {what} | {value} | {bound} | {outcome} |")


def check_promises(results):
    """Case 4, for each run: prints the breaches of the promises that can be checked from the histories."""
    for name, result in results.items():
        promises = collections.Counter(breach.split()[0] for breach in result.breaches)
        for promise, what in (("P5", "duplicate runs"), ("P4", "false \"not run\""), ("P1", "mixed snapshots"),
                              ("P2", "overstated coverage")):
            print_check(f"{name}: {what}", promises[promise], 0, promises[promise] == 0)


def check_slow_replica(results):
    """Case 1: p99 with and without slow replicas, and extra load."""
    clean, slow = summarize(results["current"]), summarize(results["current, slow"])
    delay = max(results["current"].delay_ms, results["current, slow"].delay_ms)
    for key, row in sorted(slow.items()):
        with_slow, without = row.quantile(0.99), clean[key].quantile(0.99)
        ratio = with_slow / without if with_slow and without else math.inf
        print_check(f"{key[1]}: p99 with slow replicas / without", f"{ratio:.2f}", "1.5", ratio <= 1.5, delay)
        print_check(f"{key[1]}: extra load %", f"{100 * row.extra:.2f}", "5", row.extra <= 0.05, delay)


def check_agency(results):
    """Case 2: p99 of the urgent loads, and correct coverage of the answers of lot search."""
    rows = summarize(results["current"])
    for label in ("gate", "gate-at-archive"):
        for (row_label, group), row in sorted(rows.items()):
            if row_label == label:
                print_check(f"{label}, {group}: p99 ms", format_number(row.quantile(0.99)), "59",
                            (row.quantile(0.99) or math.inf) <= 59, results["current"].delay_ms)
    lines = [line for line in results["current"].callers["gate"] if line["status"] == 200]
    complete = sum(line["coverage"]["whole"] for line in lines)
    failed = len(results["current"].callers["gate"]) - len(lines)
    incorrect = sum(breach.startswith("P2") for breach in results["current"].breaches)
    print_check("lot search: answers with incorrect coverage", incorrect, "0", incorrect == 0)
    print(f"lot search: {complete} of {len(lines)} answers complete, {failed} requests failed")


def check_overload(results):
    """Case 3: goodput during the overload, and p99 after it."""
    result = results["current"]
    overload = summarize(result, OVERLOAD_START_MS, OVERLOAD_END_MS)
    goodput = sum(row.good / row.seconds for row in overload.values())
    capacity = overload_capacity()
    print_check("goodput under overload / capacity", f"{goodput:.0f}/{capacity:.0f} = {goodput / capacity:.2f}", "0.90",
                goodput >= 0.9 * capacity, result.delay_ms)
    before = summarize(result, end_ms=OVERLOAD_START_MS)["all", "parent-app"].quantile(0.99)
    after = summarize(result, OVERLOAD_END_MS + RECOVERY_MS)["all", "parent-app"].quantile(0.99)
    print_check("p99 ms from 5 s after the load fell", format_number(after), format_number(before),
                None not in (before, after) and after <= before, result.delay_ms)


def plot(path, results, capacity=None):
    """Plots latency by percentile; given a capacity (overload case), plots answers per second over time."""
    series = []
    for index, (name, result) in enumerate(results.items()):
        data = path.with_name(f"{path.stem}-{index}.dat")
        if capacity:
            seconds = collections.Counter(int((line["time"] - result.first_ms) / 1000)
                                          for line in measured_lines(result, "all", 0)
                                          if line["status"] == 200 and line["latencyMs"] <= 250)
            points = [f"{second} {seconds[second]}" for second in range(result.plan.duration_ms // 1000)]
        else:
            ordered = sorted(line["latencyMs"] for label in result.callers for line in measured_lines(result, label)
                             if line["status"] == 200 and label != "background")
            points = [f"{1 / (1 - step / 1000)} {ordered[int(step / 1000 * len(ordered))]}" for step in range(1000)]
        data.write_text("\n".join(points) + "\n", encoding="utf-8")
        series.append(f"'{data}' with lines lw 2 title '{name}'")
    axes = ("set xlabel 'seconds'; set ylabel 'answers within the deadline per second'" if capacity else
            "set logscale xy; set xlabel '1 / (1 - quantile)'; set ylabel 'latency, ms'")
    if capacity:
        series.append(f"{capacity} title 'capacity'")
    script = f"set terminal svg size 800,500; set output '{path}'; set grid; set key left top; {axes}; plot " + ", ".join(
        series)
    subprocess.run(["gnuplot", "-e", script], check=True, timeout=20)


def case_plans(name, rate):
    """Returns the plans of one case by the name of the run, and the function that checks the results."""
    if name == "slow-replica":
        return ({"baseline": loeffelchen_plan(False, rate), "baseline, slow": loeffelchen_plan(True, rate),
                 "current": loeffelchen_plan(False, rate), "current, slow": loeffelchen_plan(True, rate)},
                check_slow_replica)
    if name == "agency":
        return {"baseline": agency_plan(rate), "current": agency_plan(rate)}, check_agency
    return {"baseline": overload_plan(), "current": overload_plan()}, check_overload


def extend_warmup(plan, extra_ms):
    """Returns the plan with a longer warm-up. Only for plans without events and steps, whose times do not shift."""
    if not extra_ms:
        return plan
    return dataclasses.replace(plan, duration_ms=plan.duration_ms + extra_ms, warmup_ms=plan.warmup_ms + extra_ms)


def batches(names, size):
    """Splits the names into groups of at most `size`."""
    return [names[index:index + size] for index in range(0, len(names), size)]


def fresh_folder(path):
    """Replaces the folder of an earlier run by an empty one and returns its absolute path."""
    shutil.rmtree(path, ignore_errors=True)
    path.mkdir(parents=True)
    return path.resolve()


def main():
    """Runs one case. Measures that miss their bound are printed as FAIL and do not change the exit code."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("case", choices=("slow-replica", "agency", "overload"))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rate", type=float, default=1, help="factor for all rates except overloads")
    parser.add_argument("--lead", type=float, default=0, help="seconds added to the warm-up, and so to the run")
    parser.add_argument("--only", choices=("baseline", "current"), help="run only this configuration")
    parser.add_argument("--together", type=int, default=1,
                        help="number of runs at the same time, so that other work on the machine affects them equally")
    parser.add_argument("--results", default=ROOT / "results", type=pathlib.Path)
    arguments = parser.parse_args()
    plans, check_case = case_plans(arguments.case, arguments.rate)
    plans = {name: plan for name, plan in plans.items() if not arguments.only or name.startswith(arguments.only)}
    plans = {name: extend_warmup(plan, arguments.lead * 1000) for name, plan in plans.items()}
    results = {}
    for batch in batches(list(plans), arguments.together):
        folders = {name: fresh_folder(arguments.results / arguments.case / name.replace(", ", "-")) for name in batch}
        with concurrent.futures.ThreadPoolExecutor(len(batch)) as pool:
            futures = {name: pool.submit(run, folders[name], plans[name], arguments.seed, name.startswith("baseline"))
                       for name in batch}
            results |= {name: future.result() for name, future in futures.items()}
        for name in batch:
            print_result(f"{arguments.case}, {name}, seed {arguments.seed}", results[name])
        sys.stdout.flush()
    print("\n| measure | value | bound | verdict |\n|---|--:|--:|---|")
    if arguments.only != "baseline":
        check_case(results)
    check_promises(results)
    plot(arguments.results.resolve() / f"{arguments.case}.svg", results,
         overload_capacity() if arguments.case == "overload" else None)


if __name__ == "__main__":
    main()
