"""The backends of a service are replaced, and the one that drains has turned slow. Requests that wait in the node for a
connection to it are still sent to it after the time within which that must have ended."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from standins import BOUNDS, Backend, Caller, Node, Store, config, main, route, troubled  # noqa: E402

# The figures of cert-fetch and cert-archive in awrp-recherche: 220 ms of work, goal 800 ms, time budget 5 s, two slots,
# 35 connections.
WORK_S = 0.22
GOAL_MS = 800
BUDGET_MS = 5000
# srv_slow: one of three backends works 10 times as long (the sites have shares up to 0.4 and factors up to 12).
SLOW = 10
# Three backends serve 27 requests a second. burst: 1.7 times the usual traffic for 3 s.
USUAL_PER_S, BURST_PER_S = 25, 42.5
USUAL_S, BURST_S = 5, 3.0
# Within the burst: when the backend turns slow, when its replacement starts, and when it reports draining (release: the
# new one starts first).
SLOW_AT_S, REPLACED_AT_S, DRAIN_AT_S = 0.2, 1.0, 1.2
# The backend serves for drain_ms after the confirmation and a little longer.
SERVES_ON_S = BOUNDS["drain_ms"] / 1000 + 1.5


def case(record):
    """One node, three backends; usual traffic for longer than stable_ms, then a burst with a planned replacement."""
    store = Store(record)
    backends = [Backend(store, record, f"i-{name}", "orders", slots=2, queue=12, work_s=WORK_S).register()
                for name in ("a1", "b2", "c3")]
    store.put("op/config", config(5, [route("r-order", "/order/", "orders", kind="non_idempotent", timeout_ms=BUDGET_MS,
                                           goal_ms=GOAL_MS)], {"orders": 35}))
    node = Node(record, store.address, "front-wien-a-1")
    leaving = backends[1]
    try:
        node.start()
        begin = time.monotonic()
        confirmed = None
        callers = []
        number = 0
        while (now := time.monotonic() - begin) < USUAL_S + BURST_S:
            if troubled() and now >= USUAL_S + SLOW_AT_S and leaving.work_s == WORK_S:
                leaving.work_s = SLOW * WORK_S
                record("backend-slow", backend=leaving.identity, times=SLOW)
            if now >= USUAL_S + REPLACED_AT_S and len(backends) == 3:
                backends.append(Backend(store, record, "i-d4", "orders", slots=2, queue=12, work_s=WORK_S).register())
            if now >= USUAL_S + DRAIN_AT_S and confirmed is None:
                confirmed = leaving.drain()
            callers.append(Caller(record, node, f"/order/{number}", method="POST", body=b"one box",
                                  budget_ms=BUDGET_MS).start())
            number += 1
            time.sleep(1 / (USUAL_PER_S if now < USUAL_S else BURST_PER_S))
        time.sleep(max(0.0, confirmed + SERVES_ON_S - time.monotonic()))
        leaving.withdraw()
        leaving.crash()
        by_id = {caller.wait().id: caller for caller in callers}
        bound = confirmed + BOUNDS["drain_ms"] / 1000
        late = [run for run in leaving.arrivals if run["arrived"] > bound]
        cut = [run for run in late if run["result"] != "done"]
        record("callers", sent=len(callers), answered=sum(1 for caller in callers if caller.status == 200))
        violations = []
        for run in late:
            caller = by_id[run["id"]]
            violations.append(f"POST {run['path']} {run['id']}, taken {run['arrived'] - caller.sent_at:.2f} s before, "
                              f"reached {leaving.identity} {run['arrived'] - confirmed:.2f} s after its draining was "
                              f"confirmed; run: {run['result']}, caller got {caller.status}")
        record("late-arrivals", count=len(late), not_finished=len(cut))
        return violations
    finally:
        node.end()
        for backend in backends:
            if backend.alive:
                backend.crash()
        store.stop()


main(HERE, case)
