"""All machines lose power; the three that are named as seeds never come back, and others are added."""

import asyncio
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib-2"))

from case import HOST, Case, Store, free_addresses  # noqa: E402
from standins import SMALL_BOUNDS, Backend, config, now, route  # noqa: E402

RECOVERY_S = 15                              # bounds.recovery_s
RATE, BURST, PER_SECOND = 100, 50, 40        # the tenant's quota, and what it sends
BEFORE_S, DOWN_S, AFTER_S = 10, 1.5, 15
KEY = "k-acme-1"


class LostSeedsCase(Case):
    async def play(self, folder):
        store = await Store().listen("127.0.0.1")
        document = config(1, [route("search", HOST, "/search/", "idempotent", service="search")], ["search"])
        document["tenants"] = [{"name": "acme", "api_keys": [KEY], "priority": 1, "rate_per_s": RATE, "burst": BURST}]
        await store.put("op/config", document)
        self.tries = []
        for _ in range(4):
            await Backend(store, "search", "zone-a", self.record, work_s=0.01).start()
        bounds = {**SMALL_BOUNDS, "quota_window_s": 5, "quota_overshoot": 0.1, "quota_slack": 20,
                  "recovery_s": RECOVERY_S}
        addresses = free_addresses(10)
        places = [(f"front-{index}", f"zone-{'abc'[index % 3]}") for index in range(10)]
        machines = self.add_machines(folder, places, store, addresses[:3], bounds, addresses)
        first, added = machines[:7], machines[7:]
        await self.start_machines(first, bootstrap=True)
        await asyncio.sleep(4)
        self.serving = first
        self.spawn(self.load())
        await asyncio.sleep(BEFORE_S)
        for machine in first:
            machine.signal(signal.SIGKILL)
        fault = now()
        self.record("all machines lose power")
        for machine in first:
            await asyncio.to_thread(machine.process.wait)
        await asyncio.sleep(DOWN_S)
        back = first[3:] + added if self.trouble else first
        if self.trouble:
            self.record(f"{', '.join(machine.name for machine in first[:3])} are lost for good; "
                        f"{', '.join(machine.name for machine in added)} are added")
        await self.start_machines(back, bootstrap=False)
        recovered = now() + RECOVERY_S
        self.record("the machines are back")
        self.serving = back
        await asyncio.sleep(RECOVERY_S + AFTER_S)
        self.stopping = True
        await asyncio.sleep(2)
        return self.judge(fault, recovered)

    async def load(self):
        number = 0
        while not self.stopping:
            number += 1
            self.spawn(self.ask_for(f"r-{number:05}"))
            await asyncio.sleep(1 / PER_SECOND)

    async def ask_for(self, request):
        """A requester: one retry, after the time that the refusal names."""
        sent = now()
        for attempt in "ab":
            machine = self.random.choice(self.serving)
            status, fields = await self.send(machine, f"GET /search/{request}", request + attempt,
                                             {"Authorization": f"Token {KEY}"})
            if status == 200:
                break
            await asyncio.sleep(min(float(fields.get("retry-after", 0)), 0.6))
        self.tries.append((sent, status == 200))

    def judge(self, fault, recovered):
        """RECOVER: the share that is served later than recovery_s after the machines are back."""
        before = [served for sent, served in self.tries if sent < fault - 0.5]
        after = [served for sent, served in self.tries if sent > recovered]
        shares = [sum(part) / max(len(part), 1) for part in (before, after)]
        self.record(f"RECOVER: served before the final fault {shares[0]:.3f} of {len(before)}, later than "
                    f"{RECOVERY_S} s after the machines were back {shares[1]:.3f} of {len(after)}; bound 0.25")
        return shares[0] >= 0.25 > shares[1]


asyncio.run(LostSeedsCase(HERE).run())
