"""Planned stop of a node with repeated SIGTERMs, also while the store is down or does not answer.

Guards against a node that exits late or with an error, or that interrupts a request that it has accepted.
"""

import json
import pathlib
import signal
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "Scripts"))

from toucanfleet import Fleet, uuid7, write_json  # noqa: E402  (the path is set above)

NODE = "entry-1"
SERVICE = "parent-app-1"
BALANCER_LAG_S = 1
DRAIN_S = 4
# Time for the threads to end. A stop must not wait for the timeout of the store client.
EXIT_MARGIN_S = 1
CALLER_THREADS = 6
CALLER_DEADLINE_MS = 3000
SLOW_SERVICE_MS = 800
MAXIMUM_TRAFFIC_S = 20


class StoppableFleet(Fleet):
    """A fleet whose nodes have short stop times, so that the bound can be measured."""

    def write_settings(self):
        """Writes the settings of Fleet with short stop times."""
        super().write_settings()
        for name in self.nodes:
            path = self.folder / f"{name}.json"
            settings = json.loads(path.read_text(encoding="utf-8"))
            settings["stop"] = {"balancerLagMs": BALANCER_LAG_S * 1000, "drainMs": DRAIN_S * 1000}
            write_json(path, settings)


class Callers:
    """Threads that send queries to one node, each over a new connection, until it accepts none."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.complete_answers = 0
        self.faults = []
        self.lock = threading.Lock()
        self.threads = [threading.Thread(target=self.run, daemon=True) for _ in range(CALLER_THREADS)]
        for thread in self.threads:
            thread.start()

    def run(self):
        """Sends queries until a connection is refused; any other failure is an interrupted request."""
        end = time.monotonic() + MAXIMUM_TRAFFIC_S
        while time.monotonic() < end:
            request_id = uuid7()
            try:
                answer = self.fleet.query(NODE, SERVICE, {}, CALLER_DEADLINE_MS, request_id=request_id)
            except ConnectionRefusedError:
                return
            except Exception as error:  # pylint: disable=broad-exception-caught
                fault = f"{type(error).__name__}: {error}"
            else:
                correct = answer.status == 200 and answer.body["coverage"]["whole"]
                fault = None if correct and answer.body["requestId"] == request_id else f"{answer.status} {answer.body}"
            with self.lock:
                self.complete_answers += 0 if fault else 1
                self.faults += [fault] if fault else []

    def join(self):
        """Waits for all threads."""
        for thread in self.threads:
            thread.join(MAXIMUM_TRAFFIC_S)


class PlannedStop(unittest.TestCase):
    """Stops entry-1 of two nodes while six callers use it and its targets take 0.8 s for each part."""

    def setUp(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.fleet = StoppableFleet(temporary.name, "loeffelchen", "small", 2)
        for settings in self.fleet.target_settings.values():
            settings["serviceMs"] = SLOW_SERVICE_MS
            # Enough slots that no part is queued past its deadline.
            settings["slots"] = settings["connections"]
        for target in self.fleet.configuration["services"][SERVICE]["targets"].values():
            target["slots"] = CALLER_THREADS
        # Hedges would only repeat parts, as all targets are slow.
        for rule in self.fleet.configuration["rules"].values():
            rule["hedge"] = False
        self.fleet.start()
        self.addCleanup(self.fleet.stop)

    def stop_twice(self):
        """Sends SIGTERM twice within 0.1 s and again while the node drains; checks exit code, duration and callers."""
        callers = Callers(self.fleet)
        time.sleep(1)
        started = time.monotonic()
        self.fleet.signal(NODE, signal.SIGTERM)
        time.sleep(0.1)
        self.fleet.signal(NODE, signal.SIGTERM)
        time.sleep(BALANCER_LAG_S + 0.2)
        self.fleet.signal(NODE, signal.SIGTERM)
        code = self.fleet.wait_exit(NODE, BALANCER_LAG_S + DRAIN_S + 5)
        elapsed = time.monotonic() - started
        callers.join()
        self.assertEqual(0, code, self.fleet.log_tail(NODE))
        self.assertEqual([], callers.faults[:5])
        self.assertGreaterEqual(callers.complete_answers, CALLER_THREADS)
        self.assertGreaterEqual(elapsed, BALANCER_LAG_S)
        self.assertLess(elapsed, BALANCER_LAG_S + DRAIN_S + EXIT_MARGIN_S, self.fleet.log_tail(NODE))

    def test_repeated_signal_under_load(self):
        """Guards against a second SIGTERM that ends the node at once or restarts the stop."""
        self.stop_twice()

    def test_store_down(self):
        """Guards against an exit that is delayed beyond the bound because key ranges cannot be released."""
        self.fleet.kill("platform")
        self.stop_twice()

    def test_store_silent(self):
        """Guards against an exit that is delayed beyond the bound by a store that accepts calls and never answers."""
        self.fleet.pause("platform")
        time.sleep(0.5)
        self.stop_twice()


if __name__ == "__main__":
    unittest.main()
