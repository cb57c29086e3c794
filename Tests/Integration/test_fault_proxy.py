"""Tests of tg-proxy. Without the injected fault, the tests of the nodes would pass without testing anything."""

import concurrent.futures
import http.client
import json
import pathlib
import socket
import sys
import tempfile
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "Scripts"))

from toucanfleet import Fleet  # noqa: E402  (the path is set above)


class FaultProxyTest(unittest.TestCase):
    """The targets of a small fleet behind the proxy; the tests use the route to the first target."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = Fleet(folder.name, proxied=["targets"])
        self.name = next(iter(self.fleet.target_settings))
        self.settings = self.fleet.target_settings[self.name]
        self.settings.update(slots=10, connections=50, connectMs=0, serviceMs=1, jitter=0)
        self.fleet.write_settings()
        self.fleet.start_targets()
        self.fleet.start_proxy()
        self.addCleanup(self.fleet.stop)
        self.host, port = self.fleet.routes[self.name][0].split(":")
        self.port = int(port)

    def connect(self, timeout_s=5):
        """Opens a connection to the target through the proxy."""
        connection = http.client.HTTPConnection(self.host, self.port, timeout=timeout_s)
        self.addCleanup(connection.close)
        return connection

    def exchange(self, connection, number):
        """Sends one attempt; returns the request id in the answer."""
        shard = self.settings["snapshots"]["s1"][0]
        connection.request("POST", "/v1/search", b"{}", {
            "Toucan-Attempt": f"p/1/{number}", "Toucan-Request-Id": f"r{number}", "Toucan-Snapshot": "s1",
            "Toucan-Shard": str(shard)})
        response = connection.getresponse()
        return json.loads(response.read())["requestId"]

    def counters(self):
        """Counters of the first target's route."""
        return self.fleet.proxy_counters()[self.fleet.routes[self.name][0]]

    def test_delay_holds_both_directions(self):
        """Guards against a delay that is applied in one direction only."""
        connection = self.connect()
        self.exchange(connection, 1)
        self.fleet.proxy_control(self.name, delayMs=30)
        started = time.monotonic()
        self.assertEqual(self.exchange(connection, 2), "r2")
        self.assertGreaterEqual(time.monotonic() - started, 0.06)

    def test_cut_closes_and_refuses_until_healed(self):
        """Guards against open connections that still work, or new ones that are accepted, while a route is cut."""
        connection = self.connect()
        self.exchange(connection, 1)
        self.fleet.proxy_control(self.name, cut=True)
        with self.assertRaises((OSError, http.client.HTTPException)):
            self.exchange(connection, 2)
        with self.assertRaises(ConnectionRefusedError):
            self.exchange(self.connect(), 3)
        self.fleet.proxy_control(self.name)
        self.assertEqual(self.exchange(self.connect(), 4), "r4")

    def test_blackhole_is_one_way_and_healing_resets(self):
        """Guards against a one-way fault that affects both directions, and connections that resume after lost bytes."""
        connection = self.connect(timeout_s=0.2)
        self.exchange(connection, 1)
        self.fleet.proxy_control(self.name, blackhole="toCaller")
        started = self.fleet.target_counters()[self.name]["started"]
        with self.assertRaises(socket.timeout):
            self.exchange(connection, 2)
        self.assertEqual(self.fleet.target_counters()[self.name]["started"], started + 1)
        self.fleet.proxy_control(self.name, blackhole="toTarget")
        with self.assertRaises(socket.timeout):
            self.exchange(self.connect(timeout_s=0.2), 3)
        self.assertEqual(self.fleet.target_counters()[self.name]["started"], started + 1)
        self.fleet.proxy_control(self.name)
        self.assertEqual(self.exchange(self.connect(), 4), "r4")

    def test_healing_resets_a_connection_that_lost_bytes(self):
        """Guards against a connection that continues with missing bytes after the fault has been cleared."""
        connection = self.connect(timeout_s=2)
        self.exchange(connection, 1)
        self.fleet.proxy_control(self.name, blackhole="toCaller")
        connection.request("POST", "/v1/search", b"{}", {"Toucan-Attempt": "a", "Toucan-Snapshot": "none"})
        deadline = time.monotonic() + 2
        while not self.counters()["bytesLost"] and time.monotonic() < deadline:
            time.sleep(0.01)
        self.fleet.proxy_control(self.name)
        with self.assertRaises((ConnectionResetError, http.client.RemoteDisconnected)):
            connection.getresponse()

    def test_stall_loses_nothing(self):
        """Guards against bytes that are lost while the proxy reads from neither side."""
        connection = self.connect()
        self.exchange(connection, 1)
        self.fleet.proxy_control(self.name, stall=True)
        with concurrent.futures.ThreadPoolExecutor(1) as pool:
            waiting = pool.submit(self.exchange, connection, 2)
            time.sleep(0.1)
            self.assertFalse(waiting.done())
            self.fleet.proxy_control(self.name)
            self.assertEqual(waiting.result(5), "r2")

    def test_truncation_ends_inside_the_answer(self):
        """Guards against a truncation that only drops complete answers."""
        self.fleet.proxy_control(self.name, truncateAfter=200)
        with self.assertRaises(http.client.IncompleteRead):
            self.exchange(self.connect(), 1)
        self.assertEqual(self.counters()["truncated"], 1)

    def test_duplicate_sends_the_whole_answer_twice(self):
        """Guards against a duplicate that is counted but not sent to the caller."""
        self.fleet.proxy_control(self.name, duplicate=1)
        with socket.create_connection((self.host, self.port), 5) as connection:
            connection.sendall(b"GET /v1/status HTTP/1.1\r\nHost: t\r\n\r\n")
            received = b""
            while received.count(b"HTTP/1.1 200") < 2 or len(received) % 2:
                received += connection.recv(65536)
        self.assertEqual(received[:len(received) // 2], received[len(received) // 2:])
        self.assertEqual(self.counters()["duplicated"], 1)

    def test_reorder_exchanges_answers_of_two_connections(self):
        """Guards against a reordering that delays answers but does not swap them."""
        self.fleet.proxy_control(self.name, reorder=1)
        with concurrent.futures.ThreadPoolExecutor(2) as pool:
            first = pool.submit(self.exchange, self.connect(), 1)
            second = pool.submit(self.exchange, self.connect(), 2)
            self.assertEqual((first.result(5), second.result(5)), ("r2", "r1"))
        self.assertEqual(self.counters()["reordered"], 1)

    def test_reorder_releases_an_answer_that_stays_alone(self):
        """Guards against an answer that is held forever because no second one arrives to be swapped with it."""
        self.fleet.proxy_control(self.name, reorder=1)
        self.assertEqual(self.exchange(self.connect(), 1), "r1")

    def test_unknown_fault_is_refused(self):
        """Guards against a misspelt name of a fault that is ignored."""
        with self.assertRaises(RuntimeError):
            self.fleet.proxy_control(self.name, delay=30)


if __name__ == "__main__":
    unittest.main()
