"""Malformed input on the three ports of a running node while other callers send queries.

Guards against a crash, a hanging connection, an untyped error and any effect on the queries of other callers.
"""

import json
import pathlib
import re
import socket
import struct
import sys
import tempfile
import threading
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "Scripts"))

from toucanfleet import Fleet, call, uuid7  # noqa: E402  (the path is set above)

NODE = "entry-1"
SERVICE = "parent-app-1"
QUERY_PATH = f"/v1/services/{SERVICE}/query"
COMMAND_PATH = f"/v1/services/{SERVICE}/command"
ANSWER_BOUND_S = 5
# The node times out a request that is incomplete after 10 s.
SLOW_SENDER_BOUND_S = 14
CALLER_THREADS = 4
CALLER_PAUSE_S = 0.01
CALLER_DEADLINE_MS = 5000
MAXIMUM_TRAFFIC_S = 60
FRAME_LIMIT_BYTES = 4 * 1024 * 1024


def request(method="POST", path=QUERY_PATH, body=b"{}", fields=(), length=None, version="HTTP/1.1", host="Host: node"):
    """An HTTP request as bytes. `length` replaces the correct Content-Length; "" omits the field."""
    lines = [f"{method} {path} {version}"]
    lines += [host] if host else []
    if length != "":
        lines.append(f"Content-Length: {len(body) if length is None else length}")
    lines += fields
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def chunked(*chunks):
    """A query whose chunked body consists of the given raw bytes."""
    return request(body=b"".join(chunks), length="", fields=["Transfer-Encoding: chunked"])


def frame(value):
    """A frame of the protocol between nodes, with its length prefix."""
    text = value if isinstance(value, bytes) else json.dumps(value).encode()
    return struct.pack(">I", len(text)) + text


