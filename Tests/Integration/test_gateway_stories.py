"""Faults known from similar systems: late duplicates, lost and truncated answers, stops and restarts."""

import http.client
import signal
import tempfile
import threading
import time
import unittest

from platform_standin import (HOST, GatewayProcess, Handler, QuietServer, Store, Target, call, configuration, free_port,
                              reset, route, wait_until)


class ScriptedTarget(Target):
    """A target whose answers are written by a function of the test."""

    # Called with the request handler and the request id; writes the complete answer.
    script = None

    def behave_scripted(self, call):  # pylint: disable=redefined-outer-name
        """Records the run and lets the script answer."""
        with self.lock:
            self.runs.append({"at": time.monotonic(), "id": call.headers["Request-Id"], "state": self.state})
        self.script(call, call.headers["Request-Id"])
        return True


def response(request_id, body, status="200 OK", length=None, stamp="stamp"):
    """A complete response of a target as bytes; `length` replaces the correct Content-Length."""
    return (f"HTTP/1.1 {status}\r\nRequest-Id: {request_id}\r\nServer-Stamp: {stamp}.{request_id}\r\n"
            f"Content-Length: {len(body) if length is None else length}\r\n\r\n").encode() + body


class StoryTest(unittest.TestCase):
    """One gateway, and one scripted target for each of three services."""

    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.targets = {}
        for service in ("single", "shard-0", "shard-1"):
            target = ScriptedTarget(self.store, f"{service}-wien-a", service)
            self.addCleanup(target.server.stop)
            self.targets[service] = target
        self.routes = [route("fetch", "/fetch/", service="single", timeout_ms=4000),
                       route("pull", "/pull/", kind="non_idempotent", service="single", timeout_ms=4000),
                       route("search", "/search/", gather=["shard-0", "shard-1"], top_k=4, min_bound=0.5)]
        self.configure(3)
        self.gateway = GatewayProcess(self.folder.name, self.store.address)
        self.addCleanup(self.gateway.stop)
        self.gateway.start()

    def configure(self, version):
        """Writes a configuration to the store."""
        self.store.put("op/config", configuration(version, self.routes, list(self.targets)))

    def call(self, path, request_id, **arguments):
        """Sends one request to the gateway."""
        return call(self.gateway.caller_port, path, request_id, **arguments)

    def script(self, service, script):
        """Sets the function that answers the requests of a service."""
        self.targets[service].script = script
        self.targets[service].behaviour = "scripted"


class LateCopyTest(StoryTest):
    """A duplicate of an answer arrives late."""

    # Guards against a duplicate that arrives while the next request runs on the connection and is read as its answer.
    def test_copy_before_the_answer_to_the_next_request(self):
        answered = []

        def answer(call_of_target, request_id):
            copies = b"".join(response(earlier, b"0123456789abcdef" * 2) for earlier in answered[-1:])
            answered.append(request_id)
            call_of_target.wfile.write(copies + response(request_id, b"0123456789abcdef"))

        self.script("single", answer)
        for index in range(30):
            got = self.call("/fetch/1", f"r{index}")
            self.assertEqual((got.status, got.body), (200, b"0123456789abcdef"))
            self.assertEqual(got.headers["Request-Id"], f"r{index}")

    # Guards against a duplicate that is read as the answer to the next request because it arrives in many small pieces.
    def test_copy_that_arrives_in_pieces(self):
        answered = []

        def answer(call_of_target, request_id):
            copy = response(answered[-1], b"old" * 100) if answered else b""
            answered.append(request_id)
            for at in range(0, len(copy), 50):
                call_of_target.wfile.write(copy[at:at + 50])
                time.sleep(0.002)
            call_of_target.wfile.write(response(request_id, b"new"))

        self.script("single", answer)
        for index in range(10):
            self.assertEqual(self.call("/fetch/1", f"r{index}").body, b"new")

    # Guards against a second answer with the same request id and another length that is read as the next answer.
    def test_copy_with_another_length(self):
        def answer(call_of_target, request_id):
            call_of_target.wfile.write(response(request_id, b"right"))
            call_of_target.wfile.flush()
            time.sleep(0.003)
            call_of_target.wfile.write(response(request_id, b"a longer copy of it"))

        self.script("single", answer)
        for index in range(30):
            got = self.call("/fetch/1", f"r{index}")
            self.assertEqual((got.status, got.body), (200, b"right"))

    # Guards against a duplicate refusal of an earlier request that reports "not run" for a request that ran.
    def test_copy_of_a_refusal_is_no_answer_to_the_next_request(self):
        refusal = b"HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
        count = [0]

        def answer(call_of_target, request_id):
            count[0] += 1
            if count[0] % 2:
                call_of_target.wfile.write(refusal)
                call_of_target.wfile.flush()
                time.sleep(0.01)
                call_of_target.wfile.write(refusal)
            else:
                call_of_target.wfile.write(response(request_id, b"ran"))

        self.script("single", answer)
        runs = self.targets["single"].runs
        for index in range(20):
            before = len(runs)
            got = self.call("/pull/1", f"r{index}", method="POST", body=b"x")
            ran = [run for run in runs[before:] if run["id"] == f"r{index}"]
            self.assertLessEqual(len(ran), 1)
            # The target refused every other request; each refusal belongs to the request that got it.
            self.assertIn((got.status, got.body), [(200, b"ran"), (503, got.body)])
            self.assertEqual(got.status, 503 if (before + 1) % 2 else 200)


