#!/usr/bin/env python3
"""Measures what misbehaving targets cost the callers of sound ones, and the node's memory.

Each form of `Tests/Integration/misbehaving_target.py` is played by half of all targets while 40 callers ask.
`TOUCAN_GATEWAY=PATH` measures another build of the gateway.
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
    """The value below which `share` of the values lie."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def run_callers(port, stop, late):
    """Asks shards and a mixed service until the end; notes how long after its deadline an answer came."""
    lock = threading.Lock()

    def run_caller(number):
        count = 0
        while not stop.is_set():
            count += 1
            path = "search" if number % 2 else "mixed"
            try:
                answer = call(port, f"/{path}/1", f"c{number}-{count}", deadline=DEADLINE_MS)
                over = answer.elapsed * 1000 - DEADLINE_MS
            except OSError:
                over = float("inf")
            with lock:
                late.append(over)
            stop.wait(0.02)

    callers = [threading.Thread(target=run_caller, args=(number,)) for number in range(CALLERS)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()


def caller_process(port, seconds, results):
    """Callers in a process of their own, so that they do not wait for the interpreter of the targets."""
    stop, late = threading.Event(), []
    threading.Timer(seconds, stop.set).start()
    run_callers(port, stop, late)
    results.put((len(late), max(late)))


def probe_sound(port, seconds, results):
    """One caller of a sound service; its latencies show what the others cost."""
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
    """Stands for the store in a process of targets: passes registrations on to the process that owns it."""

    def __init__(self, queue):
        self.queue = queue

    def put(self, key, value):
        """Records one registration."""
        self.queue.put((key, value))


def start_targets(context, store, stop, create):
    """Runs targets in a process of their own, so that they share no interpreter with others; returns the process."""
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
    """Plays one form; returns a row of the table."""
    context = multiprocessing.get_context("fork")
    with tempfile.TemporaryDirectory() as folder:
        store, stop = Store(), context.Event()
        mixed = (*SHARDS, "mixed")
        targets = [start_targets(context, store, stop, lambda to: [Target(to, f"{name}-good", name) for name in mixed]),
                   start_targets(context, store, stop, lambda to: [Target(to, "sound-good", "sound")])]
        if form:
            targets.append(start_targets(context, store, stop, lambda to: [
                MisbehavingTarget(to, f"{name}-bad", name, form=form, slow=slow) for name in mixed]))
        routes = [route("search", "/search/", gather=list(SHARDS), top_k=4, min_bound=0.66),
                  route("mixed", "/mixed/", service="mixed"), route("sound", "/sound/", service="sound")]
        store.put("op/config", configuration(3, routes, [*SHARDS, "mixed", "sound"]))
        gateway = GatewayProcess(folder, store.address).start()
        callers, probe = context.Queue(), context.Queue()
        processes = [context.Process(target=caller_process, args=(gateway.caller_port, seconds, callers)),
                     context.Process(target=probe_sound, args=(gateway.caller_port, seconds, probe))]
        for process in processes:
            process.start()
        asked, late = callers.get()
        median, slowest, failed = probe.get()
        for process in processes:
            process.join()
        memory = peak_memory_mb(gateway.process.pid)
        stop.set()
        gateway.stop()
        for target in targets:
            target.join()
        store.stop()
    return asked, late, median, slowest, failed, memory


def main():
    """Prints one line a form."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=3, help="time of each form")
    parser.add_argument("--form", action="append", default=[], help="one form alone; may be given several times")
    parser.add_argument("--no-slow", action="store_true", help="leave out the forms of one byte at a time")
    arguments = parser.parse_args()
    print(f"{'form':24} {'asked':>6} {'latest ms after deadline':>25} {'sound p50 ms':>13} {'p99 ms':>8} {'failed':>7} "
          f"{'peak MB':>8}")
    plays = [(None, False)] + [(form, False) for form in arguments.form or FORMS]
    if not arguments.no_slow:
        plays += [(form, True) for form in arguments.form or FORMS]
    for form, slow in plays:
        asked, late, median, slowest, failed, memory = measure(form, slow, arguments.seconds)
        name = f"{form}{', slow' if slow else ''}" if form else "none"
        print(f"{name:24} {asked:6} {late:25.0f} {median:13.1f} {slowest:8.1f} {failed:7} {memory:8.1f}", flush=True)


if __name__ == "__main__":
    main()
