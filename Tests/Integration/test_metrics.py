"""Tests of GET /metrics of a running node, parsed like a scraper parses Prometheus text format 0.0.4.

Guards against text that scrapers reject, and against missing counters.
"""

import pathlib
import re
import sys
import tempfile
import unittest
import urllib.request

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2] / "Scripts"))

from toucanfleet import Fleet  # noqa: E402  (the path is set above)

SERVICE = "parent-app-1"
QUERIES = 5
TIMEOUT_S = 5
SAMPLE = re.compile(r'^([a-zA-Z_:][a-zA-Z0-9_:]*)(?:\{(.*)\})? (\S+)$')
LABEL = re.compile(r'([a-zA-Z_][a-zA-Z0-9_]*)="((?:[^"\\\n]|\\["\\n])*)"(?:,|$)')
HISTOGRAM_SUFFIX = re.compile(r"_(bucket|sum|count)$")


def parse_labels(text):
    """Labels as a dictionary. Raises ValueError for text that is not a label list."""
    labels, position = {}, 0
    while position < len(text):
        found = LABEL.match(text, position)
        if not found or found[1] in labels:
            raise ValueError(f"bad labels: {text}")
        labels[found[1]] = found[2]
        position = found.end()
    return labels


def parse(text):
    """Families by name: type and samples (name, labels, value). Raises ValueError for text that a scraper rejects."""
    families, name, helped = {}, None, None
    if not text.endswith("\n"):
        raise ValueError("the last line does not end")
    for line in text.splitlines():
        if line.startswith("# HELP "):
            helped = line.split(" ", 3)[2]
        elif line.startswith("# TYPE "):
            _, _, name, kind = line.split(" ")
            if name in families or name != helped or kind not in ("counter", "gauge", "histogram"):
                raise ValueError(f"bad family: {line}")
            families[name] = (kind, [])
        else:
            found = SAMPLE.match(line)
            if not found:
                raise ValueError(f"bad sample: {line}")
            kind, samples = families[name]
            base = HISTOGRAM_SUFFIX.sub("", found[1]) if kind == "histogram" else found[1]
            if base != name:
                raise ValueError(f"sample outside its family {name}: {line}")
            samples.append((found[1], parse_labels(found[2] or ""), float(found[3])))
    return families


class Metrics(unittest.TestCase):
    """Checks one scrape of one of two nodes after a few queries."""

    @classmethod
    def setUpClass(cls):
        cls.temporary = tempfile.TemporaryDirectory()
        cls.addClassCleanup(cls.temporary.cleanup)
        fleet = Fleet(cls.temporary.name, "loeffelchen", "small", 2)
        with fleet:
            for _ in range(QUERIES):
                fleet.query("entry-1", SERVICE, {"text": "carrot"}, 5000)
            fleet.query("entry-1", SERVICE, {}, priority="royal")
            fleet.query("entry-1", "unknown", {})
            with urllib.request.urlopen(f"http://{fleet.nodes['entry-1'].admin}/metrics", timeout=TIMEOUT_S) as answer:
                cls.content_type = answer.headers["Content-Type"]
                cls.text = answer.read().decode("utf-8")
            cls.families = parse(cls.text)

    def value(self, name, **labels):
        """Value of the only sample with these labels."""
        values = [value for family in self.families.values() for sample, found, value in family[1]
                  if sample == name and found == labels]
        self.assertEqual(1, len(values), f"{name} {labels}\n{self.text}")
        return values[0]

    def test_content_type(self):
        """Guards against a wrong content type, by which scrapers choose their parser."""
        self.assertEqual("text/plain; version=0.0.4", self.content_type)

    def test_series_are_unique(self):
        """Guards against duplicate series, which scrapers reject."""
        series = [(name, tuple(sorted(labels.items()))) for _, samples in self.families.values()
                  for name, labels, _ in samples]
        self.assertEqual(len(series), len(set(series)))

    def test_counters(self):
        """Guards against missing or wrong counts of requests, responses, parts and peers, and a missing version."""
        self.assertEqual(QUERIES, self.value("toucan_requests_total", service=SERVICE, outcome="ran"))
        self.assertEqual(1, self.value("toucan_requests_total", service=SERVICE, outcome="not-run"))
        self.assertEqual(QUERIES, self.value("toucan_responses_total", service=SERVICE, status="200"))
        self.assertEqual(1, self.value("toucan_responses_total", service=SERVICE, status="400"))
        self.assertEqual(1, self.value("toucan_peers", state="alive"))
        self.assertGreaterEqual(self.value("toucan_configuration_version"), 1)
        self.assertGreaterEqual(self.value("toucan_coordinator_first_attempts_total"), 3 * QUERIES)
        self.assertGreaterEqual(self.value("toucan_caller_requests_total"), QUERIES + 2)
        for name, (kind, _) in self.families.items():
            self.assertEqual(kind == "counter", name.endswith("_total"), name)

    def test_queue_lengths(self):
        """Guards against a target without a metric of its queue at the dispatcher."""
        targets = [labels["target"] for _, labels, _ in self.families["toucan_carrier_target_queued"][1]]
        self.assertGreaterEqual(len(targets), 3)

    def test_services_are_bounded(self):
        """Guards against an unbounded number of series when callers send names of unknown services."""
        self.assertNotIn('service="unknown"', self.text)

    def test_latency_histogram(self):
        """Guards against histogram buckets that are unsorted, not cumulative or do not add up to the count."""
        name = "toucan_request_duration_milliseconds"
        buckets = [(labels["le"], value) for sample, labels, value in self.families[name][1]
                   if sample == f"{name}_bucket" and labels["service"] == SERVICE]
        bounds = [float(bound) for bound, _ in buckets]
        self.assertEqual(sorted(bounds), bounds)
        self.assertEqual("+Inf", buckets[-1][0])
        counts = [value for _, value in buckets]
        self.assertEqual(sorted(counts), counts)
        self.assertEqual(QUERIES + 1, counts[-1])
        self.assertEqual(counts[-1], self.value(f"{name}_count", service=SERVICE))
        self.assertGreater(self.value(f"{name}_sum", service=SERVICE), 0)


if __name__ == "__main__":
    unittest.main()
