"""What the scripts of the cases share: the record, the start of machines, requests and the end of all processes."""

import asyncio
import os
import pathlib
import random
import tempfile

from standins import FRONT, Machine, Store, ask, free_addresses, now

HOST = "front.example"


class Case:
    """One run of a case; subclasses define play(folder), which returns whether the rule was broken."""

    def __init__(self, folder):
        self.folder, self.trouble = pathlib.Path(folder), os.environ.get("TROUBLE", "1") != "0"
        self.lines, self.start, self.tasks, self.machines, self.answers = [], now(), [], [], {}
        self.random = random.Random()
        self.stopping = False

    def record(self, text):
        self.lines.append(f"{now() - self.start:9.3f} s  {text}")

    def spawn(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    def add_machines(self, folder, places, store, seeds, bounds, addresses):
        """Creates machines; `seeds` are addresses."""
        added = [Machine(folder, name, zone, address, store.address, seeds, bounds)
                 for (name, zone), address in zip(places, addresses)]
        self.machines += added
        return added

    async def start_machines(self, machines, bootstrap):
        """Starts processes and waits until they are ready."""
        for machine in machines:
            machine.start(bootstrap)
            self.record(f"{machine.name} starts, seeds {','.join(machine.fields['seeds'])}")
        for machine in machines:
            end = now() + 20
            while not await machine.is_ready():
                if now() > end:
                    raise OSError(f"{machine.name} is not ready")
                await asyncio.sleep(0.05)

    async def send(self, machine, start, request, header=(), body=b"", deadline_ms=2000):
        """Sends one request on a new connection; returns its status and header."""
        self.record(f"request {request} sent to {machine.name}: {start}")
        fields = {}
        try:
            status, fields, _ = await ask(machine.address, FRONT, start, {
                "Host": HOST, "Request-Id": request, "Deadline-Ms": str(deadline_ms), **dict(header)}, body,
                deadline_ms / 1000 + 1)
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            status = repr(error)
        self.answers[request] = status
        self.record(f"request {request} answered: {status}")
        return status, fields

    async def run(self):
        with tempfile.TemporaryDirectory() as folder:
            try:
                code = 1 if await self.play(folder) else 0
            except OSError as error:
                self.record(f"the case could not run: {error!r}")
                code = 2
            finally:
                for task in self.tasks:
                    task.cancel()
                for machine in self.machines:
                    machine.end()
        (self.folder / "record.txt").write_text("\n".join(self.lines) + "\n")
        print(self.lines[-1], f"exit {code}", flush=True)
        os._exit(code)


__all__ = ["Case", "HOST", "Store", "free_addresses"]
