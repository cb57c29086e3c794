"""Tests of the history checker: each breaks one promise and guards against a checker that does not see the breach."""

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
    """A whole answer to a query over two shards."""
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
    """A start of an idempotent attempt at a target."""
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
    """Hand-made histories."""

    def assert_breach(self, promise, callers=None, targets=None, shards=None):
        """Fails unless there is exactly one breach, of the given promise."""
        breaches = check_history.check(GOOD_CALLERS if callers is None else callers,
                                       GOOD_TARGETS if targets is None else targets, shards)
        self.assertEqual([breach[:2] for breach in breaches], [promise], breaches)

    def test_good_history_has_no_breach(self):
        """Also guards against a checker that always finds something."""
        targets = GOOD_TARGETS + [state("draining", 2000), start(time=4900), state("serving", 5000), start(time=9000)]
        self.assertEqual(check_history.check(GOOD_CALLERS, targets, {("svc", "s1"): 2}), [])

    def test_partial_answer_that_says_so_is_good(self):
        """Guards against a checker that takes each partial answer for a lie."""
        partial = query(hits=["svc/s1/1/0"], coverage={"shards": 2, "merged": 1, "missing": [0], "whole": False})
        self.assertEqual(check_history.check([partial], GOOD_TARGETS), [])

    def test_refused_and_not_started_is_good(self):
        """Guards against a checker that takes each refusal for a lie."""
        self.assertEqual(check_history.check([query(requestId="r9", **REFUSED)], GOOD_TARGETS), [])

    def test_hits_of_two_snapshots(self):
        """P1."""
        self.assert_breach("P1", [query(hits=["svc/s1/0/0", "svc/s2/1/0"])])

    def test_hits_of_another_service(self):
        """P1."""
        self.assert_breach("P1", [query(hits=["svc/s1/0/0", "other/s1/1/0"])])

    def test_partial_answer_presented_as_whole(self):
        """P2: the hits lack a shard that is said to be merged."""
        self.assert_breach("P2", [query(hits=["svc/s1/0/0"])])

    def test_whole_flag_disagrees(self):
        """P2."""
        coverage = {"shards": 2, "merged": 1, "missing": [1], "whole": True}
        self.assert_breach("P2", [query(hits=["svc/s1/0/0"], coverage=coverage)])

    def test_counts_do_not_add_up(self):
        """P2: a shard is neither merged nor missing."""
        coverage = {"shards": 3, "merged": 2, "missing": [], "whole": False}
        breaches = check_history.check([query(coverage=coverage)], GOOD_TARGETS)
        self.assertTrue(breaches and all(breach.startswith("P2") for breach in breaches))

    def test_shard_count_is_not_the_snapshots(self):
        """P2."""
        self.assert_breach("P2", [query()], shards={("svc", "s1"): 3})

    def test_crossed_answer(self):
        """P3."""
        self.assert_breach("P3", [query(answeredRequestId="r2")])

    def test_crossed_part(self):
        """P3: one part belongs to another request."""
        self.assert_breach("P3", [query(hitRequestIds=["r1", "r2"])])

    def test_crossed_command(self):
        """P3."""
        self.assert_breach("P3", [command(hitRequestKeys=["k2"])])

    def test_refused_query_started(self):
        """P4."""
        self.assert_breach("P4", [query(**REFUSED)])

    def test_refused_command_started_under_its_duplicate(self):
        """P4: the other request with the same key started."""
        self.assert_breach("P4", [command(requestId="c2", **REFUSED)])

    def test_key_ran_twice(self):
        """P5."""
        self.assert_breach("P5", targets=GOOD_TARGETS + [COMMAND_START | {"attempt": "n2/1/1", "target": "t2"}])

    def test_answered_command_without_a_start(self):
        """P5: an invented answer."""
        self.assert_breach("P5", targets=[start()])

    def test_late_start_at_a_draining_target(self):
        """P6."""
        self.assert_breach("P6", targets=GOOD_TARGETS + [state("draining", 2000), start(time=5001)])

    def test_late_attempt_that_the_draining_target_refused(self):
        """P6: the target's refusal does not excuse the node."""
        self.assert_breach("P6", targets=GOOD_TARGETS + [state("draining", 2000), start(time=5001, kind="refused")])


class StartingNode(http.server.BaseHTTPRequestHandler):
    """The admin address of a node that gets its first configuration right after the first question."""

    def answer(self, status, body):
        """Sends a body, and counts the question."""
        self.server.questions += 1
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_GET(self):  # pylint: disable=invalid-name
        """Readiness and metrics."""
        started = int(self.server.questions > 0)
        if self.path == "/ready":
            self.answer(200 if started else 503, b"")
        else:
            text = f"toucan_configuration_version {started}\ntoucan_ready {started}\n"
            self.answer(200, text.encode())

    def do_POST(self):  # pylint: disable=invalid-name
        """The version by JSON-RPC."""
        self.rfile.read(int(self.headers["Content-Length"]))
        result = {"jsonrpc": "2.0", "id": 1, "result": {"version": int(self.server.questions > 0)}}
        self.answer(200, json.dumps(result).encode())

    def log_message(self, *_):
        """No log."""


class ServingVersionTest(unittest.TestCase):
    """The version in force that the watch of P8 notes."""

    def test_node_that_becomes_ready_between_two_questions(self):
        """Guards against noting the version of a moment at which the node was not ready yet as a step back."""
        server = http.server.HTTPServer(("127.0.0.1", 0), StartingNode)
        server.questions = 0
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
