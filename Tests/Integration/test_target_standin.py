"""Tests of tg-target. The measurements and the other tests rely on its exact limits."""

import concurrent.futures
import http.client
import json
import pathlib
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "Scripts"))

from toucanfleet import Fleet, call  # noqa: E402  (the path is set above)


class TargetStandInTest(unittest.TestCase):
    """One process with the targets of a small fleet; the tests use the first target."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = Fleet(folder.name)
        self.name = next(iter(self.fleet.target_settings))
        self.settings = self.fleet.target_settings[self.name]
        self.settings.update(slots=2, connections=20, connectMs=0, serviceMs=20, jitter=0)
        self.fleet.write_settings()
        self.fleet.start_targets()
        self.addCleanup(self.fleet.stop)
        self.shard = self.settings["snapshots"]["s1"][0]

    def attempt(self, number, path="/v1/search", deadline_ms=2000, shard=None, key=None):
        """Sends one attempt on a new connection; returns the answer, or the name of the exception."""
        headers = {"Toucan-Attempt": f"t/1/{number}", "Toucan-Request-Id": f"r{number}", "Toucan-Snapshot": "s1",
                   "Toucan-Shard": str(self.shard if shard is None else shard), "Toucan-Deadline-Ms": str(deadline_ms)}
        if key:
            headers["Toucan-Request-Key"] = key
        try:
            return call(self.settings["address"], "POST", path, {"text": "a"}, headers)
        except (OSError, http.client.HTTPException) as error:
            return type(error).__name__

    def history(self):
        """Stops the targets and returns the lines of the history."""
        self.fleet.stop()
        return [json.loads(line) for line in self.fleet.target_history.read_text(encoding="utf-8").splitlines()]

    def test_slots_queue_and_shedding_are_exact(self):
        """Guards against a stand-in that runs more attempts at once than it has slots and so hides an overload."""
        # Each run takes 1 s, so that all attempts arrive before the first one ends, also on a busy machine.
        self.fleet.target_control(self.name, slowFactor=50)
        with concurrent.futures.ThreadPoolExecutor(10) as pool:
            answers = list(pool.map(lambda number: self.attempt(number, deadline_ms=10000), range(10)))
        self.assertEqual(sorted(answer.status for answer in answers), [200] * 6 + [503] * 4)
        shed = next(answer for answer in answers if answer.status == 503)
        self.assertEqual(shed.headers["toucan-started"], "no")
        self.assertGreater(int(shed.headers["retry-after-ms"]), 0)
        # A node accepts "not started" for a command only when the answer names the attempt.
        self.assertIn(shed.body["attempt"], [f"t/1/{number}" for number in range(10)])
        self.assertEqual(self.fleet.target_counters()[self.name]["slotsPeak"], 2)

    def test_connections_beyond_the_limit_are_refused_and_counted(self):
        """Guards against a stand-in that accepts connections beyond its limit, or does not count the refused ones."""
        host, port = self.settings["address"].split(":")
        held = [http.client.HTTPConnection(host, int(port)) for _ in range(20)]
        for connection in held:
            connection.connect()
            self.addCleanup(connection.close)
        self.assertIsInstance(self.attempt(1), str)
        connections = self.fleet.target_counters()[self.name]["connections"]
        self.assertEqual((connections["now"], connections["peak"], connections["refused"]), (20, 20, 1))

    def test_cancel_ends_a_running_attempt(self):
        """Guards against a cancelled attempt that keeps its slot."""
        self.fleet.target_control(self.name, slowFactor=1000)
        answers = []
        thread = threading.Thread(target=lambda: answers.append(self.attempt(1, deadline_ms=60000)))
        thread.start()
        while not self.fleet.target_counters()[self.name]["running"]:
            time.sleep(0.005)
        self.assertEqual(call(self.settings["address"], "DELETE", "/v1/attempts/t/1/1").status, 204)
        thread.join()
        self.assertEqual(answers[0].status, 499)
        self.assertEqual(self.fleet.target_counters()[self.name]["running"], 0)

    def test_deadline_gone_and_bad_requests(self):
        """Guards against wrong status codes, from which nodes derive the outcome "not run"."""
        self.assertEqual(self.attempt(1, shard=99).status, 410)
        self.assertEqual(self.attempt(2, path="/v1/command").status, 400)
        self.fleet.target_control(self.name, slowFactor=1000)
        late = self.attempt(3, deadline_ms=30)
        self.assertEqual(late.status, 504)
        self.assertNotIn("toucan-started", late.headers)

    def test_truncated_answer_is_counted_once(self):
        """Guards against an injected truncation that affects more answers than its count."""
        self.fleet.target_control(self.name, truncate=1)
        self.assertEqual(self.attempt(1), "IncompleteRead")
        self.assertEqual(self.attempt(2).status, 200)

    def test_crash_refuses_connections_until_restart(self):
        """Guards against a crashed target that still answers."""
        self.fleet.target_control(self.name, crash=True)
        self.assertEqual(self.attempt(1), "ConnectionRefusedError")
        self.fleet.target_control(self.name, crash=False)
        self.assertEqual(self.attempt(2).status, 200)

    def test_draining_target_refuses_after_its_grace(self):
        """Guards against attempts after the grace period of a draining target that are missing from the history."""
        self.fleet.target_control(self.name, state="draining")
        self.assertEqual(self.attempt(1).headers["toucan-state"], "draining")
        self.fleet.target_control(self.name, drainGraceMs=0)
        self.assertEqual(self.attempt(2).status, 503)
        kinds = [line["kind"] for line in self.history()]
        self.assertEqual(kinds, ["state", "start", "end", "refused"])

    def test_history_has_the_key_of_a_command(self):
        """Guards against a history without request keys, in which two runs of a command cannot be detected."""
        self.assertEqual(self.attempt(1, path="/v1/command", key="k1").status, 200)
        start = self.history()[0]
        self.assertEqual((start["kind"], start["requestKey"], start["idempotent"]), ("start", "k1", False))


if __name__ == "__main__":
    unittest.main()
