"""Limits of workspaces shared by several gateway processes, three of them relays."""

import http.client
import json
import subprocess
import tempfile
import threading
import time
import unittest

from platform_standin import ROOT, GatewayProcess, Store, Target, call, configuration, free_port, route, wait_until

KEY = "quota-test-key"
RATE, BURST = 20, 10
# Defaults of the settings: window in seconds, overshoot and slack.
WINDOW, OVERSHOOT, SLACK = 5, 0.1, 20
BOUND = (RATE * WINDOW + BURST) * (1 + OVERSHOOT) + SLACK
HEADERS = {"Authorization": f"Token {KEY}"}


class QuotaTest(unittest.TestCase):
    """Three relays, two followers, two targets, and a workspace that sends many times its limit to two nodes."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.store = Store()
        self.addCleanup(self.store.stop)
        self.targets = []
        for index in range(2):
            self.targets.append(Target(self.store, f"single-{index}", "single"))
            self.addCleanup(self.targets[-1].server.stop)
        document = configuration(1, [route("fetch", "/fetch/", service="single")], ["single"])
        document["tenants"] = [
            {"name": "limited", "api_keys": [KEY], "rate_per_s": RATE, "burst": BURST},
            {"name": "free", "api_keys": [KEY + "-2"]}]
        self.store.put("op/config", document)
        relays = [f"127.0.0.1:{free_port()}" for _ in range(3)]
        listeners = relays + [f"127.0.0.1:{free_port()}" for _ in range(2)]
        self.nodes = []
        for index, listener in enumerate(listeners):
            node = GatewayProcess(folder.name, self.store.address, f"node-{index}",
                                  settings={"relays": relays, "relayListen": listener})
            self.addCleanup(node.stop)
            self.nodes.append(node.start())
        self.ended = threading.Event()
        self.answers = []

    def load(self, node, first, pause):
        """Sends requests one after the other until the test ends, at most 4,000; records time, id and answer."""
        connection = http.client.HTTPConnection("127.0.0.1", node.caller_port, timeout=3)
        for number in range(4000):
            if self.ended.is_set():
                break
            request_id = f"r{first}-{number}"
            answer = call(node.caller_port, f"/fetch/{number}", request_id, connection=connection, headers=HEADERS)
            self.answers.append((time.monotonic(), request_id, answer))
            time.sleep(pause)
        connection.close()

    def run_times(self):
        """Times at which the targets began to run requests of the limited workspace."""
        return sorted(run["at"] for target in self.targets for run in list(target.runs) if run["id"].startswith("r"))

    def used(self, start, end):
        """Share of the limit that ran from `start` to `end`."""
        return sum(start <= at < end for at in self.run_times()) / (RATE * (end - start))

    # Guards against nodes that together run more than the bound, less than the limit, or nothing after a relay died.
    def test_nodes_together_keep_to_the_limit_and_use_it(self):
        threads = [threading.Thread(target=self.load, args=(node, index, 0.02), daemon=True)
                   for index, node in enumerate([self.nodes[3], self.nodes[4]] * 2)]
        for thread in threads:
            thread.start()
        self.addCleanup(self.ended.set)
        time.sleep(9)
        killed_at = time.monotonic()
        self.nodes[0].process.kill()
        time.sleep(9)
        free = call(self.nodes[3].caller_port, "/fetch/free", "free-1",
                    headers={"Authorization": f"Token {KEY}-2"})
        self.ended.set()
        for thread in threads:
            thread.join(5)
        times = self.run_times()
        most = max(sum(start <= at < start + WINDOW for at in times) for start in times)
        statuses = {status: sum(answer.status == status for _, _, answer in self.answers)
                    for status in {answer.status for _, _, answer in self.answers}}
        before, after = self.used(killed_at - 4, killed_at), self.used(killed_at + 4, killed_at + 9)
        print(f"most in a window {most} of {BOUND}, use {before:.3f}, with two relays {after:.3f}, {statuses}")
        self.assertLessEqual(most, BOUND)
        self.assertGreaterEqual(before, 0.9)
        self.assertGreaterEqual(after, 0.9 * 2 / 3)
        self.assertEqual(free.status, 200)
        self.assertEqual(set(statuses) - {200, 429, 503}, set())
        self.assertGreater(statuses[429], statuses[200])
        ran = {run["id"] for target in self.targets for run in target.runs}
        refused = [(request_id, answer) for _, request_id, answer in self.answers if answer.status != 200]
        self.assertEqual([request_id for request_id, _ in refused if request_id in ran], [])
        for _, answer in refused:
            self.assertGreater(float(answer.headers["Retry-After"]), 0)

    def restart(self, nodes, relays):
        """Starts nodes again with a list of relays, as after a loss of all machines."""
        for node in nodes:
            node.settings.update(relays=relays, restarted=True)
            node.settings_file.write_text(json.dumps(node.settings), encoding="utf-8")
            node.start(wait=False)
        for node in nodes:
            wait_until(node.ready, 10)

    def start_load(self, nodes, pause):
        """Starts one caller for each node; the callers end with the test."""
        for index, node in enumerate(nodes):
            threading.Thread(target=self.load, args=(node, index, pause), daemon=True).start()
        self.addCleanup(self.ended.set)

    def most_in_a_window(self):
        """Largest number of requests that ran within a window."""
        times = self.run_times()
        return max((sum(start <= at < start + WINDOW for at in times) for start in times), default=0)

    # Guards against a workspace that nobody serves any more once the relays of the settings are lost for good.
    def test_other_nodes_issue_when_no_relay_comes_back(self):
        wait_until(lambda: "toucan/nodes" in self.store.items, 15)
        for node in self.nodes:
            node.process.kill()
        for node in self.nodes:
            node.process.wait()
        relays = self.nodes[3].settings["relays"]
        added = GatewayProcess(self.folder, self.store.address, "node-5",
                               settings={"relays": relays, "relayListen": f"127.0.0.1:{free_port()}"})
        self.addCleanup(added.stop)
        back = [*self.nodes[3:], added]
        self.restart(back, relays)
        started = time.monotonic()
        self.start_load(back, 0.05)
        time.sleep(17)
        self.ended.set()
        used = self.used(started + 12, started + 17)
        print(f"use {used:.3f} of the limit from 12 s on, most in a window {self.most_in_a_window()} of {BOUND}")
        self.assertGreaterEqual(used, 0.25)
        self.assertLessEqual(self.most_in_a_window(), BOUND)

    # Guards against two sets of issuers where nodes were started with different lists of relays.
    def test_nodes_with_other_settings_ask_the_same_relays(self):
        time.sleep(2)
        others = self.nodes[3:]
        for node in others:
            self.assertEqual(node.stop(), 0)
        self.restart(others, [node.settings["relayListen"] for node in others])
        self.start_load(self.nodes, 0.02)
        time.sleep(8)
        self.ended.set()
        print(f"most in a window {self.most_in_a_window()} of {BOUND}")
        self.assertLessEqual(self.most_in_a_window(), BOUND)
        for node in others:
            self.assertGreater(node.metrics()["toucan_gateway_quota_tokens_granted_total"], 0)

    # Guards against a refusal that an operator cannot trace, and against a key in a log.
    def test_refusals_leave_a_line_and_metrics(self):
        node = self.nodes[3]
        answers = [call(node.caller_port, "/fetch/1", f"r{number}", headers=HEADERS) for number in range(120)]
        refused = [number for number, answer in enumerate(answers) if answer.status == 429]
        self.assertTrue(refused)
        wait_until(lambda: f"event=refused request=r{refused[0]} status=429" in node.log(), 2)
        self.assertIn("workspace=limited limit=20.000", node.log())
        metrics = node.metrics()
        self.assertEqual(metrics["toucan_gateway_quota_refusals_exhausted_total"], len(refused))
        self.assertGreaterEqual(metrics["toucan_gateway_quota_tokens_granted_total"], len(answers) - len(refused))
        self.assertGreater(metrics["toucan_gateway_quota_asks_total"], 0)
        self.assertEqual(metrics['toucan_gateway_workspace_requests_total{workspace="limited"}'], len(answers))
        table = subprocess.run([ROOT / "build" / "tgctl", "workspaces", "--json",
                                *(other.settings["metricsListen"] for other in self.nodes)],
                               capture_output=True, check=True, timeout=10).stdout
        row, = json.loads(table)
        self.assertEqual((row["workspace"], row["limitPerSecond"], row["requests"], row["refused"]),
                         ("limited", RATE, len(answers), len(refused)))
        for other in self.nodes:
            self.assertNotIn(KEY, other.log())

    # Guards against a node that is no relay and issues tokens, and against a message that ends the process.
    def test_only_relays_issue_and_bad_messages_are_refused(self):
        def ask(node, body):
            host, port = node.settings["relayListen"].split(":")
            connection = http.client.HTTPConnection(host, int(port), timeout=2)
            self.addCleanup(connection.close)
            connection.request("POST", "/v1/quota", body=body)
            return connection.getresponse().status

        good = ('{"configuration":1,"node":"n","relay":true,"asks":[{"limit":"workspace:limited","waiting":1,'
                '"ahead":0,"demand":1}]}')
        many = good.replace("[{", "[" + '{"limit":"x","waiting":0,"ahead":0,"demand":0},' * 1000 + "{")
        self.assertEqual(ask(self.nodes[0], good), 200)
        self.assertEqual(ask(self.nodes[3], good), 404)
        self.assertEqual(ask(self.nodes[0], good[:-2]), 400)
        self.assertEqual(ask(self.nodes[0], many), 413)
        self.assertEqual(call(self.nodes[0].caller_port, "/fetch/1", "r1", headers=HEADERS).status, 200)


if __name__ == "__main__":
    unittest.main()
