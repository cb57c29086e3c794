"""Half of all targets misbehave while callers ask: what the others get, and what the node holds."""

import tempfile
import threading
import time
import unittest

from misbehaving_target import FORMS, MisbehavingTarget, peak_memory_mb
from platform_standin import GatewayProcess, Store, Target, call, configuration, route, wait_until

CALLERS = 40
DEADLINE_MS = 600
# Callers and targets of a test share one interpreter, so the slack is that of its scheduling, not of the node.
SLACK_S = 0.5
# Stated bound for a machine of 160 MB.
MEMORY_BOUND_MB = 48
SHARDS = ("shard-0", "shard-1", "shard-2")


class MisbehavingTargetTest(unittest.TestCase):
    """Every service has one sound and one misbehaving target."""

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.bad = []
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
        """Starts a target; the second one of a service misbehaves, as do both of "bad"."""
        identity = f"{service}-{index}"
        if service == "bad" or (index == 1 and service != "sound"):
            self.bad.append(MisbehavingTarget(self.store, identity, service))
            self.addCleanup(self.bad[-1].stop)
        else:
            target = Target(self.store, identity, service)
            self.addCleanup(target.server.stop)

    def misbehave(self, form, slow):
        """Changes what the misbehaving targets do on new connections."""
        for target in self.bad:
            target.form, target.slow = form, slow

    def load(self, name):
        """Answers of all callers by path, each caller with one request a path."""
        answers = {path: [] for path in ("search", "partial", "mixed", "sound", "once")}
        lock = threading.Lock()

        def run_caller(number):
            for path, list_of_answers in answers.items():
                answer = call(self.gateway.caller_port, f"/{path}/1", f"{name}-{number}-{path}", deadline=DEADLINE_MS)
                with lock:
                    list_of_answers.append(answer)

        callers = [threading.Thread(target=run_caller, args=(number,)) for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        return answers

    def check(self, form, slow):
        """Plays one form and checks what callers got."""
        self.misbehave(form, slow)
        answers = self.load(f"{form}-{slow}")
        for path, got in answers.items():
            self.assertEqual(len(got), CALLERS, path)
            for answer in got:
                self.assertLess(answer.elapsed, DEADLINE_MS / 1000 + SLACK_S, path)
        self.assertEqual({answer.status for answer in answers["sound"]}, {200})
        # A request that may have run is never answered "not run".
        self.assertLessEqual({answer.status for answer in answers["once"]}, {502, 504})
        for path in ("search", "partial"):
            for answer in answers[path]:
                self.assertIn(answer.status, (200, 502, 504), path)
                if answer.status == 200:
                    self.assertEqual(len(answer.stamps()) + int(answer.headers["Missing-Parts"]), 3)
        self.assertEqual({answer.headers["Missing-Parts"] for answer in answers["partial"] if answer.status == 200},
                         {"1"})
        self.assertLess(peak_memory_mb(self.gateway.process.pid), MEMORY_BOUND_MB)

    # Guards against one bad target that slows, fills or ends a node with bytes that come as fast as the link carries.
    def test_fast_bytes_without_end(self):
        for form in FORMS:
            with self.subTest(form=form):
                self.check(form, slow=False)

    # Guards against an attempt that lasts as long as a target sends a byte now and then.
    def test_slow_bytes_without_end(self):
        for form in FORMS:
            with self.subTest(form=form):
                self.check(form, slow=True)

    # Guards against an attempt that is read on although its bytes can no longer be an answer.
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
        sent = sum(target.bytes_sent for target in self.bad)
        time.sleep(0.3)
        self.assertEqual(sum(target.bytes_sent for target in self.bad), sent)


if __name__ == "__main__":
    unittest.main()