# name, bytes, expected status, expected problem type
CALLER_CASES = [
    ("not HTTP", b"\x00\x01\x02\xff\xfe binary \r\n\r\n", 400, "invalid-http"),
    ("TLS hello", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + bytes(64) + b"\r\n\r\n", 400, "invalid-http"),
    ("request line without path", b"POST\r\nHost: node\r\n\r\n", 400, "invalid-http"),
    ("no version", f"POST {QUERY_PATH}\r\nHost: node\r\n\r\n".encode(), 400, "invalid-http"),
    ("HTTP/2.0", request(version="HTTP/2.0"), 505, "invalid-http"),
    ("HTTP/2 preface", b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", 505, "invalid-http"),
    ("no Host", request(host=None), 400, "invalid-http"),
    ("space before colon", request(fields=["X-Field : 1"]), 400, "invalid-http"),
    ("folded field", request(fields=["X-Field: 1", "  more"]), 400, "invalid-http"),
    ("field without colon", request(fields=["nonsense"]), 400, "invalid-http"),
    ("NUL in a field", request(fields=["X-Field: a\x00b"]), 400, "invalid-http"),
    ("header over 16 KiB", request(fields=[f"X-{index}: {'a' * 4000}" for index in range(5)]), 431, "invalid-http"),
    ("endless header", b"POST " + QUERY_PATH.encode() + b" HTTP/1.1\r\nX: " + b"a" * 17000, 431, "invalid-http"),
    ("body over 64 KiB", request(body=b'{"text":"' + b"a" * 65536 + b'"}'), 413, "invalid-http"),
    ("announced body of 1 TB", request(body=b"", length=10**12), 413, "invalid-http"),
    ("length past 64 bits", request(length=10**30), 400, "invalid-http"),
    ("negative length", request(length=-1), 400, "invalid-http"),
    ("length that is not a number", request(length="two"), 400, "invalid-http"),
    ("two lengths", request(fields=["Content-Length: 2"]), 400, "invalid-http"),
    ("length and chunks", request(fields=["Transfer-Encoding: chunked"]), 400, "invalid-http"),
    ("unknown coding", request(length="", fields=["Transfer-Encoding: gzip"]), 501, "invalid-http"),
    ("coding list", request(length="", fields=["Transfer-Encoding: gzip, chunked"]), 501, "invalid-http"),
    ("chunk size that is not a number", chunked(b"zz\r\n{}\r\n0\r\n\r\n"), 400, "invalid-http"),
    ("negative chunk size", chunked(b"-2\r\n{}\r\n0\r\n\r\n"), 400, "invalid-http"),
    ("chunk size past 64 bits", chunked(b"f" * 20 + b"\r\n"), 400, "invalid-http"),
    ("chunk of 4 GiB", chunked(b"ffffffff\r\n"), 413, "invalid-http"),
    ("chunk without its end", chunked(b"2\r\n{}XX0\r\n\r\n"), 400, "invalid-http"),
    ("endless chunk extension", chunked(b"2;" + b"a" * 400), 400, "invalid-http"),
    ("chunks over 64 KiB", chunked(*[b"1000\r\n" + b" " * 4096 + b"\r\n"] * 17), 413, "invalid-http"),
    ("trailer over 16 KiB", chunked(b"2\r\n{}\r\n0\r\n", b"X: " + b"a" * 17000), 431, "invalid-http"),
    ("broken JSON", request(body=b'{"text": '), 400, "invalid-body"),
    ("empty body", request(body=b""), 400, "invalid-body"),
    ("array as body", request(body=b"[1,2]"), 400, "invalid-body"),
    ("duplicate key", request(body=b'{"a":1,"a":2}'), 400, "invalid-body"),
    ("two JSON values", request(body=b"{}{}"), 400, "invalid-body"),
    ("nesting of 10000", request(body=b'{"a":' + b"[" * 10000 + b"]" * 10000 + b"}"), 400, "invalid-body"),
    ("binary body", request(body=bytes(range(256))), 400, "invalid-body"),
    ("limit 0", request(body=b'{"limit":0}'), 400, "invalid-limit"),
    ("limit as text", request(body=b'{"limit":"9"}'), 400, "invalid-limit"),
    ("limit of 1e300", request(body=b'{"limit":1e300}'), 400, "invalid-limit"),
    ("unknown path", request(path="/nothing"), 404, "unknown-path"),
    ("unknown action", request(path=f"/v1/services/{SERVICE}/delete"), 404, "unknown-path"),
    ("path without service", request(path="/v1/services//query"), 404, "unknown-path"),
    ("path with dots", request(path="/v1/services/../../etc/passwd"), 404, "unknown-path"),
    ("unknown service", request(path="/v1/services/none/query"), 404, "unknown-service"),
    ("long service name", request(path=f"/v1/services/{'s' * 5000}/query"), 404, "unknown-service"),
    ("service name of high bytes", request(path="/v1/services/\xff\xfe/query"), 404, "unknown-service"),
    ("GET", request(method="GET"), 405, "method-not-allowed"),
    ("unknown method", request(method="BREW"), 405, "method-not-allowed"),
    ("deadline 0", request(fields=["Toucan-Deadline-Ms: 0"]), 400, "invalid-deadline"),
    ("negative deadline", request(fields=["Toucan-Deadline-Ms: -5"]), 400, "invalid-deadline"),
    ("deadline as text", request(fields=["Toucan-Deadline-Ms: soon"]), 400, "invalid-deadline"),
    ("deadline past 32 bits", request(fields=["Toucan-Deadline-Ms: 4294967297"]), 400, "invalid-deadline"),
    ("two deadlines", request(fields=["Toucan-Deadline-Ms: 9", "toucan-deadline-ms: 5000"]), 400, "repeated-header"),
    ("unknown priority", request(fields=["Toucan-Priority: royal"]), 400, "unknown-priority"),
    ("priority with spaces", request(fields=["Toucan-Priority: a b"]), 400, "invalid-header"),
    ("long request id", request(fields=["Toucan-Request-Id: " + "a" * 129]), 400, "invalid-header"),
    ("request id of high bytes", request(fields=["Toucan-Request-Id: \xff\xfe"]), 400, "invalid-header"),
    ("command without key", request(path=COMMAND_PATH, body=b'{"record":"r"}'), 400, "missing-request-key"),
    ("key that is not a UUID", request(path=COMMAND_PATH, body=b'{"record":"r"}', fields=["Toucan-Request-Key: 1"]),
     400, "invalid-request-key"),
    ("key of version 4", request(path=COMMAND_PATH, body=b'{"record":"r"}',
                                 fields=["Toucan-Request-Key: 9b2f8f3c-6a57-4c2e-9d4e-0f1b6f2c7a11"]), 400,
     "invalid-request-key"),
    ("two keys", request(path=COMMAND_PATH, body=b'{"record":"r"}', fields=[f"Toucan-Request-Key: {uuid7()}"] * 2), 400,
     "repeated-header"),
    ("command without record", request(path=COMMAND_PATH, fields=[f"Toucan-Request-Key: {uuid7()}"]), 400,
     "invalid-record"),
    ("record as number", request(path=COMMAND_PATH, body=b'{"record":7}', fields=[f"Toucan-Request-Key: {uuid7()}"]),
     400, "invalid-record"),
]

# Bytes that are not a valid frame of a peer. The node closes the connection after each.
PEER_CLOSE_CASES = [
    ("HTTP", request()),
    ("arbitrary bytes", bytes(range(255, 0, -1)) * 16),
    ("oversized frame", struct.pack(">I", FRAME_LIMIT_BYTES + 1)),
    ("frame of 4 GiB", b"\xff\xff\xff\xff" + b"x" * 1000),
    ("empty frame", struct.pack(">I", 0)),
    ("not JSON", frame(b"{nonsense")),
    ("not an object", frame([1, 2])),
    ("nesting of 10000", frame(b'{"a":' + b"[" * 10000 + b"]" * 10000 + b"}")),
    ("no sender", frame({"kind": "probe"})),
    ("sender as number", frame({"kind": "probe", "from": 7})),
    ("sender is the node itself", frame({"kind": "probe", "from": NODE})),
]

WRONG_VALUES = [None, True, -1, 1.5, 2**63, 2**64 - 1, 1e300, "text", [], [[]], [1], ["x", {}], {}, {"a": {}}]

FRAME_MEMBERS = {
    "parts": ["requests"],
    "results": ["results"],
    "cancel": ["attempts"],
    "command": ["correlation", "key", "id", "service", "record", "class", "remaining", "body"],
    "commandResult": ["correlation", "key", "outcome", "status", "shard", "hits", "problem"],
    "digest": ["version", "ownership", "table", "members", "leaving"],
    "fetch": ["known"],
    "fetched": ["root", "parts"],
    "probe": ["subject", "number"],
    "probed": ["peer", "number"],
}

PART_MEMBERS = ["id", "service", "snapshot", "class", "remaining", "idempotent", "key", "body", "parts"]
PART_ENTRY_MEMBERS = ["attempt", "target", "shard"]
RESULT_MEMBERS = ["attempt", "target", "status", "id", "snapshot", "shard", "hits", "service", "queued", "retryAfter",
                  "state", "load", "carrierQueue"]
SELF_MEMBERS = ["name", "address", "domain", "incarnation", "state"]


def wrong_frames():
    """Yields frames of every kind with a member of a wrong type or out of range."""
    sender = {"from": "stranger"}
    yield sender | {"kind": "no-such-kind"}
    for value in WRONG_VALUES:
        yield sender | {"kind": value}
        yield sender | {"kind": "probe", "self": value}
        for kind, members in FRAME_MEMBERS.items():
            for member in members:
                yield sender | {"kind": kind, member: value}
        for member in PART_MEMBERS:
            part = {"id": "r", "service": SERVICE, "snapshot": "s1", "class": 1, "remaining": 50, "idempotent": True,
                    "body": "{}", "parts": [{"attempt": "a", "target": f"{SERVICE}-t1", "shard": 0}]}
            yield sender | {"kind": "parts", "requests": [part | {member: value}]}
        for member in PART_ENTRY_MEMBERS:
            entry = {"attempt": f"a-{member}", "target": f"{SERVICE}-t1", "shard": 0} | {member: value}
            yield sender | {"kind": "parts", "requests": [{"id": "r", "service": SERVICE, "snapshot": "s1", "class": 1,
                                                           "remaining": 50, "idempotent": True, "body": "{}",
                                                           "parts": [entry]}]}
        for member in RESULT_MEMBERS:
            yield sender | {"kind": "results", "results": [{"attempt": "a", "target": f"{SERVICE}-t1", member: value}]}
        for member in SELF_MEMBERS:
            # Without an address, so that no node connects to the unknown peer.
            yield sender | {"kind": "probe", "self": {"name": "other"} | {member: value}}


RPC_BODIES = [
    b"", b"nonsense", b"{", b"[]", b"[1,2,3]", b"[[]]", b"1", b'"text"', b"null", b"true", b"{}", bytes(range(256)),
    b"[" * 20000, b'{"a":' * 20000, b'{"jsonrpc":"1.0","id":1,"method":"view"}',
    b'{"jsonrpc":"2.0","id":1,"method":"noSuchMethod","params":{}}', b'{"jsonrpc":"2.0","id":1,"method":7}',
    b'{"jsonrpc":"2.0","id":{},"method":"view","params":{}}', b'{"jsonrpc":"2.0","id":1,"method":"view","params":5}',
    b'{"jsonrpc":"2.0","id":1,"method":[],"params":[]}', b'{"jsonrpc":2,"id":1,"method":"view"}',
    b'[{"jsonrpc":"2.0","id":1,"method":"view","params":{}},7,null,[]]',
]


class Callers:
    """Threads that send queries to all nodes until stop() and record every error and every incomplete answer."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.count = 0
        self.faults = []
        self.stopping = threading.Event()
        self.lock = threading.Lock()
        names = list(fleet.nodes)
        self.threads = [threading.Thread(target=self.run, args=(names[index % len(names)],), daemon=True)
                        for index in range(CALLER_THREADS)]
        for thread in self.threads:
            thread.start()

    def run(self, node):
        """Sends queries one after the other until stop() or for MAXIMUM_TRAFFIC_S."""
        end = time.monotonic() + MAXIMUM_TRAFFIC_S
        while not self.stopping.is_set() and time.monotonic() < end:
            fault = self.query(node)
            with self.lock:
                self.count += 1
                self.faults += [fault] if fault else []
            time.sleep(CALLER_PAUSE_S)

    def query(self, node):
        """Sends one query. Returns a description of the fault in its answer, or None."""
        request_id = uuid7()
        try:
            answer = self.fleet.query(node, SERVICE, {"text": "carrot"}, CALLER_DEADLINE_MS, request_id=request_id)
        except OSError as error:
            return f"{node}: {error!r}"
        complete = answer.status == 200 and answer.body["coverage"]["whole"] and answer.body["requestId"] == request_id
        return None if complete else f"{node}: {answer.status} {answer.body}"

    def stop(self):
        """Ends the threads and returns the number of queries."""
        self.stopping.set()
        for thread in self.threads:
            thread.join()
        return self.count


def connect(address):
    """Opens a connection with a timeout of ANSWER_BOUND_S."""
    host, port = address.rsplit(":", 1)
    return socket.create_connection((host, int(port)), ANSWER_BOUND_S)


def read_to_end(connection, bound_s=ANSWER_BOUND_S):
    """Reads until the peer closes the connection. Raises TimeoutError when it does not close within the bound."""
    end = time.monotonic() + bound_s
    data = b""
    while True:
        connection.settimeout(max(0.001, end - time.monotonic()))
        try:
            part = connection.recv(65536)
        except ConnectionError:
            return data
        if not part:
            return data
        data += part


def read_answer(connection, bound_s=ANSWER_BOUND_S):
    """Reads an answer with Content-Length; returns status, header fields and body."""
    connection.settimeout(bound_s)
    with connection.makefile("rb") as stream:
        status = int(stream.readline().split()[1])
        fields = {}
        for line in iter(stream.readline, b"\r\n"):
            name, value = line.decode("latin-1").split(":", 1)
            fields[name.strip().lower()] = value.strip()
        return status, fields, stream.read(int(fields["content-length"]))


def send_all(connection, data):
    """Sends data; ignores a closed connection, as the node may answer and close before it has read everything."""
    try:
        connection.sendall(data)
    except ConnectionError:
        pass


class BadInput(unittest.TestCase):
    """All tests use one fleet. Other callers send queries during each test."""

    @classmethod
    def setUpClass(cls):
        cls.temporary = tempfile.TemporaryDirectory()
        cls.addClassCleanup(cls.temporary.cleanup)
        cls.fleet = Fleet(cls.temporary.name, "loeffelchen", "small", 2)
        cls.fleet.start()
        cls.addClassCleanup(cls.stop_fleet)
        cls.addresses = cls.fleet.nodes[NODE]

    @classmethod
    def stop_fleet(cls):
        """Asserts that each node exits with 0; a sanitizer build exits with another code after a leak."""
        codes = cls.fleet.stop()
        for name, code in codes.items():
            if code:
                raise AssertionError(f"{name} ended with {code}\n{cls.fleet.log_tail(name)}")

    def setUp(self):
        self.callers = Callers(self.fleet)
        self.addCleanup(self.check_others)

    def check_others(self):
        """Asserts that the other callers got complete answers and that both nodes still run and are ready."""
        time.sleep(0.2)
        self.assertGreater(self.callers.stop(), 0)
        self.assertEqual([], self.callers.faults[:5])
        for name in self.fleet.nodes:
            self.assertIsNone(self.fleet.processes[name].poll(), self.fleet.log_tail(name))
            self.assertTrue(self.fleet.ready(name))
            self.assertNotRegex(self.fleet.log_tail(name), "AddressSanitizer|runtime error")

    def check_problem(self, answer, status, problem_type):
        """Asserts that the answer is a problem document (RFC 9457) with the outcome "not-run"."""
        got_status, fields, body = answer
        self.assertEqual(status, got_status, body)
        self.assertEqual("application/problem+json", fields["content-type"])
        problem = json.loads(body)
        self.assertEqual(status, problem["status"])
        self.assertEqual("not-run", problem["outcome"])
        self.assertTrue(problem["title"] and problem["detail"] and problem["remedy"])
        self.assertEqual("/problems/" + problem_type, problem["type"])

    def test_caller_port(self):
        """Guards against a malformed request that is accepted or refused with another error than documented."""
        for name, data, status, problem_type in CALLER_CASES:
            with self.subTest(name), connect(self.addresses.caller) as connection:
                send_all(connection, data)
                self.check_problem(read_answer(connection), status, problem_type)

    def test_only_the_size_of_the_header_is_limited(self):
        """Guards against refusing a long field, or many fields, although the header is within its limit."""
        for fields in (["X-Field: " + "a" * 15000], [f"X-{index}: 1" for index in range(1000)]):
            with self.subTest(fields[0][:8]), connect(self.addresses.caller) as connection:
                send_all(connection, request(fields=fields))
                self.assertEqual(read_answer(connection)[0], 200)
        for fields in (["X-Field: " + "a" * 16384], [f"X-{index}: 1" for index in range(2000)]):
            with self.subTest(fields[0][:8]), connect(self.addresses.caller) as connection:
                send_all(connection, request(fields=fields))
                self.check_problem(read_answer(connection), 431, "invalid-http")

    def test_stray_line_ends_do_not_hold_up_others(self):
        """Guards against parsing time that grows faster than the size of a flood of empty lines or tiny chunks.

        Other callers of the node wait while the flood is parsed.
        """
        floods = {"empty lines": b"\r\n" * 2000000, "tiny chunks": chunked(b"1\r\n{\r\n" * 60000)}
        for name, data in floods.items():
            with self.subTest(name), connect(self.addresses.caller) as connection:
                started = time.monotonic()
                sender = threading.Thread(target=send_all, args=(connection, data), daemon=True)
                sender.start()
                slowest = max(self.fleet.query(NODE, SERVICE, {}, CALLER_DEADLINE_MS).elapsed_ms for _ in range(20))
                self.assertLess(slowest, 1000)
                # Unblocks the sender when the node no longer reads.
                connection.shutdown(socket.SHUT_RDWR)
                sender.join(ANSWER_BOUND_S)
                self.assertFalse(sender.is_alive())
                self.assertLess(time.monotonic() - started, ANSWER_BOUND_S)

    def test_slow_and_silent_senders(self):
        """Guards against a slow sender that holds its connection: an incomplete request gets 408 within the bound."""
        cases = {"header": request()[:40], "body": request(body=b'{"a":"', length=1000), "chunk": chunked(b"64\r\n{}")}
        connections = {name: connect(self.addresses.caller) for name in cases}
        started = time.monotonic()
        for name, connection in connections.items():
            connection.sendall(cases[name])
        for _ in range(6):
            time.sleep(1)
            for connection in connections.values():
                connection.sendall(b"a")
        for name, connection in connections.items():
            with self.subTest(name), connection:
                self.check_problem(read_answer(connection, SLOW_SENDER_BOUND_S), 408, "invalid-http")
                self.assertLess(time.monotonic() - started, SLOW_SENDER_BOUND_S)

    def test_half_closed_connections(self):
        """Guards against a connection that stays open after the caller has closed its side.

        The caller closes before its request is complete, or while the request runs.
        """
        for name, data in {"nothing": b"", "incomplete header": request()[:30],
                           "incomplete body": request(length=10),
                           "incomplete chunk": chunked(b"5\r\n{"), "complete request": request()}.items():
            with self.subTest(name), connect(self.addresses.caller) as connection:
                connection.sendall(data)
                connection.shutdown(socket.SHUT_WR)
                answer = read_to_end(connection)
                self.assertTrue(not answer or name == "complete request", answer)

    def test_pipelined_junk_after_a_request(self):
        """Guards against invalid bytes after a request that corrupt its answer or get one of their own."""
        with connect(self.addresses.caller) as connection:
            send_all(connection, request() + b"\x00\xff junk" * 1000)
            answer = read_to_end(connection)
        self.assertTrue(answer.startswith(b"HTTP/1.1 200 "), answer[:200])
        self.assertEqual(1, answer.count(b"HTTP/1.1 "))

    def test_peer_port_closes(self):
        """Guards against a connection that stays open after bytes that are not a valid frame of a peer."""
        for name, data in PEER_CLOSE_CASES:
            with self.subTest(name), connect(self.addresses.peer) as connection:
                send_all(connection, data)
                self.assertEqual(b"", read_to_end(connection))

    def test_half_frame(self):
        """Guards against a connection that stays open after the peer closed its side in the middle of a frame."""
        with connect(self.addresses.peer) as connection:
            connection.sendall(struct.pack(">I", 1000) + b'{"from"')
            connection.shutdown(socket.SHUT_WR)
            self.assertEqual(b"", read_to_end(connection))

    def test_wrong_types_in_frames(self):
        """Guards against a member of a wrong type that ends the node or the connection.

        The node drops and counts such a frame.
        """
        before = self.metric("invalid")
        frames = list(wrong_frames())
        with connect(self.addresses.peer) as connection:
            for value in frames:
                connection.sendall(frame(value))
            connection.settimeout(0.5)
            # The node answers a fetch or a probe only on the connection that it opened itself.
            with self.assertRaises(TimeoutError):
                connection.recv(1)
        self.assertGreater(self.metric("invalid"), before)

    def metric(self, word):
        """Sum of the node's metrics whose name contains the word."""
        host, port = self.addresses.admin.rsplit(":", 1)
        with socket.create_connection((host, int(port)), ANSWER_BOUND_S) as connection:
            connection.sendall(b"GET /metrics HTTP/1.0\r\n\r\n")
            text = read_to_end(connection).decode()
        return sum(float(value) for value in re.findall(rf"^toucan\w*{word}\w* (\S+)$", text, re.M | re.I))

    def test_admin_port(self):
        """Guards against invalid JSON-RPC input that disables the admin port; it gets a JSON-RPC error or a 4xx."""
        for body in RPC_BODIES:
            with self.subTest(body[:60]), connect(self.addresses.admin) as connection:
                send_all(connection, request(path="/rpc", body=body))
                status, _, text = read_answer(connection)
                if status == 200 and text.strip():
                    self.assertIn(b"error", text)
                elif status != 200:
                    self.assertIn(status, range(400, 500))
        malformed = {
            "oversized body": request(path="/rpc", body=b" " * 70000), "binary": bytes(range(256)) + b"\r\n\r\n",
            "no method": request(path="/nothing", method="GET"), "wrong length": request(path="/rpc", length="x"),
            "long header": request(path="/rpc", fields=[f"X-{index}: {'a' * 8000}" for index in range(30)])}
        for name, data in malformed.items():
            with self.subTest(name), connect(self.addresses.admin) as connection:
                send_all(connection, data)
                answer = read_to_end(connection, 8)
                self.assertTrue(not answer or re.match(rb"HTTP/1.1 4\d\d ", answer) or b'"error"' in answer,
                                answer[:200])
        view = call(self.addresses.admin, "POST", "/rpc", {"jsonrpc": "2.0", "id": 1, "method": "view", "params": {}})
        self.assertIn("result", view.body)


if __name__ == "__main__":
    unittest.main()
