"""Tests of the history checker. Each test breaks one promise and guards against a breach that is not reported."""

import http.server
import json
import pathlib
import sys
import threading
import types
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "Scripts"))

import check_history  # noqa: E402  (the path is set above)
from promise_fleet import PromiseFleet  # noqa: E402


def query(**changes):
    """A complete answer to a query over two shards."""
    return {"time": 1000, "kind": "query", "requestId": "r1", "requestKey": "", "service": "svc", "node": "n1",
            "status": 200, "failure": "", "outcome": "ran", "answeredRequestId": "r1", "snapshot": "s1",
            "coverage": {"shards": 2, "merged": 2, "missing": [], "whole": True}, "hits": ["svc/s1/0/0", "svc/s1/1/0"],
            "hitRequestIds": ["r1"], "hitRequestKeys": [], "latencyMs": 5} | changes


def command(**changes):
    """An answer to a command."""
    return query(kind="command", requestId="c1", answeredRequestId="c1", requestKey="k1", hits=["svc/s1/0/0"],
                 coverage={"shards": 1, "merged": 1, "missing": [], "whole": True}, hitRequestIds=[],
                 hitRequestKeys=["k1"]) | changes


def start(**changes):
    """The start of an idempotent attempt at a target."""
    return {"time": 1001, "kind": "start", "target": "t1", "service": "svc", "attempt": "n1/1/1", "requestId": "r1",
            "requestKey": "", "idempotent": True, "snapshot": "s1", "shard": 0, "outcome": ""} | changes


def state(name, time):
    """A change of a target's state."""
    return {"time": time, "kind": "state", "target": "t1", "service": "svc", "state": name}


COMMAND_START = start(requestId="c1", requestKey="k1", attempt="n1/1/2")
REFUSED = {"status": 503, "outcome": "not-run"}
GOOD_CALLERS = [query(), command()]
GOOD_TARGETS = [start(), start(shard=1, attempt="n1/1/3"), COMMAND_START]


class CheckerTest(unittest.TestCase):
    """Runs the checker on constructed histories."""

    def assert_breach(self, promise, callers=None, targets=None, shards=None):
        """Asserts that the checker reports exactly one breach, of the given promise."""
        breaches = check_history.check(GOOD_CALLERS if callers is None else callers,
                                       GOOD_TARGETS if targets is None else targets, shards)
        self.assertEqual([breach[:2] for breach in breaches], [promise], breaches)

    def test_good_history_has_no_breach(self):
        """Guards against a checker that reports a breach in a correct history."""
        targets = GOOD_TARGETS + [state("draining", 2000), start(time=4900), state("serving", 5000), start(time=9000)]
        self.assertEqual(check_history.check(GOOD_CALLERS, targets, {("svc", "s1"): 2}), [])

    def test_partial_answer_that_says_so_is_good(self):
        """Guards against a checker that reports partial answers with correct coverage."""
        partial = query(hits=["svc/s1/1/0"], coverage={"shards": 2, "merged": 1, "missing": [0], "whole": False})
        self.assertEqual(check_history.check([partial], GOOD_TARGETS), [])

    def test_refused_and_not_started_is_good(self):
        """Guards against a checker that reports refused requests of which nothing started."""
        self.assertEqual(check_history.check([query(requestId="r9", **REFUSED)], GOOD_TARGETS), [])

    def test_hits_of_two_snapshots(self):
        """P1: an answer has hits of two snapshots."""
        self.assert_breach("P1", [query(hits=["svc/s1/0/0", "svc/s2/1/0"])])

    def test_hits_of_another_service(self):
        """P1: an answer has a hit of another service."""
        self.assert_breach("P1", [query(hits=["svc/s1/0/0", "other/s1/1/0"])])

    def test_partial_answer_presented_as_whole(self):
        """P2: the coverage reports a shard as merged that has no hits."""
        self.assert_breach("P2", [query(hits=["svc/s1/0/0"])])

    def test_whole_flag_disagrees(self):
        """P2: an answer with a missing shard is marked as complete."""
        coverage = {"shards": 2, "merged": 1, "missing": [1], "whole": True}
        self.assert_breach("P2", [query(hits=["svc/s1/0/0"], coverage=coverage)])

    def test_counts_do_not_add_up(self):
        """P2: a shard is neither reported as merged nor as missing."""
        coverage = {"shards": 3, "merged": 2, "missing": [], "whole": False}
        breaches = check_history.check([query(coverage=coverage)], GOOD_TARGETS)
        self.assertTrue(breaches and all(breach.startswith("P2") for breach in breaches))

    def test_shard_count_is_not_the_snapshots(self):
        """P2: the shard count differs from that of the snapshot."""
        self.assert_breach("P2", [query()], shards={("svc", "s1"): 3})

    def test_crossed_answer(self):
        """P3: a caller gets the answer to another request."""
        self.assert_breach("P3", [query(answeredRequestId="r2")])

    def test_crossed_part(self):
        """P3: one part of an answer belongs to another request."""
        self.assert_breach("P3", [query(hitRequestIds=["r1", "r2"])])

    def test_crossed_command(self):
        """P3: a command gets the answer to a command with another key."""
        self.assert_breach("P3", [command(hitRequestKeys=["k2"])])

    def test_refused_query_started(self):
        """P4: a query with the outcome "not-run" started at a target."""
        self.assert_breach("P4", [query(**REFUSED)])

    def test_refused_command_started_under_its_duplicate(self):
        """P4: a command has the outcome "not-run", but its duplicate with the same key started."""
        self.assert_breach("P4", [command(requestId="c2", **REFUSED)])

    def test_key_ran_twice(self):
        """P5: two attempts of a command with one key started."""
        self.assert_breach("P5", targets=GOOD_TARGETS + [COMMAND_START | {"attempt": "n2/1/1", "target": "t2"}])

    def test_answered_command_without_a_start(self):
        """P5: a command is answered although no target started it."""
        self.assert_breach("P5", targets=[start()])

    def test_late_start_at_a_draining_target(self):
        """P6: an attempt starts later than 3 s after the target began to drain."""
        self.assert_breach("P6", targets=GOOD_TARGETS + [state("draining", 2000), start(time=5001)])

    def test_late_attempt_that_the_draining_target_refused(self):
        """P6: a late attempt counts although the draining target refused it."""
        self.assert_breach("P6", targets=GOOD_TARGETS + [state("draining", 2000), start(time=5001, kind="refused")])


