"""Tests of tg-load, whose reports are used as the measurements of the project."""

import http.server
import json
import pathlib
import subprocess
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "Scripts"))

from toucanfleet import HOST, ROOT  # noqa: E402  (the path is set above)


class FakeNode(http.server.ThreadingHTTPServer):
    """Answers like a node after a delay, or closes the connection; records the request keys."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, delay_s=0.0, breaks=False):
        super().__init__((HOST, 0), FakeNodeHandler)
        self.delay_s = delay_s
        self.breaks = breaks
        self.keys = []
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self):
        """Address of the listener."""
        return f"{HOST}:{self.server_address[1]}"


class FakeNodeHandler(http.server.BaseHTTPRequestHandler):
    """Sends one complete answer with one shard for each request."""

    protocol_version = "HTTP/1.1"
    # Header and body are written separately; Nagle's algorithm would add 40 ms to each answer.
    disable_nagle_algorithm = True

    def do_POST(self):  # pylint: disable=invalid-name
        """Answers queries and commands."""
        self.rfile.read(int(self.headers["Content-Length"]))
        request_id = self.headers["Toucan-Request-Id"]
        self.server.keys.append(self.headers.get("Toucan-Request-Key", ""))
        time.sleep(self.server.delay_s)
        if self.server.breaks:
            self.close_connection = True  # pylint: disable=attribute-defined-outside-init
            return
        text = json.dumps({"requestId": request_id, "snapshot": "s1", "outcome": "ran",
                           "coverage": {"shards": 1, "merged": 1, "missing": [], "whole": True},
                           "hits": [{"id": "svc/s1/0/0", "requestId": request_id}]}).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)

    def log_message(self, *_):  # pylint: disable=arguments-differ
        """Disables the log line of each request."""


class LoadTest(unittest.TestCase):
    """Runs tg-load against fake nodes."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def node(self, **arguments):
        """Starts a fake node that is stopped at the end of the test."""
        node = FakeNode(**arguments)
        self.addCleanup(node.server_close)
        self.addCleanup(node.shutdown)
        return node

    def run_load(self, nodes, mix, *arguments, **settings):
        """Runs tg-load; returns its report and the lines of its history."""
        settings = {"seed": 3, "durationMs": 1000, "timeoutMs": 5000, "connections": 20, "mix": mix,
                    "history": str(self.folder / "callers.jsonl"),
                    "nodes": [{"name": f"n{index}", "address": node.address} for index, node in enumerate(nodes)]
                    } | settings
        (self.folder / "load.json").write_text(json.dumps(settings), encoding="utf-8")
        run = subprocess.run([ROOT / "build" / "tg-load", "--settings", self.folder / "load.json", "--json",
                              self.folder / "report.json", *arguments], capture_output=True, text=True, timeout=30,
                             check=False)
        self.assertEqual(run.returncode, 0, run.stderr)
        report = json.loads((self.folder / "report.json").read_text(encoding="utf-8"))
        history = (self.folder / "callers.jsonl").read_text(encoding="utf-8").splitlines()
        return report, [json.loads(line) for line in history]

    def test_latency_counts_from_the_scheduled_time(self):
        """Guards against coordinated omission: one connection serves 50 requests/s, 100 requests/s are sent for 1 s."""
        report, history = self.run_load([self.node(delay_s=0.02)], [{"service": "svc", "rate": 100}], connections=1)
        self.assertGreater(len(history), 60)
        self.assertGreater(report["svc"]["p99Ms"], 0.02 * len(history) * 1000 - 1100)
        self.assertGreater(report["svc"]["p99Ms"], 400)

    def test_history_has_what_the_checker_needs(self):
        """Guards against a history that lacks the fields by which the checker detects swapped answers."""
        report, history = self.run_load([self.node()], [{"service": "svc", "rate": 50}])
        line = history[0]
        self.assertEqual(line["requestId"], line["answeredRequestId"])
        self.assertEqual(line["hitRequestIds"], [line["requestId"]])
        self.assertEqual((line["status"], line["outcome"], line["snapshot"], line["hits"]),
                         (200, "ran", "s1", ["svc/s1/0/0"]))
        self.assertEqual(line["coverage"]["merged"], 1)
        self.assertEqual(report["total"]["sent"], len(history))
        self.assertEqual(report["total"]["coverage"], 1)

    def test_duplicates_go_to_two_nodes_with_one_key(self):
        """Guards against duplicates that are sent to one node only, which do not test at-most-once across nodes."""
        nodes = [self.node(), self.node()]
        _, history = self.run_load(nodes, [{"service": "svc", "kind": "command", "rate": 50, "duplicates": 1}])
        self.assertEqual(sorted(nodes[0].keys), sorted(nodes[1].keys))
        self.assertEqual(len(set(nodes[0].keys)), len(history) // 2)
        self.assertRegex(nodes[0].keys[0], r"^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$")
        key_time = int(nodes[0].keys[0].replace("-", "")[:12], 16)
        self.assertLess(abs(key_time - time.time() * 1000), 60000)

    def test_broken_answers_are_unknown(self):
        """Guards against a lost answer that is missing from the report."""
        report, history = self.run_load([self.node(breaks=True)], [{"service": "svc", "rate": 30}])
        self.assertEqual({(line["status"], line["outcome"], line["failure"]) for line in history},
                         {(0, "unknown", "broken")})
        self.assertEqual(report["svc"]["coverage"], 0)

    def test_replay_sends_the_recorded_arrivals(self):
        """Guards against comparisons whose two runs get different loads."""
        node = self.node()
        trace = self.folder / "trace.jsonl"
        mix = [{"service": "svc", "rate": 40}, {"service": "other", "kind": "command", "rate": 20}]
        _, first = self.run_load([node], mix, "--record", trace)
        _, second = self.run_load([node], [], "--replay", trace)
        self.assertEqual(sorted((line["service"], line["kind"]) for line in first),
                         sorted((line["service"], line["kind"]) for line in second))
        offsets = [json.loads(line)["atMs"] for line in trace.read_text(encoding="utf-8").splitlines()]
        times = sorted(line["time"] for line in second)
        for offset, moment in zip(offsets, times):
            self.assertAlmostEqual(offset - offsets[0], moment - times[0], delta=3)


if __name__ == "__main__":
    unittest.main()
