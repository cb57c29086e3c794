"""A field of a request holds an encoded word of RFC 2047: once a note of two paragraphs, sent by a sound caller, and
once another request."""

import pathlib
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from standins import HOST, Backend, Caller, Node, Store, config, main, new_id, route, troubled  # noqa: E402

SMUGGLED_ID = new_id()


def encoded_word(text):
    """An encoded word of RFC 2047 in its "Q" encoding, with every byte but letters and digits escaped. It is an
    ordinary field value: visible ASCII characters only."""
    return "=?utf-8?Q?" + "".join(c if c.isalnum() else f"={ord(c):02X}" for c in text) + "?="


def send_raw(record, node, method, path, note, body=b""):
    """Sends one proper request with a field X-Note on a connection of its own; returns its id."""
    identity = new_id()
    head = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {identity}\r\nDeadline-Ms: 2000\r\n"
            f"X-Note: {note}\r\n" + (f"Content-Length: {len(body)}\r\n" if body else "") + "\r\n")
    record("sent", id=identity, bytes=repr(head), body=body)
    with socket.create_connection((node.ip, node.front), timeout=3) as connection:
        connection.sendall(head.encode("ascii") + body)
        answer = connection.recv(65536)
    record("answered", id=identity, bytes=repr(answer))
    return identity


def case(record):
    """One node, two backends, a few plain requests and those with the field."""
    store = Store(record)
    backends = [Backend(store, record, f"i-{name}", "records").register() for name in ("a1", "b2")]
    # No route leads to /cancel/.
    store.put("op/config", config(5, [route("r-read", "/read/", "records"),
                                      route("r-order", "/order/", "records", kind="non_idempotent")],
                                  {"records": 100}))
    node = Node(record, store.address, "front-wien-a-1")
    try:
        node.start()
        # Body of each request that was sent, by its id.
        sent = {}
        for _ in range(4):
            sent[Caller(record, node, "/read/2").start().wait().id] = b""
        note = encoded_word("leave the box at the door\r\n\r\nthank you") if troubled() else "leave it at the door"
        sent[send_raw(record, node, "POST", "/order/9", note, b"one box")] = b"one box"
        hidden = encoded_word(f"a\r\nContent-Length: 0\r\n\r\nPOST /cancel/17 HTTP/1.1\r\nHost: {HOST}\r\n"
                              f"Request-Id: {SMUGGLED_ID}\r\nDeadline-Ms: 2000\r\nX-Rest: b")
        sent[send_raw(record, node, "GET", "/read/1", hidden if troubled() else "plain note")] = b""
        time.sleep(1)
        for _ in range(4):
            sent[Caller(record, node, "/read/3").start().wait().id] = b""
        runs = [(run, backend.identity) for backend in backends for run in backend.runs]
        violations = [f"{run['method']} {run['path']} with id {run['id']}, which no requester sent, ran at {backend}"
                      for run, backend in runs if run["id"] not in sent]
        violations += [f"{run['method']} {run['path']} {run['id']} ran at {backend} with the body {run['body']}; sent "
                       f"was {sent[run['id']]}"
                       for run, backend in runs if run["id"] in sent and run["body"] != sent[run["id"]]]
        return violations
    finally:
        node.end()
        for backend in backends:
            backend.crash()
        store.stop()


main(HERE, case)
