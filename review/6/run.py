"""A relay loses its path to the store for 5.5 s at a time while back ends are replaced one after the other."""

import asyncio
import os
import pathlib
import random
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from standins import (FRONT, SMALL_BOUNDS, Backend, Link, Machine, Store, ask, config, free_addresses, now, route)  # noqa: E402

DRAIN_S = 3.0          # bounds.drain_ms
STABLE_S = 4.0         # bounds.stable_ms
CUT_S, CUTS, CUT_EVERY_S = 5.5, 6, 14.0
RELEASE_EVERY_S = 1.0  # per service
PER_SECOND = 60        # per service
HOST = "front.example"


class Run:
    def __init__(self, trouble):
        self.trouble, self.lines, self.start = trouble, [], now()
        self.arrivals, self.answers, self.stopping = [], {}, False
        self.random = random.Random(int(os.environ.get("SEED", "1")))

    def record(self, text):
        self.lines.append(f"{now() - self.start:9.3f} s  {text}")

    async def backend(self, store, service):
        backend = await Backend(store, service, "zone-a", self.record).start()

        def on_arrival(request, method, path):
            self.arrivals.append((now(), request, backend))
            self.record(f"{backend.id} runs {method} {path} of request {request}")

        backend.on_arrival = on_arrival
        return backend

    async def release(self, store, service, backends):
        """Replaces the back ends of a service one after the other; every second one never reports draining."""
        count = 0
        while not self.stopping:
            await asyncio.sleep(RELEASE_EVERY_S)
            backends.append(await self.backend(store, service))
            await asyncio.sleep(0.05)
            count += 1
            leaving = backends.pop(0)
            self.tasks.append(asyncio.create_task(leaving.leave(DRAIN_S, 0.4, reports=count % 2 == 0)))

    async def caller(self, machine, service, kind):
        number = 0
        while not self.stopping:
            number += 1
            self.tasks.append(asyncio.create_task(self.send(machine, service, kind, f"{service}-{number:05}")))
            await asyncio.sleep(1 / PER_SECOND)

    async def send(self, machine, service, kind, request):
        start = f"{'GET' if kind == 'idempotent' else 'POST'} /{service}/{request}"
        self.record(f"request {request} sent to {machine.name}: {start}")
        try:
            status, _, _ = await ask(machine.address, FRONT, start, {
                "Host": HOST, "Request-Id": request, "Deadline-Ms": "4000"}, b"", 6)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            status = repr(error)
        self.answers[request] = status
        self.record(f"request {request} answered: {status}")

    async def run(self, folder):
        store = await Store().listen("127.0.0.1")
        services = {"search": "idempotent", "orders": "non_idempotent"}
        await store.put("op/config", config(1, [route(name, HOST, f"/{name}/", kind, service=name)
                                                for name, kind in services.items()], services))
        pool = {name: [await self.backend(store, name) for _ in range(4)] for name in services}
        places = [("relay-a", "zone-a"), ("relay-b", "zone-b"), ("relay-c", "zone-c"), ("front-a", "zone-a")]
        addresses = free_addresses(len(places))
        link = await Link(store.address).listen("127.0.0.1")
        machines = [Machine(folder, name, zone, address, link.address if name == "relay-a" else store.address,
                            addresses[:3], SMALL_BOUNDS) for (name, zone), address in zip(places, addresses)]
        self.tasks = []
        try:
            for machine in machines:
                machine.start(bootstrap=True)
            for machine in machines:
                end = now() + 15
                while not await machine.is_ready():
                    if now() > end:
                        self.record(f"{machine.name} is not ready")
                        return 2
                    await asyncio.sleep(0.05)
            await asyncio.sleep(STABLE_S)
            for name, kind in services.items():
                self.tasks.append(asyncio.create_task(self.release(store, name, pool[name])))
                self.tasks.append(asyncio.create_task(self.caller(machines[3], name, kind)))
                await asyncio.sleep(RELEASE_EVERY_S / 2)
            for _ in range(CUTS):
                await asyncio.sleep(CUT_EVERY_S - CUT_S + self.random.uniform(0, 0.5))
                if self.trouble:
                    self.record("relay-a is partitioned from the store")
                    link.set_cut(True)
                await asyncio.sleep(CUT_S)
                link.set_cut(False)
                if self.trouble:
                    self.record("relay-a reaches the store again")
            await asyncio.sleep(5)
            self.stopping = True
            await asyncio.sleep(1)
            if any(machine.process.poll() is not None for machine in machines):
                self.record("a gateway process has ended by itself")
                return 2
            return self.judge()
        finally:
            for task in self.tasks:
                task.cancel()
            for machine in machines:
                machine.end()

    def judge(self):
        """DRAIN: requests that reach a back end later than drain_ms after the store confirmed that it is gone."""
        late = [(at - backend.gone_at, request, backend) for at, request, backend in self.arrivals
                if backend.gone_at and at > backend.gone_at + DRAIN_S]
        lost = [request for _, request, _ in late if request.startswith("orders-") and self.answers.get(request) != 200]
        for delay, request, backend in late:
            self.record(f"DRAIN: request {request} reached {backend.id} {delay:.3f} s after its leave was confirmed "
                        f"(bound {DRAIN_S} s); the requester got {self.answers.get(request)}")
        self.record(f"{len(self.answers)} requests, {len(late)} reached a back end too late, "
                    f"{len(lost)} orders among them were run and not answered with success")
        return 1 if late else 0


async def main():
    run = Run(os.environ.get("TROUBLE", "1") != "0")
    with tempfile.TemporaryDirectory() as folder:
        try:
            code = await run.run(folder)
        except OSError as error:
            run.record(f"the case could not run: {error!r}")
            code = 2
    (HERE / "record.txt").write_text("\n".join(run.lines) + "\n")
    print(run.lines[-1], f"exit {code}", flush=True)
    os._exit(code)


asyncio.run(main())
