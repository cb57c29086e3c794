#!/usr/bin/env python3
"""Runs a small fleet under load with seeded random pairs of faults, and lets the history checker decide.

`python3 Scripts/mixed_faults.py --seed N` prints the faults and the breaches, and ends with 1 when there are any.
"""

import argparse
import contextlib
import pathlib
import random
import signal
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "Tests" / "Integration"))

from promise_fleet import COMMANDED, QUERIED, LoadedFleet, VersionWatch  # noqa: E402  (the path is set above)

ROUND_S = 2.0
QUERY = {"service": QUERIED, "rate": 60}
COMMAND = {"service": COMMANDED, "kind": "command", "rate": 30, "duplicates": 1}


class Faults:
    """Faults by name; each is a generator that causes the fault, waits at its yield and ends it."""

    def __init__(self, loaded, source):
        self.fleet = loaded.fleet
        self.random = source
        self.busy = set()
        self.exit_codes = []
        self.sequence = 1

    def names(self):
        """Names of all faults in a fixed order."""
        return sorted(name[len("fault_"):] for name in dir(self) if name.startswith("fault_"))

    def open(self, name):
        """A context manager that causes the fault."""
        return contextlib.contextmanager(getattr(self, f"fault_{name}"))()

    def target(self):
        """A target of either service."""
        return self.random.choice(sorted(self.fleet.target_settings))

    def node(self):
        """A node that has no other fault in this round."""
        name = self.random.choice(sorted(set(self.fleet.nodes) - self.busy))
        self.busy.add(name)
        return name

    def controlled(self, target, begin, end):
        """A fault of one target by its control port."""
        self.fleet.target_control(target, **begin)
        yield
        self.fleet.target_control(target, **end)

    def proxied(self, name, **faults):
        """A fault of one route of the proxy."""
        self.fleet.proxy_control(name, **faults)
        yield
        self.fleet.proxy_control(name)

    def fault_target_lost(self):
        """A target's process ends and comes back."""
        yield from self.controlled(self.target(), {"crash": True}, {"crash": False})

    def fault_target_stalled(self):
        """A target accepts requests and does nothing."""
        yield from self.controlled(self.target(), {"stall": True}, {"stall": False})

    def fault_target_slow(self):
        """A straggling shard."""
        yield from self.controlled(self.target(), {"slowFactor": 40}, {"slowFactor": 1})

    def fault_target_draining(self):
        """A target that leaves while it would go on starting work; it stays so until the end."""
        self.fleet.target_control(self.fleet.targets_of(QUERIED)[-1], state="draining", drainGraceMs=60000)
        yield

    def fault_answers_truncated(self):
        """Answers of all targets of a service that end early."""
        for name in self.fleet.targets_of(QUERIED):
            self.fleet.target_control(name, truncate=3)
        yield

    def fault_answers_crossed(self):
        """Late, duplicated and exchanged answers of all targets."""
        routes = sorted(self.fleet.target_settings)
        for name in routes:
            self.fleet.proxy_control(name, reorder=0.2, duplicate=0.1, jitterMs=30)
        yield
        for name in routes:
            self.fleet.proxy_control(name)

    def fault_target_deaf(self):
        """Requests reach a target, its answers are lost."""
        yield from self.proxied(self.target(), blackhole="toCaller")

    def fault_peer_cut(self):
        """No peer reaches a node, which still reaches others."""
        yield from self.proxied(self.node(), cut=True)

    def fault_node_paused(self):
        """SIGSTOP and SIGCONT."""
        name = self.node()
        self.fleet.pause(name)
        yield
        self.fleet.resume(name)

    def fault_node_killed(self):
        """SIGKILL and a new start."""
        name = self.node()
        self.fleet.kill(name)
        yield
        self.fleet.start_node(name)

    def fault_node_replaced(self):
        """SIGTERM and a new start."""
        name = self.node()
        self.fleet.signal(name, signal.SIGTERM)
        yield
        self.exit_codes.append(self.fleet.wait_exit(name))
        self.fleet.start_node(name)

    def fault_store_away(self):
        """The store gives no answers."""
        self.fleet.platform_control(outage=True)
        yield
        self.fleet.platform_control(outage=False)

    def fault_store_slow(self):
        """The store answers late."""
        self.fleet.platform_control(delayMs=400)
        yield
        self.fleet.platform_control(delayMs=0)

    def fault_write_answers_lost(self):
        """Writes take effect and get no answer."""
        self.fleet.platform_control(loseWriteAnswers=4)
        yield

    def fault_repartition(self):
        """A new snapshot with another shard count; the targets drop the old one at the end of the round."""
        old, self.sequence = f"s{self.sequence}", self.sequence + 1
        self.fleet.add_snapshot(QUERIED, f"s{self.sequence}", self.sequence, self.random.randint(2, 6))
        # A store that is away or whose answer is lost may refuse; the next change brings the snapshot.
        self.fleet.tgctl("apply", self.fleet.write_configuration())
        yield
        self.fleet.drop_snapshot(QUERIED, old)


def run(seed, rounds, report=print):
    """Runs one seed; returns the breaches as lines of text."""
    source = random.Random(seed)
    with tempfile.TemporaryDirectory() as folder:
        loaded = LoadedFleet(folder, nodes=4, seed=seed, proxied=["targets", "peers"])
        fleet = loaded.fleet
        for service in (QUERIED, COMMANDED):
            fleet.rule_of(service).update(minimumCoverage=0.3, deadlineMs=500)
        try:
            fleet.start()
            faults = Faults(loaded, source)
            with VersionWatch(fleet) as watch, loaded.load(QUERY, COMMAND, seconds=rounds * ROUND_S + 2):
                time.sleep(0.5)
                for _ in range(rounds):
                    pair = source.choices(faults.names(), k=2)
                    report(f"seed {seed}: {' + '.join(pair)}")
                    faults.busy.clear()
                    with contextlib.ExitStack() as stack:
                        for name in pair:
                            stack.enter_context(faults.open(name))
                        time.sleep(ROUND_S)
            breaches = loaded.breaches()
            answered = len(loaded.answered()) + len(loaded.answered("command"))
        finally:
            fleet.stop()
    # The bound of 3 s is left to the tests of P8: here the store may be away when a version is accepted.
    breaches.extend(breach for breach in watch.breaches() if "went back" in breach)
    breaches.extend(f"P7 exit code {code}" for code in faults.exit_codes if code)
    if answered < 100:
        breaches.append(f"only {answered} requests were answered, too few for a verdict")
    report(f"seed {seed}: {answered} answered, {len(breaches)} breaches")
    return breaches


def main():
    """Prints the breaches and ends with 1 when there are any."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=3, help="pairs of faults, one after the other")
    arguments = parser.parse_args()
    breaches = run(arguments.seed, arguments.rounds)
    for breach in breaches:
        print(breach)
    sys.exit(1 if breaches else 0)


if __name__ == "__main__":
    main()
