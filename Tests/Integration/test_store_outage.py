"""Tests of outages of the store with real processes."""

import pathlib
import sys
import tempfile
import time
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "Scripts"))

import store_outage  # noqa: E402  (the path is set above)
from toucanfleet import Fleet, call  # noqa: E402


class StoreOutageTest(unittest.TestCase):
    """A short run of Scripts/store_outage.py, and the start of a node during an outage."""

    def test_outage_of_10_s_is_not_felt(self):
        """Guards against commands that call the store for each decision, and against queries that call it at all."""
        with tempfile.TemporaryDirectory() as folder:
            result = store_outage.measure(folder, 10, 3, after_s=3)
        print(store_outage.describe(result))
        for phases in result.phases.values():
            for phase in phases.values():
                self.assertEqual(phase.good, phase.sent)
            self.assertGreater(phases["during"].sent, 300)

    def test_new_vm_gets_its_configuration_from_peers(self):
        """Guards against a replaced VM that gets no configuration, or an outdated one, while the store is down."""
        with tempfile.TemporaryDirectory() as folder, Fleet(folder, "loeffelchen", "small") as fleet:
            # Creates a second version, so that an outdated configuration can be distinguished from the newest one.
            drained = next(iter(fleet.target_settings))
            self.assertEqual(fleet.tgctl("drain", drained).returncode, 0)
            time.sleep(1)
            call(fleet.platform, "POST", "/control", {"outage": True})
            fleet.kill("entry-2")
            fleet.start_node("entry-2")
            started = time.monotonic()
            fleet.wait_ready("entry-2")
            elapsed = time.monotonic() - started
            self.assertEqual(fleet.configuration_version("entry-2"), fleet.configuration_version("entry-1"))
            answer = fleet.query("entry-2", "recipe-catalogue", {"text": "carrot", "limit": 5})
            self.assertEqual(answer.status, 200)
            call(fleet.platform, "POST", "/control", {"outage": False})
        print(f"ready after {elapsed:.1f} s", end=" ", flush=True)
        self.assertLess(elapsed, 10)


if __name__ == "__main__":
    unittest.main()
