"""Tests of what targets say in their answers about further requests: that they leave, or how long they want none."""

import tempfile
import threading
import time
import unittest

from platform_standin import GatewayProcess, Store, Target, call, configuration, free_port, route, wait_until

CALLERS = 6
CALLER_PAUSE_S = 0.01
# Time after an answer within which requests that were on their way may still arrive.
TRANSIT_S = 0.5
WAIT_S = 2.0
# Most requests that may reach a target between TRANSIT_S after it has asked for a wait and the end of that time.
WAIT_ARRIVALS = 2
# Most requests that may reach a target in any window: LIMIT_FACTOR times what its rate limit allows, and LIMIT_EXTRA.
LIMIT_FACTOR, LIMIT_EXTRA, LIMIT_WINDOW_S = 1.5, 5, 4.0
# A target is used again within this time after its wait.
RETURN_S = 1.0


class NoticeTest(unittest.TestCase):
    """Two nodes, of which the first is the relay of the other, and a service with three targets."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.targets = [self.add_target(f"t-{number}") for number in range(3)]
        self.store.put("op/config", configuration(
            1, [route("fetch", "/fetch/", service="single"),
                route("pull", "/pull/", kind="non_idempotent", service="single")], ["single"]))
        relays = [f"127.0.0.1:{free_port()}"]
        self.nodes = []
        for name, listen in (("relay", relays[0]), ("follower", f"127.0.0.1:{free_port()}")):
            node = GatewayProcess(folder.name, self.store.address, name,
                                  settings={"relays": relays, "relayListen": listen})
            self.addCleanup(node.stop)
            self.nodes.append(node.start())
        self.traffic_ends = threading.Event()
        self.answers = []

    def add_target(self, identity):
        """Starts a target that is stopped at the end of the test."""
        target = Target(self.store, identity, "single")
        self.addCleanup(target.server.stop)
        return target

    def start_traffic(self, nodes):
        """Starts callers that send requests until end_traffic()."""
        def run(number):
            count = 0
            while not self.traffic_ends.is_set():
                count += 1
                node = nodes[count % len(nodes)]
                path, method, body = (("/pull/1", "POST", b"x") if count % 2 else ("/fetch/1", "GET", None))
                started = time.monotonic()
                answer = call(node.caller_port, path, f"c{number}-{count}", method=method, body=body)
                self.answers.append((started, time.monotonic(), answer))
                time.sleep(CALLER_PAUSE_S)

        threads = [threading.Thread(target=run, args=(number,)) for number in range(CALLERS)]
        for thread in threads:
            thread.start()

        def end():
            self.traffic_ends.set()
            for thread in threads:
                thread.join()

        self.addCleanup(end)
        return end

    # Guards against requests to a target that says that it leaves: while the store is away nothing else shows it. Also
    # against nodes that were not told by the target itself, and a target that is not used after a restart.
    def test_leaving_target_gets_nothing_without_the_store(self):
        end_traffic = self.start_traffic(self.nodes)
        time.sleep(1)
        leaving = max(self.targets, key=lambda candidate: len(candidate.runs))
        self.store.set_fault("refuse")
        time.sleep(0.3)
        leaving.leaving = True
        known = len(leaving.arrivals)
        # The first answer since then tells its node, which tells the other one.
        wait_until(lambda: len(leaving.arrivals) > known, 10)
        told = leaving.arrivals[known]["at"]
        time.sleep(4)
        late = [run for run in leaving.arrivals if run["at"] > told + TRANSIT_S]
        self.assertEqual(len(late), 0)
        self.store.set_fault(None)
        leaving.leaving = False
        leaving.born += 1000
        leaving.register()
        known = len(leaving.arrivals)
        # Otherwise the targets to which the nodes are connected would be preferred.
        for other in self.targets:
            if other is not leaving:
                other.drain()
        wait_until(lambda: len(leaving.arrivals) > known, 5)
        end_traffic()
        self.assertEqual({answer.status for _, _, answer in self.answers}, {200})
        self.assertIn("event=target-leaving", self.nodes[0].log())

    # Guards against the use of a leaving target whose entry lapses and comes back.
    def test_entry_that_comes_back_does_not_end_leaving(self):
        end_traffic = self.start_traffic(self.nodes)
        time.sleep(1)
        leaving = max(self.targets, key=lambda candidate: len(candidate.runs))
        leaving.leaving = True
        wait_until(lambda: all("event=target-leaving" in node.log() for node in self.nodes), 10)
        self.store.delete(f"servers/{leaving.identity}")
        time.sleep(1.5)
        leaving.register()
        time.sleep(1.5)
        told = time.monotonic()
        time.sleep(1)
        end_traffic()
        self.assertEqual([run for run in leaving.arrivals if run["at"] > told], [])

    def turn_away(self, targets):
        """Lets the targets refuse requests with a Retry-After of WAIT_S; returns the time of the first refusal."""
        for target in targets:
            target.retry_after = WAIT_S
            target.behaviour = "shed"
        wait_until(lambda: all(target.waits for target in targets), 5)
        for target in targets:
            target.behaviour = None
        return max(target.waits[0][0] for target in targets)

    def check_wait(self, target):
        """A node sends a target at most WAIT_ARRIVALS requests from TRANSIT_S after a refusal to the end of its wait."""
        for at, _, seconds in target.waits:
            early = [run for run in target.arrivals if at + TRANSIT_S < run["at"] < at + seconds]
            self.assertLessEqual(len(early), WAIT_ARRIVALS)

    # Guards against requests to a target within the time for which it wants none, and against a target that is not used
    # after that time.
    def test_target_that_turns_away_waits_and_returns(self):
        end_traffic = self.start_traffic(self.nodes[:1])
        time.sleep(1)
        target = max(self.targets, key=lambda candidate: len(candidate.runs))
        first = self.turn_away([target])
        wait_until(lambda: [run for run in target.runs if run["at"] > first + WAIT_S], WAIT_S + RETURN_S)
        end_traffic()
        self.check_wait(target)
        self.assertEqual({answer.status for _, _, answer in self.answers}, {200})

    # Guards against requests that are held, or answered without a time to return, when every target wants to wait.
    def test_refused_at_once_when_all_targets_turn_away(self):
        end_traffic = self.start_traffic(self.nodes[:1])
        time.sleep(1)
        first = self.turn_away(self.targets)
        wait_until(lambda: all([run for run in target.runs if run["at"] > first + WAIT_S] for target in self.targets),
                   WAIT_S + RETURN_S)
        end_traffic()
        for target in self.targets:
            self.check_wait(target)
        refused = [(begin, end, answer) for begin, end, answer in self.answers
                   if first + 0.1 < begin < first + WAIT_S - 0.1]
        self.assertEqual({answer.status for _, _, answer in refused}, {503})
        for begin, end, answer in refused:
            self.assertLess(end - begin, 0.2)
            self.assertGreater(float(answer.headers["Retry-After"]), 0)

    def wait_until_nodes_are_counted(self):
        """Until the relay has counted the nodes, each takes the share of one in eleven of a rate limit."""
        wait_until(lambda: all("event=nodes-counted nodes=2 " in node.log() for node in self.nodes), 10)

    def check_limit(self, target, start, end):
        """The target gets at most what LIMIT_FACTOR and LIMIT_EXTRA allow in any LIMIT_WINDOW_S; returns the rate."""
        arrivals = [run["at"] for run in target.arrivals if start + TRANSIT_S < run["at"] < end]
        most = max(sum(first <= at < first + LIMIT_WINDOW_S for at in arrivals) for first in arrivals)
        self.assertLessEqual(most, LIMIT_FACTOR * target.stated_limit * LIMIT_WINDOW_S + LIMIT_EXTRA)
        return len(arrivals) / (end - start - TRANSIT_S)

    def limit_for_two_windows(self, targets, limit):
        """Lets the targets state a rate limit for two windows; returns the start and the end."""
        for target in targets:
            target.rate_limit = target.stated_limit = limit
        start = time.monotonic()
        time.sleep(LIMIT_WINDOW_S * 2)
        for target in targets:
            target.rate_limit = None
        return start, time.monotonic()

    # Guards against nodes that together send a target more requests than the rate limit that it states, and against a
    # target that stays limited after the end.
    def test_nodes_together_keep_to_the_rate_limit_of_a_target(self):
        end_traffic = self.start_traffic(self.nodes)
        self.wait_until_nodes_are_counted()
        target = max(self.targets, key=lambda candidate: len(candidate.runs))
        start, end = self.limit_for_two_windows([target], 20)
        # Otherwise the targets to which the nodes are connected would be preferred.
        for other in self.targets:
            if other is not target:
                other.drain()
        time.sleep(3)
        end_traffic()
        self.check_limit(target, start, end)
        later = [run for run in target.arrivals if run["at"] > end + 2]
        self.assertGreater(len(later), 2 * target.stated_limit)
        self.assertEqual({answer.status for started, _, answer in self.answers if not end < started < end + 2}, {200})

    # Guards against limits that are hardly used although the requests need them, and against requests that are held, or
    # answered without a time to return, when no target may receive them yet.
    def test_rate_limits_of_all_targets_are_used(self):
        end_traffic = self.start_traffic(self.nodes)
        self.wait_until_nodes_are_counted()
        start, end = self.limit_for_two_windows(self.targets, 20)
        end_traffic()
        for target in self.targets:
            self.assertGreater(self.check_limit(target, start, end), 0.8 * target.stated_limit)
        refused = [(begin, finish, answer) for begin, finish, answer in self.answers if answer.status != 200]
        self.assertEqual({answer.status for _, _, answer in refused}, {503})
        for begin, finish, answer in refused:
            self.assertLess(finish - begin, 0.2)
            self.assertGreater(float(answer.headers["Retry-After"]), 0)


if __name__ == "__main__":
    unittest.main()
