#!/usr/bin/env python3
"""Measures the effect of misbehaving targets on callers of healthy services and on the memory of the gateway.

For each form of `Tests/Integration/misbehaving_target.py`, half of the targets of all services but "sound" misbehave
while 40 callers send requests. `TOUCAN_GATEWAY=PATH` measures another build of the gateway.
"""

import argparse
import multiprocessing
import pathlib
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "Tests" / "Integration"))

from misbehaving_target import FORMS, MisbehavingTarget, peak_memory_mb  # noqa: E402
from platform_standin import GatewayProcess, Store, Target, call, configuration, route  # noqa: E402

CALLERS = 40
DEADLINE_MS = 1000
SHARDS = ("shard-0", "shard-1", "shard-2")


def quantile(values, share):
    """Returns the quantile of the values; `share` is from 0 to 1."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def run_callers(port, stop, overruns_ms):
    """Sends requests until `stop` is set; appends to `overruns_ms` the time from each deadline to its answer.

    Half of the callers query all shards, the others the service "mixed". A connection error counts as infinite.
    """
    lock = threading.Lock()

    def run_caller(number):
        count = 0
        while not stop.is_set():
            count += 1
            path = "search" if number % 2 else "mixed"
            try:
                answer = call(port, f"/{path}/1", f"c{number}-{count}", deadline=DEADLINE_MS)
                overrun_ms = answer.elapsed * 1000 - DEADLINE_MS
            except OSError:
                overrun_ms = float("inf")
            with lock:
                overruns_ms.append(overrun_ms)
            stop.wait(0.02)

    callers = [threading.Thread(target=run_caller, args=(number,)) for number in range(CALLERS)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()


def run_caller_process(port, seconds, results):
    """Runs the callers in a separate process, so that they do not share the interpreter lock with the targets."""
    stop, overruns_ms = threading.Event(), []
    threading.Timer(seconds, stop.set).start()
    run_callers(port, stop, overruns_ms)
    results.put((len(overruns_ms), max(overruns_ms)))


def measure_sound_service(port, seconds, results):
    """Measures the latencies of one caller of a healthy service, to show how misbehaving targets affect it."""
    end, latencies, failed = time.monotonic() + seconds, [], 0
    while time.monotonic() < end:
        start = time.monotonic()
        try:
            failed += call(port, "/sound/1", f"s{len(latencies)}", deadline=DEADLINE_MS).status != 200
        except OSError:
            failed += 1
        latencies.append((time.monotonic() - start) * 1000)
        time.sleep(0.005)
    results.put((quantile(latencies, 0.5), quantile(latencies, 0.99), failed))


class Registrations:
    """Replaces the store in a process of targets: forwards registrations to the process that runs the store."""

    def __init__(self, queue):
        self.queue = queue

    def put(self, key, value):
        """Forwards one registration."""
        self.queue.put((key, value))


def start_targets(context, store, stop, create):
    """Runs targets in a separate process with its own interpreter lock, and returns the process.

    `create` is called there with a Registrations object and creates the targets, which run until `stop` is set.
    """
    queue = context.Queue()

    def run():
        create(Registrations(queue))
        queue.put(None)
        stop.wait()

    process = context.Process(target=run)
    process.start()
    for key, value in iter(queue.get, None):
        store.put(key, value)
    return process


def measure(form, slow, seconds):
    """Measures one form of misbehaviour, or none if `form` is None; returns a row of the table."""
    context = multiprocessing.get_context("fork")
    with tempfile.TemporaryDirectory() as folder:
        store, stop = Store(), context.Event()
        mixed = (*SHARDS, "mixed")
        targets = [start_targets(context, store, stop, lambda registry: [
                       Target(registry, f"{name}-good", name) for name in mixed]),
                   start_targets(context, store, stop, lambda registry: [Target(registry, "sound-good", "sound")])]
        if form:
            targets.append(start_targets(context, store, stop, lambda registry: [
                MisbehavingTarget(registry, f"{name}-bad", name, form=form, slow=slow) for name in mixed]))
        routes = [route("search", "/search/", gather=list(SHARDS), top_k=4, min_bound=0.66),
                  route("mixed", "/mixed/", service="mixed"), route("sound", "/sound/", service="sound")]
        store.put("op/config", configuration(3, routes, [*SHARDS, "mixed", "sound"]))
        gateway = GatewayProcess(folder, store.address).start()
        callers, probe = context.Queue(), context.Queue()
        processes = [context.Process(target=run_caller_process, args=(gateway.caller_port, seconds, callers)),
                     context.Process(target=measure_sound_service, args=(gateway.caller_port, seconds, probe))]
        for process in processes:
            process.start()
        sent, latest_ms = callers.get()
        median, p99, failed = probe.get()
        for process in processes:
            process.join()
        memory = peak_memory_mb(gateway.process.pid)
        stop.set()
        gateway.stop()
        for target in targets:
            target.join()
        store.stop()
    return sent, latest_ms, median, p99, failed, memory


def main():
    """Prints one line per form."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=3, help="seconds for which each form is measured")
    parser.add_argument("--form", action="append", default=[],
                        help="measure only this form; may be given several times")
    parser.add_argument("--no-slow", action="store_true", help="leave out the variants that send one byte at a time")
    arguments = parser.parse_args()
    print(f"{'form':24} {'sent':>6} {'latest ms after deadline':>25} {'sound p50 ms':>13} {'p99 ms':>8} {'failed':>7} "
          f"{'peak MB':>8}")
    variants = [(None, False)] + [(form, False) for form in arguments.form or FORMS]
    if not arguments.no_slow:
        variants += [(form, True) for form in arguments.form or FORMS]
    for form, slow in variants:
        sent, latest_ms, median, p99, failed, memory = measure(form, slow, arguments.seconds)
        name = f"{form}{', slow' if slow else ''}" if form else "none"
        print(f"{name:24} {sent:6} {latest_ms:25.0f} {median:13.1f} {p99:8.1f} {failed:7} {memory:8.1f}", flush=True)


if __name__ == "__main__":
    main()
