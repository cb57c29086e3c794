"""Bytes without end from many targets of one request, from the registry and from a relay, near a node's memory limit."""

import tempfile
import threading
import time
import unittest

from misbehaving_target import FORMS, MisbehavingServer, MisbehavingTarget, peak_memory_mb
from platform_standin import GatewayProcess, Store, Target, call, configuration, route, wait_until

# The smallest machine of the deployments, and the widest scattered route.
MEMORY_MB = 112
SHARDS = [f"wide-{number}" for number in range(63)]
CALLERS = 20
DEADLINE_MS = 1000
# Allows for the scheduling of callers and targets, which share one interpreter.
SLACK_S = 0.5


class EndlessBytesTest(unittest.TestCase):
    """A node with 112 MB; its service "sound" has two targets that work."""

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.store = Store()
        self.addCleanup(self.store.stop)
        for index in range(2):
            target = Target(self.store, f"sound-{index}", "sound")
            self.addCleanup(target.server.stop)
        self.statuses, self.latest, self.ended = [], 0, threading.Event()

    def start_gateway(self, **settings):
        """Starts the node."""
        gateway = GatewayProcess(self.folder.name, self.store.address, settings={"memoryMb": MEMORY_MB, **settings})
        self.addCleanup(gateway.stop)
        return gateway.start()

    def configure(self, routes, services, version=3):
        """Writes a configuration with the routes and "sound"."""
        self.store.put("op/config", configuration(
            version, [*routes, route("sound", "/sound/", service="sound")], [*services, "sound"]))

    def call_sound(self, gateway):
        """Sends requests of another route until the test ends, at most 5,000."""
        for number in range(5000):
            if self.ended.is_set():
                return
            answer = call(gateway.caller_port, f"/sound/{number}", f"sound-{number}", deadline=DEADLINE_MS)
            self.statuses.append(answer.status)
            self.latest = max(self.latest, answer.elapsed)
            time.sleep(0.02)

    def start_sound_caller(self, gateway):
        """Starts a caller of another route; it is checked by check_node()."""
        caller = threading.Thread(target=self.call_sound, args=(gateway,), daemon=True)
        caller.start()
        self.addCleanup(self.ended.set)
        return caller

    def check_node(self, gateway, caller):
        """The process runs within its memory, and each request of the other route was served in time."""
        self.ended.set()
        caller.join(5)
        self.assertIsNone(gateway.process.poll())
        peak = peak_memory_mb(gateway.process.pid)
        print(f"peak memory {peak:.0f} MB, {len(self.statuses)} other requests, {self.latest * 1000:.0f} ms at most")
        self.assertLess(peak, MEMORY_MB)
        self.assertEqual(set(self.statuses), {200})
        self.assertGreater(len(self.statuses), 20)
        self.assertLess(self.latest, DEADLINE_MS / 1000 + SLACK_S)

    # Guards against a node that keeps what all targets of wide requests send, runs out of memory, and ends the requests
    # of its other callers.
    def test_all_targets_of_wide_requests(self):
        targets = []
        for shard in SHARDS:
            for index in range(2):
                targets.append(MisbehavingTarget(self.store, f"{shard}-{index}", shard))
                self.addCleanup(targets[-1].stop)
        self.configure([route("wide", "/wide/", gather=SHARDS, top_k=50, min_bound=0.95)], SHARDS)
        gateway = self.start_gateway()
        caller = self.start_sound_caller(gateway)
        failed = []

        def ask(name):
            answer = call(gateway.caller_port, "/wide/1", name, deadline=DEADLINE_MS)
            failed.append((answer.status, answer.elapsed))

        for form in FORMS:
            for target in targets:
                target.form = form
            callers = [threading.Thread(target=ask, args=(f"{form}-{number}",)) for number in range(CALLERS)]
            for thread in callers:
                thread.start()
            for thread in callers:
                thread.join()
        self.check_node(gateway, caller)
        self.assertEqual(len(failed), CALLERS * len(FORMS))
        self.assertLessEqual({status for status, _ in failed}, {502, 503, 504})
        self.assertLess(max(elapsed for _, elapsed in failed), DEADLINE_MS / 1000 + SLACK_S)

    # Guards against a node that keeps what the registry sends without end, or stops serving meanwhile.
    def test_registry(self):
        self.configure([], [])
        gateway = self.start_gateway()
        caller = self.start_sound_caller(gateway)
        server = MisbehavingServer()
        self.store.stop()
        server.port = int(self.store.address.rpartition(":")[2])
        self.addCleanup(server.pause)
        for form in FORMS:
            with self.subTest(form=form):
                sent = server.bytes_sent
                wait_until(lambda at=form: self.start_form(server, at), 5)
                wait_until(lambda before=sent: server.bytes_sent > before, 5)
                time.sleep(0.3)
        self.check_node(gateway, caller)

    # Guards against a node that keeps what a relay sends without end, or never leaves that relay.
    def test_relay(self):
        self.configure([], [])
        server = MisbehavingServer()
        server.start(FORMS[0], slow=False)
        self.addCleanup(server.pause)
        gateway = self.start_gateway(relays=[server.address])
        caller = self.start_sound_caller(gateway)
        for form in FORMS:
            with self.subTest(form=form):
                server.form = form
                sent = server.bytes_sent
                wait_until(lambda before=sent: server.bytes_sent > before, 8)
                time.sleep(0.2)
        self.configure([route("added", "/added/", service="sound")], [], version=4)
        wait_until(lambda: call(gateway.caller_port, "/added/1", "added-1", deadline=DEADLINE_MS).status == 200, 3)
        self.check_node(gateway, caller)

    @staticmethod
    def start_form(server, form):
        """Starts the server, when the port of the store has become free; returns whether it runs."""
        try:
            server.start(form, slow=False)
        except OSError:
            return False
        return True


if __name__ == "__main__":
    unittest.main()
