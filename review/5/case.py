"""A node is killed and started again just after the entry of a leaving backend has been removed. The pages of its first
read are of different age, and the backend is in use again."""

import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from standins import BOUNDS, Backend, Caller, CannotRun, Node, Store, config, main, route, troubled  # noqa: E402

# PROTOCOL.md: a read with allow_stale "may be seconds old", and pages "are not a snapshot". Age of the first and of the
# later pages, in seconds.
STALE_AGE_S = (0.0, 2.0)
# Backends of other services, so that the entries take two pages (a page of the store has 50 items).
OTHERS = 60
# The leaving backend serves for drain_ms after the removal and "at times many seconds" more.
SERVES_ON_S = BOUNDS["drain_ms"] / 1000 + 9


def case(record):
    """Two nodes, of which the first is the only seed; three backends of the service and 60 of another one."""
    store = Store(record)
    store.stale_age = lambda page: STALE_AGE_S[min(page, 1)]
    others = [Backend(store, record, f"i-a{number:02}", "catalogue").register() for number in range(OTHERS)]
    backends = [Backend(store, record, f"i-z{number}", "orders", slots=2, work_s=0.15).register()
                for number in range(3)]
    leaving = backends[1]
    store.put("op/config", config(5, [route("r-order", "/order/", "orders", kind="non_idempotent"),
                                      route("r-find", "/find/", "catalogue")], {"orders": 100, "catalogue": 100}))
    nodes = [Node(record, store.address, f"front-wien-{zone}-1", f"wien-{zone}") for zone in ("a", "b")]
    for node in nodes:
        node.seeds = [nodes[0].relay_address()]
    callers = []
    try:
        time.sleep(STALE_AGE_S[1] + 0.5)
        for node in nodes:
            node.start()
        restarted = nodes[1]
        in_touch_from = time.monotonic() + BOUNDS["stable_ms"] / 1000

        def traffic(seconds):
            end = time.monotonic() + seconds
            while time.monotonic() < end:
                callers.append(Caller(record, restarted, f"/order/{len(callers)}", method="POST", body=b"one box")
                               .start())
                time.sleep(0.03)

        traffic(BOUNDS["stable_ms"] / 1000 + 1)
        if not leaving.runs:
            raise CannotRun("the leaving backend was not in use before")
        removed = leaving.withdraw()
        traffic(0.3)
        if troubled():
            restarted.kill()
            time.sleep(0.3)
            restarted.bootstrap = False
            restarted.start()
            in_touch_from = time.monotonic() + BOUNDS["stable_ms"] / 1000
        traffic(removed + SERVES_ON_S - time.monotonic())
        leaving.crash()
        for caller in callers:
            caller.wait()
        bound = max(removed + BOUNDS["drain_ms"] / 1000, in_touch_from)
        by_id = {caller.id: caller for caller in callers}
        late = [run for run in leaving.arrivals if run["arrived"] > bound]
        record("late-arrivals", count=len(late), not_finished=sum(1 for run in late if run["result"] != "done"))
        return [f"POST {run['path']} {run['id']} reached {leaving.identity} {run['arrived'] - removed:.2f} s after the "
                f"removal of its entry was confirmed; run: {run['result']}, caller got {by_id[run['id']].status}"
                for run in late]
    finally:
        for node in nodes:
            node.end()
        for backend in others + backends:
            if backend.alive:
                backend.crash()
        store.stop()


main(HERE, case)
