"""Tests a single daemon: TLS, reload of settings, planned stop."""

import signal
import ssl
import subprocess
import unittest
import urllib.error
import urllib.request

import yaml
from deployment import ROOT, wait_until

ADDRESS = "127.83.0.1"


class DaemonTest(unittest.TestCase):
    """Runs a steerd without platform and peers, which responds but is not ready."""

    @classmethod
    def setUpClass(cls):
        cls.work = ROOT / "build" / "system-daemon"
        cls.work.mkdir(parents=True, exist_ok=True)
        subprocess.run(["openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes", "-days", "2",
                        "-keyout", "key.pem", "-out", "cert.pem", "-subj", "/CN=medlarcroft",
                        "-addext", f"subjectAltName=IP:{ADDRESS}"],
                       cwd=cls.work, check=True, capture_output=True)
        cls.settings = {
            "host": "alone-1", "failure_domain": "alone", "lookup_listen": f"{ADDRESS}:17001",
            "lookup_tls": {"certificate": str(cls.work / "cert.pem"),
                           "key": str(cls.work / "key.pem")},
            "peer_listen": f"{ADDRESS}:17002", "routing_listen": f"{ADDRESS}:17003",
            "platform_url": f"http://{ADDRESS}:17000", "peers": [], "operators": [],
            "drain": {"pause_ms": 200, "limit_ms": 1000}}

    def setUp(self):
        self.write_settings(self.settings)
        self.log = self.work / "steerd.log"
        with open(self.log, "wb") as log:
            self.process = subprocess.Popen(
                [str(ROOT / "build/programs/medlar-steerd"), "--settings",
                 str(self.work / "steerd.yaml")], stderr=log, stdin=subprocess.DEVNULL)
        wait_until("steerd to answer over TLS", lambda: self.get("/healthz") == 200)

    def tearDown(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def write_settings(self, settings):
        (self.work / "steerd.yaml").write_text(yaml.safe_dump(settings))

    def get(self, path):
        """Returns the status; verifies the certificate against the test's own trust anchor."""
        context = ssl.create_default_context(cafile=str(self.work / "cert.pem"))
        opener = urllib.request.build_opener(urllib.request.ProxyHandler({}),
                                             urllib.request.HTTPSHandler(context=context))
        try:
            with opener.open(f"https://{ADDRESS}:17001{path}", timeout=5) as answer:
                return answer.status
        except urllib.error.HTTPError as error:
            return error.code

    def wait_for_event(self, event):
        wait_until(event, lambda: f'"event":"{event}"' in self.log.read_text())

    # A host without data is alive but not ready.
    def test_tls_and_readiness(self):
        self.assertEqual(self.get("/readyz"), 503)

    # An operator edits the settings of a running daemon and sends SIGHUP. Valid settings are
    # applied, a faulty file changes nothing, and the daemon continues to serve.
    def test_settings_reload_on_sighup(self):
        self.process.send_signal(signal.SIGHUP)
        self.wait_for_event("settings-reloaded")
        self.write_settings(self.settings | {"no_such_setting": 1})
        self.process.send_signal(signal.SIGHUP)
        self.wait_for_event("settings-refused")
        self.assertIn("no_such_setting: unknown-key", self.log.read_text())
        self.assertEqual(self.get("/healthz"), 200)

    def test_planned_stop_exits_with_status_0(self):
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(timeout=30), 0)
        self.wait_for_event("stopped")


if __name__ == "__main__":
    unittest.main(verbosity=2)
