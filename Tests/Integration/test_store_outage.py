"""Test of an outage of the store with real processes."""

import pathlib
import sys
import tempfile
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "Scripts"))

import store_outage  # noqa: E402  (the path is set above)


class StoreOutageTest(unittest.TestCase):
    """The short variant of Scripts/store_outage.py."""

    def test_outage_of_10_s_is_not_felt(self):
        """Guards against commands that need the store for each decision, and against queries that need it at all."""
        with tempfile.TemporaryDirectory() as folder:
            result = store_outage.measure(folder, 10, 3, after_s=3)
        print(store_outage.describe(result))
        for phases in result.phases.values():
            for phase in phases.values():
                self.assertEqual(phase.good, phase.sent)
            self.assertGreater(phases["during"].sent, 300)


if __name__ == "__main__":
    unittest.main()
