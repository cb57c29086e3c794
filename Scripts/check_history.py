#!/usr/bin/env python3
"""Checks the histories of callers (tg-load) and targets (tg-target) for breaches of the promises P1 to P6."""

import argparse
import collections
import json
import pathlib
import sys

DRAIN_BOUND_MS = 3000


def read_lines(paths):
    """Returns the entries of the given history files, which hold one JSON object per line."""
    return [json.loads(line) for path in paths
            for line in pathlib.Path(path).read_text(encoding="utf-8").splitlines() if line]


def parse_hit(identifier):
    """Splits the id of a hit into service, snapshot and shard; returns None if the id has another format."""
    parts = identifier.rsplit("/", 3)
    return (parts[0], parts[1], int(parts[2])) if len(parts) == 4 and parts[2].isdigit() else None


def check_single_snapshot(line):
    """P1: all hits are from the service and snapshot that the answer names."""
    for identifier in line["hits"]:
        hit = parse_hit(identifier)
        if hit is None or hit[:2] != (line["service"], line["snapshot"]):
            yield f"P1 answer {line['requestId']} of snapshot {line['snapshot']} has the hit {identifier}"


def check_coverage(line, shard_counts):
    """P2: the coverage is consistent, and matches the shards of the hits and the snapshot's shard count."""
    coverage = line["coverage"]
    name = f"P2 answer {line['requestId']}"
    shards, merged, missing = coverage["shards"], coverage["merged"], coverage["missing"]
    if merged + len(set(missing)) != shards or any(not 0 <= shard < shards for shard in missing):
        yield f"{name}: {merged} merged and {missing} missing of {shards} shards"
    if coverage["whole"] != (merged == shards and shards > 0):
        yield f"{name}: \"whole\" is {coverage['whole']} with {merged} of {shards} shards merged"
    expected = shard_counts.get((line["service"], line["snapshot"]))
    if expected is not None and shards != expected:
        yield f"{name}: {shards} shards, but snapshot {line['snapshot']} has {expected}"
    seen = {hit[2] for hit in map(parse_hit, line["hits"]) if hit}
    # An answer with a limited number of hits may have none of a merged shard.
    if line.get("limited"):
        if not seen <= set(range(shards)) - set(missing):
            yield f"{name}: hits of shards {sorted(seen)}, but {missing} are missing"
    elif seen != set(range(shards)) - set(missing):
        yield f"{name}: hits of shards {sorted(seen)}, but {merged} merged and {missing} missing"


def check_answer_matches_request(line):
    """P3: the answer and its hits belong to the caller's request."""
    if line["answeredRequestId"] != line["requestId"]:
        yield f"P3 request {line['requestId']} got the answer to {line['answeredRequestId']}"
    if line["kind"] == "query" and set(line["hitRequestIds"]) - {line["requestId"]}:
        yield f"P3 request {line['requestId']} got hits for {line['hitRequestIds']}"
    if line["kind"] == "command" and set(line["hitRequestKeys"]) - {line["requestKey"]}:
        yield f"P3 command {line['requestKey']} got hits for {line['hitRequestKeys']}"


def check_not_run(callers, targets):
    """P4: no request that was refused as "not run" started at a target."""
    started_ids = {line["requestId"] for line in targets if line["kind"] == "start"}
    started_keys = {line["requestKey"] for line in targets if line["kind"] == "start" and line["requestKey"]}
    for line in callers:
        if line["outcome"] != "not-run":
            continue
        # A command may have run under the request id of its duplicate, so commands are matched by request key.
        started = line["requestKey"] in started_keys if line["requestKey"] else line["requestId"] in started_ids
        if started:
            yield f"P4 {line['kind']} {line['requestKey'] or line['requestId']} is \"not-run\", but it started"


def check_runs_at_most_once(targets):
    """P5: each request key is started at most once."""
    starts = collections.defaultdict(list)
    for line in targets:
        if line["kind"] == "start" and line["requestKey"]:
            starts[line["requestKey"]].append(f"{line['attempt']} at {line['target']}")
    for key, runs in starts.items():
        if len(runs) > 1:
            yield f"P5 key {key} ran {len(runs)} times: {', '.join(runs)}"


def check_answered_commands_started(callers, targets):
    """P5: a command that was answered with 200 was started by a target."""
    started = {line["requestKey"] for line in targets if line["kind"] == "start"}
    for line in callers:
        if line["kind"] == "command" and line["status"] == 200 and line["requestKey"] not in started:
            yield f"P5 command {line['requestKey']} was answered, but no target started it"


def check_draining_targets(targets):
    """P6: a target receives no attempt more than DRAIN_BOUND_MS after it began to drain."""
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
    """Returns the shard counts of a configuration document by (service, snapshot)."""
    return {(service, snapshot): len(entry["shards"]) for service, value in document.get("services", {}).items()
            for snapshot, entry in value["snapshots"].items()}


def check(callers, targets, shard_counts=None):
    """Returns all breaches as lines of text, each starting with the name of the promise, such as "P1"."""
    breaches = []
    for line in callers:
        if line["status"] != 200:
            continue
        breaches.extend(check_answer_matches_request(line))
        breaches.extend(check_single_snapshot(line))
        if line["kind"] == "query":
            breaches.extend(check_coverage(line, shard_counts or {}))
    breaches.extend(check_not_run(callers, targets))
    breaches.extend(check_runs_at_most_once(targets))
    breaches.extend(check_answered_commands_started(callers, targets))
    breaches.extend(check_draining_targets(targets))
    return breaches


def main():
    """Prints the breaches. Exits with 1 if there are any, or if the callers or targets have no entries."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--callers", nargs="+", required=True, help="history files written by tg-load")
    parser.add_argument("--targets", nargs="+", required=True, help="history files written by tg-target")
    parser.add_argument("--configuration", nargs="*", default=(),
                        help="JSON files with a \"services\" member, from which the shard counts are checked")
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