class StartingNode(http.server.BaseHTTPRequestHandler):
    """The admin port of a node that gets its first configuration right after the first request."""

    def answer(self, status, body):
        """Sends a response and counts the request."""
        self.server.request_count += 1
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self):  # pylint: disable=invalid-name
        """Answers requests for readiness and metrics."""
        started = int(self.server.request_count > 0)
        if self.path == "/ready":
            self.answer(200 if started else 503, b"")
        else:
            text = f"toucan_configuration_version {started}\ntoucan_ready {started}\n"
            self.answer(200, text.encode())

    def do_POST(self):  # pylint: disable=invalid-name
        """Answers requests for the version by JSON-RPC."""
        self.rfile.read(int(self.headers["Content-Length"]))
        result = {"jsonrpc": "2.0", "id": 1, "result": {"version": int(self.server.request_count > 0)}}
        self.answer(200, json.dumps(result).encode())

    def log_message(self, *_):
        """Disables the log line of each request."""


class ServingVersionTest(unittest.TestCase):
    """Tests of the version in force that VersionWatch records for P8."""

    def test_node_that_becomes_ready_between_two_questions(self):
        """Guards against recording a version from before the node was ready, which would count as a version going back.

        The fault arises when readiness and version are read by two requests.
        """
        server = http.server.HTTPServer(("127.0.0.1", 0), StartingNode)
        server.request_count = 0
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        try:
            address = f"127.0.0.1:{server.server_address[1]}"
            fleet = types.SimpleNamespace(nodes={"entry-1": types.SimpleNamespace(admin=address)})
            fleet.ready = lambda name: PromiseFleet.ready(fleet, name)
            fleet.configuration_version = lambda name: PromiseFleet.configuration_version(fleet, name)
            seen = [PromiseFleet.serving_version(fleet, "entry-1") for _ in range(3)]
        finally:
            server.shutdown()
            thread.join()
            server.server_close()
        self.assertNotIn(0, seen)
        self.assertEqual(seen[-1], 1)


if __name__ == "__main__":
    unittest.main()
