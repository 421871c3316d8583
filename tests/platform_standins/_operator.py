"""Stand-in for the operator, who writes configurations and other rows to the store."""

import json

CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "stream",
            "host": "h.example",
            "path-prefix": "/s/",
            "kind": "streaming",
            "timeout-ms": 5_000,
            "target-latency-ms": 600,
            "priority": 1,
            "service": "engines",
            "max-attempts": 2,
            "allow-anonymous": False,
            "sticky": True,
            "resumable": True,
            "gap-target-ms": 300,
        },
        {
            "name": "safe",
            "host": "h.example",
            "path-prefix": "/r/",
            "kind": "safe",
            "timeout-ms": 2_000,
            "target-latency-ms": 300,
            "priority": 2,
            "service": "plain",
            "max-attempts": 2,
        },
        {
            "name": "unsafe",
            "host": "h.example",
            "path-prefix": "/w/",
            "kind": "unsafe",
            "timeout-ms": 2_000,
            "target-latency-ms": 300,
            "priority": 2,
            "service": "plain",
            "max-attempts": 1,
        },
    ],
    "services": [
        {"name": "plain", "health-path": "/healthz", "max-connections": 50},
        {
            "name": "engines",
            "max-connections": 50,
            "engine": {"slots": 4, "kv-capacity-tokens": 100_000, "models": []},
        },
    ],
    "limits": {
        "max-header-bytes": 16_384,
        "max-body-bytes": 1_000,
        "header-timeout-ms": 3_000,
        "idle-timeout-ms": 15_000,
    },
    "tenants": [{"name": "acme", "api-keys": ["key-1", "key-2"], "priority": 1}],
}


class Operator:
    """Writes rows to a store stand-in as an operator does."""

    def __init__(self, store):
        self._store = store
        self.configuration = json.loads(json.dumps(CONFIGURATION))

    def configure(self, **changes):
        """Write the configuration with the given changes as a newer version."""
        self.configuration.update(changes)
        self.configuration["version"] += 2
        self._store.put("op", "config", json.dumps(self.configuration).encode())

    def set_weights_version(self, model, version):
        value = json.dumps({"model": model, "version": version}).encode()
        self._store.put("op", f"version/{model}", value)

    def evacuate(self, failure_domain, value=b"{}"):
        """Request that the replicas of a failure domain get no more requests."""
        self._store.put("op", f"evacuate/{failure_domain}", value)

    def withdraw_evacuation(self, failure_domain):
        self._store.remove("op", f"evacuate/{failure_domain}")


def settings_text(store_address, ports, **changes):
    """Return the text of a settings file.

    ``ports`` are the ports for callers, for readiness and for peers.
    """
    callers, readiness, peers = ports
    settings = {
        "node-name": "entry-1",
        "ip": "127.0.0.1",
        "zone": "a",
        "zones": {"a": "region"},
        "listen": {
            "front": f"127.0.0.1:{callers}",
            "readiness": f"127.0.0.1:{readiness}",
        },
        "internal-ports": [peers, peers + 5],
        "limits": {"memory-mb": 300, "link-mbps": 1000.0},
        "heartbeat-ms": 1_200,
        "bounds": {"grace-s": 4, "lease-ms": 600, "thaw-slack-ms": 10},
        "platform": {
            "address": store_address,
            "writes-per-s": 400,
            "reads-per-s": 2_000,
            "history-s": 20,
        },
    }
    settings.update(changes)
    return json.dumps(settings)
