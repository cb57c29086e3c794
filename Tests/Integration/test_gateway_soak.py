"""Short runs of the soak test with fixed seeds; seeds that failed before are regression tests."""

import pathlib
import sys
import unittest

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "Scripts"))

from gateway_soak import run_seed  # noqa: E402  (the path is set above)

# Time during which each seed starts faults.
FAULTS_S = 6


class GatewaySoakTest(unittest.TestCase):
    """Each test runs one seed."""

    def check(self, seed):
        """Runs one seed; any breach of a promise fails the test."""
        self.assertEqual(run_seed(seed, FAULTS_S), [])

    # Guards against promises that are broken only when faults overlap.
    def test_seed_1(self):
        self.check(1)

    # Guards against promises that are broken only when nodes are paused during link faults.
    def test_seed_2(self):
        self.check(2)

    # Guards against an extra answer without a request id that is read as the answer to the next request on a persistent
    # connection.
    def test_seed_126(self):
        self.check(126)


if __name__ == "__main__":
    unittest.main()