class LostAnswerTest(StoryTest):
    """The answer is lost after the request ran."""

    # Guards against a retry of a non-idempotent request, and against "not run" for it, when the connection is reset at
    # any byte of the answer.
    def test_lost_at_every_point(self):
        complete = response("ID", b"0123456789abcdef")
        for point in range(0, len(complete), 7):
            def answer(call_of_target, request_id, at=point):
                call_of_target.wfile.write(complete.replace(b"ID", request_id.encode())[:at])
                call_of_target.wfile.flush()
                reset(call_of_target.connection)
                call_of_target.close_connection = True

            self.script("single", answer)
            before = len(self.targets["single"].runs)
            got = self.call("/pull/1", f"r{point}", method="POST", body=b"x")
            self.assertEqual(got.status, 502, point)
            self.assertEqual(len(self.targets["single"].runs) - before, 1, point)

    # Guards against "not run" for a request whose target runs it and then sends no answer.
    def test_silence_after_the_run(self):
        self.script("single", lambda call_of_target, request_id: time.sleep(1.5))
        got = self.call("/pull/1", "r1", method="POST", body=b"x", deadline=500)
        self.assertEqual(got.status, 504)
        self.assertEqual(len(self.targets["single"].runs), 1)


class BrokenOffAnswerTest(StoryTest):
    """The connection closes in the middle of an answer."""

    # Guards against a truncated answer that reaches the caller as a success, alone or as a part of a merged answer.
    def test_cut_at_each_byte(self):
        body = b"0123456789abcdef" * 2

        def cut(point):
            def answer(call_of_target, request_id):
                complete = response(request_id, body)
                call_of_target.wfile.write(complete[:len(complete) - point])
                call_of_target.close_connection = True
            return answer

        for point in range(1, len(body) + 30, 3):
            self.script("single", cut(point))
            self.script("shard-0", cut(point))
            self.assertEqual(self.call("/pull/1", f"p{point}", method="POST", body=b"x").status, 502, point)
            got = self.call("/search/1", f"s{point}")
            if got.status == 200:
                self.assertEqual(got.headers["Missing-Parts"], "1", point)
                self.assertEqual([stamp[:7] for stamp in got.stamps()], ["shard-1"], point)


