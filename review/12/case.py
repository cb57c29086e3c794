"""DRAIN while the store turns one machine away for less than two seconds."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-3"))

from fleet import TROUBLE, Client, config, play, route  # noqa: E402

DRAIN_S = 3.0
TURNED_AWAY_S = 1.3
TRIALS = 6


def traffic(client, stop):
    """Twenty requests a second."""
    while not stop.wait(0.05):
        client.send("/records/1")


def body(run):
    """Returns whether the rule held."""
    run.store.put("op/config", config(7, [route("records", "/records/", service="records")], ["records"]))
    for number in range(3):
        run.server(f"i-{number}", "records")
    nodes = [run.node(f"front-{number}") for number in range(1, 6)]
    seeds = [nodes[0].control]
    for node in nodes:
        node.seeds = seeds
        node.start()
    for node in nodes:
        node.wait_ready()
    first, others = nodes[0], nodes[1:]
    stop = threading.Event()
    clients = [Client(run, node, node.name) for node in others]
    threads = [threading.Thread(target=traffic, args=(client, stop), daemon=True) for client in clients]
    for thread in threads:
        thread.start()
    time.sleep(8)
    late = []
    for trial in range(TRIALS):
        # The servers are replaced one after the other: the new one starts first.
        run.server(f"i-{trial + 3}", "records")
        time.sleep(0.1)
        if TROUBLE:
            run.note("the store answers front-1 with 503, and serves the others")
            run.store.turn_away([first.name], "busy")
        begin = time.monotonic()
        time.sleep(0.1)
        leaving = run.servers[trial]
        gone = leaving.leave_unannounced()
        run.note(f"the store has confirmed that the entry of {leaving.identity} is gone; it serves on", gone)
        time.sleep(TURNED_AWAY_S - (time.monotonic() - begin))
        run.store.turn_away([first.name], None)
        run.note("the store serves all machines")
        time.sleep(gone + 5.5 - time.monotonic())
        after = [(at - gone, request) for at, request in leaving.arrivals if at > gone + DRAIN_S]
        for delay, request in after:
            run.note(f"{request} reached {leaving.identity} {delay:.3f} s after the confirmation", gone + delay)
        if after:
            run.say(f"trial {trial + 1}: {len(after)} requests reached {leaving.identity} later than "
                    f"{DRAIN_S} s after the confirmation, the last {after[-1][0]:.3f} s after it")
        late += after
        leaving.stop()
        time.sleep(2.5)
    stop.set()
    for thread in threads:
        thread.join(3)
    run.say("answers: " + str(sum((client.outcomes for client in clients), type(clients[0].outcomes)())))
    run.say(f"{len(late)} late requests in {TRIALS} trials")
    return not late


if __name__ == "__main__":
    play(pathlib.Path(__file__).resolve().parent, body)
