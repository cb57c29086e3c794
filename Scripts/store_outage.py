#!/usr/bin/env python3
"""Measures the effect of a store outage on queries and commands with real processes; prints the result as Markdown.

    Scripts/store_outage.py --outage 10 45 --output docs/MEASUREMENTS-STORE.md
"""

import argparse
import dataclasses
import json
import pathlib
import tempfile
import time

from toucanfleet import Fleet, call, checked, write_json

QUERIED = "warehouse-packing"
COMMANDED = "recipe-catalogue"
# Duration of the load before and after the outage.
WARMUP_S = 3
AFTER_S = 12
# Queries per second, and commands per second.
RATE = 50


class OutageFleet(Fleet):
    """A fleet with one service for queries and one for commands."""

    def __init__(self, folder, nodes):
        super().__init__(folder, nodes=nodes)
        self.configuration["services"] = {name: self.configuration["services"][name] for name in (QUERIED, COMMANDED)}
        self.target_settings = {name: settings for name, settings in self.target_settings.items()
                                if settings["service"] in (QUERIED, COMMANDED)}

    def set_outage(self, active):
        """Starts or ends an outage of the store and returns the Unix time in milliseconds."""
        checked(call(self.platform, "POST", "/control", {"outage": active}))
        return time.time() * 1000

    def start_load(self, seconds):
        """Starts tg-load, which sends queries and commands to all nodes for the given time; returns the process."""
        settings = {"seed": 5, "durationMs": seconds * 1000, "timeoutMs": 3000, "connections": 20,
                    "mix": [{"service": QUERIED, "rate": RATE},
                            {"service": COMMANDED, "kind": "command", "rate": RATE}],
                    "history": str(self.folder / "callers.jsonl"),
                    "nodes": [{"name": name, "address": node.caller} for name, node in self.nodes.items()]}
        write_json(self.folder / "load.json", settings)
        return self.spawn("load", "tg-load", "--settings", self.folder / "load.json")


@dataclasses.dataclass
class Phase:
    """Request counts of one kind in one phase of the outage."""

    sent: int
    good: int
    unknown: int

    @staticmethod
    def of(lines):
        """Counts the entries of a caller history."""
        good = sum(1 for line in lines if line["status"] == 200)
        unknown = sum(1 for line in lines if line["status"] != 200 and line["outcome"] == "unknown")
        return Phase(len(lines), good, unknown)


@dataclasses.dataclass
class Result:
    """Result of one outage. Times are in seconds, and None if no command failed."""

    outage_s: float
    nodes: int
    phases: dict
    first_failure_s: float | None
    recovery_s: float | None


def measure(folder, outage_s, nodes, after_s=AFTER_S):
    """Runs a fleet under load through one outage."""
    with OutageFleet(folder, nodes) as fleet:
        load = fleet.start_load(WARMUP_S + outage_s + after_s)
        time.sleep(WARMUP_S)
        outage_start = fleet.set_outage(True)
        time.sleep(outage_s)
        outage_end = fleet.set_outage(False)
        load.wait(after_s + 20)
        text = (fleet.folder / "callers.jsonl").read_text(encoding="utf-8")
    lines = [json.loads(line) for line in text.splitlines()]
    phases = {}
    for kind in ("query", "command"):
        chosen = [line for line in lines if line["kind"] == kind]
        phases[kind] = {
            "before": Phase.of([line for line in chosen if line["time"] < outage_start]),
            "during": Phase.of([line for line in chosen if outage_start <= line["time"] < outage_end]),
            "after": Phase.of([line for line in chosen if line["time"] >= outage_end])}
    failed = [line["time"] for line in lines if line["kind"] == "command" and line["status"] != 200
              and line["time"] >= outage_start]
    return Result(outage_s, nodes, phases, (min(failed) - outage_start) / 1000 if failed else None,
                  max(0.0, (max(failed) - outage_end) / 1000) if failed else None)


def describe(result):
    """Formats one result as Markdown."""
    out = [f"## Outage of {result.outage_s:g} s, {result.nodes} nodes", "",
           "| requests | phase | sent | answered 200 | unknown | other |", "|---|---|---|---|---|---|"]
    for kind, phases in result.phases.items():
        for name, phase in phases.items():
            other = phase.sent - phase.good - phase.unknown
            out.append(f"| {kind} | {name} | {phase.sent} | {phase.good} | {phase.unknown} | {other} |")
    if result.first_failure_s is None:
        out += ["", "No command failed."]
    else:
        out += ["", f"First failed command {result.first_failure_s:.1f} s after the store went down. The last failed "
                    f"command was sent {result.recovery_s:.1f} s after it came back."]
    return "\n".join(out) + "\n"


def main():
    """Measures each outage with a new fleet."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--outage", type=float, nargs="+", default=[10, 45], help="seconds")
    parser.add_argument("--nodes", type=int, default=7)
    parser.add_argument("--output", help="also write the Markdown to this file")
    arguments = parser.parse_args()
    text = ("# Cost of an outage of the store\n\nMeasured on one machine with real processes by "
            "`Scripts/store_outage.py`: Löffelchen's small fleet,\n"
            f"{RATE} queries/s and {RATE} commands/s over all nodes. A request counts by the time at which it was "
            "due.\n\n")
    parts = []
    for outage_s in arguments.outage:
        with tempfile.TemporaryDirectory() as folder:
            parts.append(describe(measure(folder, outage_s, arguments.nodes)))
    text += "\n".join(parts)
    if arguments.output:
        pathlib.Path(arguments.output).write_text(text, encoding="utf-8")
    print(text)


if __name__ == "__main__":
    main()