class StopTest(StoryTest):
    """Planned stops under load."""

    # Guards against a request that runs longer than the stop may take and gets no answer.
    def test_stop_answers_a_request_that_outlasts_it(self):
        self.targets["single"].delay = 6
        answers = []
        caller = threading.Thread(target=lambda: answers.append(
            self.call("/pull/1", "r1", method="POST", body=b"x", deadline=8000)))
        caller.start()
        wait_until(lambda: self.targets["single"].arrivals, 1)
        self.gateway.send_signal(signal.SIGTERM)
        caller.join()
        self.assertEqual(answers[0].status, 502)
        self.assertIn("the node stops", self.gateway.log())
        self.assertEqual(self.gateway.process.wait(5), 0)

    # Guards against a stop that closes connections on which a request has been read only in part.
    def test_stop_serves_requests_that_are_half_read(self):
        head, body = ("POST /pull/1 HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: {}\r\nContent-Length: 6\r\n\r\n",
                      b"abcdef")
        connections = []
        for number in range(40):
            connection = http.client.HTTPConnection("127.0.0.1", self.gateway.caller_port, timeout=4)
            connection.connect()
            self.addCleanup(connection.close)
            text = head.format(f"half-{number}").encode() + body
            # Between one byte and all bytes but one are sent before the stop.
            sent = 1 + number * (len(text) - 2) // 39
            connection.sock.sendall(text[:sent])
            connections.append((connection, text[sent:], number))
        time.sleep(0.1)
        self.gateway.send_signal(signal.SIGTERM)
        wait_until(lambda: not self.gateway.ready(), 0.5)
        time.sleep(0.2)
        for connection, rest, number in connections:
            connection.sock.sendall(rest)
            answer = http.client.HTTPResponse(connection.sock)
            answer.begin()
            self.assertEqual(answer.status, 200, number)
            self.assertEqual(answer.getheader("Request-Id"), f"half-{number}")
        self.assertEqual(self.gateway.process.wait(5), 0)


class RestartTest(StoryTest):
    """A node restarts after a target and a route have been removed."""

    # Guards against a restarted node that uses a removed target or route again because its first read of the store is
    # seconds old.
    def test_restarted_node_does_not_use_what_was_withdrawn(self):
        stale_items = dict(self.store.items)
        stale_revision = self.store.revision
        self.store.delete("servers/single-wien-a")
        other = Target(self.store, "single-other", "single")
        self.addCleanup(other.server.stop)
        self.routes = self.routes[1:]
        self.configure(5)
        relay_address = f"127.0.0.1:{free_port()}"
        relay = GatewayProcess(self.folder.name, self.store.address, "relay",
                               settings={"relayListen": relay_address, "relays": [relay_address]})
        self.addCleanup(relay.stop)
        relay.start()
        store = self.store

        class StaleStore(Handler):
            """Answers allow_stale reads with the old items and passes all other requests to the store."""

            def do_GET(self):  # pylint: disable=invalid-name
                """Handles one request."""
                if "allow_stale" in self.path:
                    store.answer_json(self, {"items": list(stale_items.values()), "more_pages": False,
                                             "as_of": stale_revision})
                else:
                    store.serve(self)

        class SlowRelay(Handler):
            """Forwards requests to the relay after 0.3 s."""

            def do_GET(self):  # pylint: disable=invalid-name
                """Handles one request."""
                time.sleep(0.3)
                upstream = http.client.HTTPConnection(relay_address, timeout=3)
                upstream.request("GET", self.path)
                got = upstream.getresponse()
                self.answer(got.status, got.read(), [("Content-Type", got.getheader("Content-Type", "text/plain"))])
                upstream.close()

        stale, slow = QuietServer(StaleStore), QuietServer(SlowRelay)
        self.addCleanup(stale.stop)
        self.addCleanup(slow.stop)
        follower = GatewayProcess(self.folder.name, f"127.0.0.1:{stale.server_port}", "follower",
                                  settings={"relayListen": f"127.0.0.1:{free_port()}",
                                            "relays": [f"127.0.0.1:{slow.server_port}"]})
        self.addCleanup(follower.stop)
        runs = len(self.targets["single"].runs)
        follower.start()
        self.assertEqual(call(follower.caller_port, "/fetch/1", "r1").status, 404)
        self.assertEqual(call(follower.caller_port, "/pull/1", "r2", method="POST", body=b"x").status, 200)
        self.assertEqual(len(self.targets["single"].runs), runs)


if __name__ == "__main__":
    unittest.main()
