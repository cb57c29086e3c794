"""The promises P1 to P8 of docs/design.md, section 1.1, with real processes and faults; see docs/PROOFS.md."""

import time

from promise_fleet import QUERIED, PromiseTest


def queries(rate=60, **members):
    """A stream of queries for tg-load."""
    return {"service": QUERIED, "rate": rate} | members


class CoverageTest(PromiseTest):
    """P2 and P3: the coverage is true, and each caller gets the whole answer to its own request."""

    def test_lost_targets_never_give_a_false_whole(self):
        """Guards against answers that count a shard whose only replicas are lost."""
        fleet = self.create_fleet()
        fleet.rule_of(QUERIED)["minimumCoverage"] = 0.3
        fleet.start()
        first, second = fleet.configuration["services"][QUERIED]["snapshots"]["s1"]["shards"][0]
        with self.load(queries(), seconds=5):
            time.sleep(1)
            fleet.target_control(first, crash=True)
            time.sleep(1)
            fleet.target_control(second, crash=True)
            time.sleep(1)
            fleet.target_control(first, crash=False)
        partial = [line for line in self.answered() if not line["coverage"]["whole"]]
        whole = [line for line in self.answered() if line["coverage"]["whole"]]
        self.assertTrue(partial, "no partial answer while a shard was lost")
        self.assertGreater(len(whole), 100)
        self.assertEqual({shard for line in partial for shard in line["coverage"]["missing"]}, {0})
        self.assert_kept()
