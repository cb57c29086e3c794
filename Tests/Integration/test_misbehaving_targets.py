"""Half of all targets misbehave under load: checks the answers of all callers and the memory of the node."""

import tempfile
import threading
import time
import unittest

from misbehaving_target import FORMS, MisbehavingTarget, peak_memory_mb
from platform_standin import GatewayProcess, Store, Target, call, configuration, route, wait_until

CALLERS = 40
DEADLINE_MS = 600
# Allows for the scheduling of the callers and targets, which share one interpreter, not for delays of the node.
SLACK_S = 0.5
# Memory bound of a gateway on a machine with 160 MB.
MEMORY_BOUND_MB = 48
SHARDS = ("shard-0", "shard-1", "shard-2")


class MisbehavingTargetTest(unittest.TestCase):
    """One of two targets of each service misbehaves; of service "bad" both do, and of "sound" none."""

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.misbehaving_targets = []
        for service in (*SHARDS, "mixed", "bad", "sound"):
            for index in range(2):
                self.add_target(service, index)
        routes = [route("search", "/search/", gather=list(SHARDS), top_k=4, min_bound=0.66),
                  route("partial", "/partial/", gather=["shard-0", "shard-1", "bad"], top_k=4, min_bound=0.66),
                  route("mixed", "/mixed/", service="mixed"), route("sound", "/sound/", service="sound"),
                  route("once", "/once/", kind="non_idempotent", service="bad")]
        self.store.put("op/config", configuration(3, routes, [*SHARDS, "mixed", "bad", "sound"]))
        self.gateway = GatewayProcess(self.folder.name, self.store.address,
                                      settings={"extraAttempts": {"ratio": 1, "allowance": 100, "windowSeconds": 10}})
        self.addCleanup(self.gateway.stop)
        self.gateway.start()

    def add_target(self, service, index):
        """Starts a target. The second one of each service but "sound" misbehaves, and both targets of "bad" do."""
        identity = f"{service}-{index}"
        if service == "bad" or (index == 1 and service != "sound"):
            self.misbehaving_targets.append(MisbehavingTarget(self.store, identity, service))
            self.addCleanup(self.misbehaving_targets[-1].stop)
        else:
            target = Target(self.store, identity, service)
            self.addCleanup(target.server.stop)

    def misbehave(self, form, slow):
        """Sets the answers of the misbehaving targets on new connections."""
        for target in self.misbehaving_targets:
            target.form, target.slow = form, slow

    def load(self, name):
        """Runs all callers with one request each per path; returns the answers by path."""
        answers = {path: [] for path in ("search", "partial", "mixed", "sound", "once")}
        lock = threading.Lock()

        def run_caller(number):
            for path, received in answers.items():
                answer = call(self.gateway.caller_port, f"/{path}/1", f"{name}-{number}-{path}", deadline=DEADLINE_MS)
                with lock:
                    received.append(answer)

        callers = [threading.Thread(target=run_caller, args=(number,)) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        return answers

    def check(self, form, slow):
        """Runs load against one form of misbehaviour and checks the answers and the memory of the node."""
        self.misbehave(form, slow)
        answers = self.load(f"{form}-{slow}")
        for path, got in answers.items():
            self.assertEqual(len(got), CALLERS, path)
            for answer in got:
                self.assertLess(answer.elapsed, DEADLINE_MS / 1000 + SLACK_S, path)
        self.assertEqual({answer.status for answer in answers["sound"]}, {200})
        # A request that may have run is never reported as "not run".
        self.assertLessEqual({answer.status for answer in answers["once"]}, {502, 504})
        for path in ("search", "partial"):
            for answer in answers[path]:
                self.assertIn(answer.status, (200, 502, 504), path)
                if answer.status == 200:
                    self.assertEqual(len(answer.stamps()) + int(answer.headers["Missing-Parts"]), 3)
        self.assertEqual({answer.headers["Missing-Parts"] for answer in answers["partial"] if answer.status == 200},
                         {"1"})
        self.assertLess(peak_memory_mb(self.gateway.process.pid), MEMORY_BOUND_MB)

    # Guards against a target that slows a node, exhausts its memory or ends it with an endless answer at full speed.
    def test_fast_bytes_without_end(self):
        for form in FORMS:
            with self.subTest(form=form):
                self.check(form, slow=False)

    # Guards against an attempt that goes on past its deadline as long as the target keeps sending single bytes.
    def test_slow_bytes_without_end(self):
        for form in FORMS:
            with self.subTest(form=form):
                self.check(form, slow=True)

    # Guards against a connection that is still read after the answer has exceeded a limit, and against a log line that
    # does not name the limit.
    def test_exceeded_bounds_close_the_connection_and_are_named(self):
        expected = {"head-fields": "header too large", "head-line": "header too large",
                    "interim": "too many interim responses", "chunks": "body too large",
                    "chunk-extensions": "chunk extensions too large", "trailers": "trailer too large",
                    "until-close": "body too large", "huge-length": "body too large",
                    "empty-lines": "too many empty lines", "others": "responses to other requests"}
        for form, reason in expected.items():
            with self.subTest(form=form):
                self.misbehave(form, False)
                answer = call(self.gateway.caller_port, "/once/1", f"named-{form}", deadline=DEADLINE_MS)
                self.assertEqual(answer.status, 502)
                self.assertLess(answer.elapsed, DEADLINE_MS / 2000 + SLACK_S)
                wait_until(lambda at=form: f"request=named-{at} " in self.gateway.log(), 1)
                ended = [line for line in self.gateway.log().splitlines()
                         if "attempt-ended" in line and f"request=named-{form} " in line]
                self.assertIn(reason, ended[0])
        time.sleep(0.1)
        sent = sum(target.bytes_sent for target in self.misbehaving_targets)
        time.sleep(0.3)
        self.assertEqual(sum(target.bytes_sent for target in self.misbehaving_targets), sent)


if __name__ == "__main__":
    unittest.main()
