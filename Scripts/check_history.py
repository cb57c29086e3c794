#!/usr/bin/env python3
"""Decides from the histories of callers (tg-load) and targets (tg-target) whether the promises P1 to P6 held."""

import argparse
import collections
import json
import pathlib
import sys

DRAIN_BOUND_MS = 3000


def read_lines(paths):
    """All lines of the given history files as objects."""
    return [json.loads(line) for path in paths
            for line in pathlib.Path(path).read_text(encoding="utf-8").splitlines() if line]


def parse_hit(identifier):
    """Splits a hit's id into service, snapshot and shard; None when it has another form."""
    parts = identifier.rsplit("/", 3)
    return (parts[0], parts[1], int(parts[2])) if len(parts) == 4 and parts[2].isdigit() else None


def check_one_snapshot(line):
    """P1: all hits are of the answer's service and snapshot."""
    for identifier in line["hits"]:
        hit = parse_hit(identifier)
        if hit is None or hit[:2] != (line["service"], line["snapshot"]):
            yield f"P1 answer {line['requestId']} of snapshot {line['snapshot']} has the hit {identifier}"


def check_coverage(line, shard_counts):
    """P2: the coverage agrees with itself, with the shards of the hits and with the snapshot."""
    coverage = line["coverage"]
    name = f"P2 answer {line['requestId']}"
    shards, merged, missing = coverage["shards"], coverage["merged"], coverage["missing"]
    if merged + len(set(missing)) != shards or any(not 0 <= shard < shards for shard in missing):
        yield f"{name}: {merged} merged and {missing} missing of {shards} shards"
    if coverage["whole"] != (merged == shards and shards > 0):
        yield f"{name}: whole is {coverage['whole']} with {merged} of {shards} shards"
    expected = shard_counts.get((line["service"], line["snapshot"]))
    if expected is not None and shards != expected:
        yield f"{name}: {shards} shards, but snapshot {line['snapshot']} has {expected}"
    seen = {hit[2] for hit in map(parse_hit, line["hits"]) if hit}
    if line.get("limited"):
        if not seen <= set(range(shards)) - set(missing):
            yield f"{name}: hits of shards {sorted(seen)}, but {missing} are missing"
    elif seen != set(range(shards)) - set(missing):
        yield f"{name}: hits of shards {sorted(seen)}, but {merged} merged and {missing} missing"


def check_own_answer(line):
    """P3: the answer and its hits belong to the caller's own request."""
    if line["answeredRequestId"] != line["requestId"]:
        yield f"P3 request {line['requestId']} got the answer to {line['answeredRequestId']}"
    if line["kind"] == "query" and set(line["hitRequestIds"]) - {line["requestId"]}:
        yield f"P3 request {line['requestId']} got hits for {line['hitRequestIds']}"
    if line["kind"] == "command" and set(line["hitRequestKeys"]) - {line["requestKey"]}:
        yield f"P3 command {line['requestKey']} got hits for {line['hitRequestKeys']}"


def check_not_run(callers, targets):
    """P4: nothing that was refused as "not run" has started at a target."""
    started_ids = {line["requestId"] for line in targets if line["kind"] == "start"}
    started_keys = {line["requestKey"] for line in targets if line["kind"] == "start" and line["requestKey"]}
    for line in callers:
        if line["outcome"] != "not-run":
            continue
        # A duplicate of a command may be run under the other request's id; the key says that it ran.
        started = line["requestKey"] in started_keys if line["requestKey"] else line["requestId"] in started_ids
        if started:
            yield f"P4 {line['kind']} {line['requestKey'] or line['requestId']} is \"not-run\", but it started"


def check_one_run(targets):
    """P5: each request key has at most one start."""
    starts = collections.defaultdict(list)
    for line in targets:
        if line["kind"] == "start" and line["requestKey"]:
            starts[line["requestKey"]].append(f"{line['attempt']} at {line['target']}")
    for key, runs in starts.items():
        if len(runs) > 1:
            yield f"P5 key {key} ran {len(runs)} times: {', '.join(runs)}"


def check_ran_answers(callers, targets):
    """P5: a command that is answered with 200 has a start."""
    started = {line["requestKey"] for line in targets if line["kind"] == "start"}
    for line in callers:
        if line["kind"] == "command" and line["status"] == 200 and line["requestKey"] not in started:
            yield f"P5 command {line['requestKey']} was answered, but no target started it"


def check_leaving(targets):
    """P6: a draining target gets no work later than the bound."""
    draining = {}
    for line in sorted(targets, key=lambda entry: entry["time"]):
        target = line["target"]
        if line["kind"] == "state":
            if line["state"] != "draining":
                draining.pop(target, None)
            else:
                draining.setdefault(target, line["time"])
        elif line["kind"] in ("start", "refused") and target in draining:
            late = line["time"] - draining[target]
            if late > DRAIN_BOUND_MS:
                yield f"P6 target {target} got {line['attempt']} {late:.0f} ms after its drain"


def snapshot_shards(document):
    """Shard counts by service and snapshot from a configuration document."""
    return {(service, snapshot): len(entry["shards"]) for service, value in document.get("services", {}).items()
            for snapshot, entry in value["snapshots"].items()}


def check(callers, targets, shard_counts=None):
    """Returns all breaches as lines of text, each starting with the promise's name."""
    breaches = []
    for line in callers:
        if line["status"] != 200:
            continue
        breaches.extend(check_own_answer(line))
        breaches.extend(check_one_snapshot(line))
        if line["kind"] == "query":
            breaches.extend(check_coverage(line, shard_counts or {}))
    breaches.extend(check_not_run(callers, targets))
    breaches.extend(check_one_run(targets))
    breaches.extend(check_ran_answers(callers, targets))
    breaches.extend(check_leaving(targets))
    return breaches


def main():
    """Prints the breaches and ends with 1 when there are any, or when there was nothing to check."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--callers", nargs="+", required=True, help="histories of tg-load")
    parser.add_argument("--targets", nargs="+", required=True, help="histories of tg-target")
    parser.add_argument("--configuration", nargs="*", default=(), help="JSON files that have \"services\"")
    arguments = parser.parse_args()
    callers, targets = read_lines(arguments.callers), read_lines(arguments.targets)
    shard_counts = {}
    for path in arguments.configuration:
        shard_counts.update(snapshot_shards(json.loads(pathlib.Path(path).read_text(encoding="utf-8"))))
    breaches = check(callers, targets, shard_counts)
    for breach in breaches:
        print(breach)
    print(f"{len(callers)} caller lines, {len(targets)} target lines, {len(breaches)} breaches")
    sys.exit(1 if breaches or not callers or not targets else 0)


if __name__ == "__main__":
    main()
