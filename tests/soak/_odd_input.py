"""Malformed input and signals that must not end a process, drawn from a seed."""

import asyncio
import json
import signal

from ._faults import Faults

_ODD_ADDRESSES = (
    "127.0.0.1:" + "1" * 5_000,
    "127.0.0.1:99999",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:\u00b2\u00b2",
    "127.0.0.1",
    "a\0b:80",
    "\u00e9\u00e8.example:80",
    "x" * 300 + ":80",
    "..:80",
    "[::1]:80",
    "256.1.1.1:80",
    "0.0.0.0:1",
    # Nothing listens at these.
    "127.0.0.1:1",
    "127.255.255.254:1",
    "",
)
_ODD_NUMBERS = (-1, 0, 1e308, -1e308, 2**63, 2**64, 10**400, 0.5, None, "8", True)
_NUMBER_FIELDS = ("slots", "sequence", "cold-remaining-ms", "born")
_TEXT_FIELDS = ("service", "zone", "version", "state")
_ODD_TEXTS = ("", "x" * 100_000, "\r\nX-Injected: 1", "\ud800", "\0", None, 7)
_ODD_VALUES = (
    b"",
    b"null",
    b"[]",
    b"{",
    b"\xff\xfe",
    b"[" * 100_000,
    b'{"service":' * 900 + b"1" + b"}" * 900,
)
# How often an entry that keeps changing is written.
_CHANGE_PAUSE_S = 0.1
_POLL_S = 0.005


class OddInput(Faults):
    """Writes malformed entries, and signals processes while they start.

    Entries are of replicas that do not exist, or stand in place of a sound replica's
    for a while. A signal is sent at any time after the first line of a process.
    """

    pauses_s = (0.05, 0.3)

    def kinds(self):
        return (
            self._odd_entry,
            self._odd_entry,
            self._changing_entry,
            self._odd_entry_of_a_sound_replica,
            self._odd_row,
            self._restart_with_signals,
            self._reload_cut_settings,
            self._reload,
        )

    def _odd_bytes(self):
        """Return an entry's value with one to three odd parts."""
        if self._random.random() < 0.25:
            return self._random.choice(_ODD_VALUES)
        replica = self._random.choice(self._fleet.replicas)
        entry = json.loads(replica.entry("engines" if replica.model else "plain"))
        for _ in range(self._random.randint(1, 3)):
            draw = self._random.random()
            if draw < 0.4:
                entry["address"] = self._random.choice(_ODD_ADDRESSES)
            elif draw < 0.7:
                field = self._random.choice(_NUMBER_FIELDS)
                entry[field] = self._random.choice(_ODD_NUMBERS)
            elif draw < 0.9:
                field = self._random.choice(_TEXT_FIELDS)
                entry[field] = self._random.choice(_ODD_TEXTS)
            else:
                version = self._random.choice(_ODD_NUMBERS)
                entry["models"] = [{"name": "m", "version": version}]
        # An entry that names no living replica's address is unreachable at worst.
        if entry["address"] in [item.address for item in self._fleet.replicas]:
            entry["address"] = self._random.choice(_ODD_ADDRESSES)
        return json.dumps(entry).encode()

    async def _odd_entry(self):
        key = f"odd-{self._random.randrange(1_000)}"
        self._fleet.store.put("servers", key, self._odd_bytes())
        await self._sleep_during_fault()
        self._fleet.store.remove("servers", key)

    async def _changing_entry(self):
        for _ in range(self._random.randint(3, 10)):
            self._fleet.store.put("servers", "odd-changing", self._odd_bytes())
            await asyncio.sleep(_CHANGE_PAUSE_S)
        self._fleet.store.remove("servers", "odd-changing")

    async def _odd_entry_of_a_sound_replica(self):
        replica = self._random.choice(self._fleet.staying_replicas())
        self._fleet.store.put("servers", replica.incarnation, self._odd_bytes())
        await self._sleep_during_fault()
        self._fleet.list_replica(replica)

    async def _odd_row(self):
        """Write a malformed row of an operator whose key stands for itself."""
        prefix = self._random.choice(("version/", "evacuate/", "other/"))
        key = f"{prefix}odd-{self._random.randrange(1_000)}"
        self._fleet.store.put("op", key, self._random.choice(_ODD_VALUES))
        await self._sleep_during_fault()
        self._fleet.store.remove("op", key)

    async def _restart_with_signals(self):
        """Restart a node; SIGHUP, and maybe SIGTERM, follow its first line."""
        node = self._pick_healthy_node()
        if node is None:
            return
        self._fleet.faulted_nodes.add(node)
        end = self._fleet.disturbances.begin(node.name)
        await node.kill()
        logged_bytes = node.log.stat().st_size
        await node.start()
        while node.is_running and node.log.stat().st_size == logged_bytes:
            await asyncio.sleep(_POLL_S)
        for _ in range(self._random.randint(1, 4)):
            await asyncio.sleep(self._random.uniform(0.0, 0.2))
            node.signal(signal.SIGHUP)
        if self._random.random() < 0.3:
            node.signal(signal.SIGTERM)
            code = await node.wait_for_exit()
            if code != 0:
                self._fleet.violations.append(
                    f"{node.name} exited with {code} on SIGTERM during its start"
                )
            await node.start()
        while node.is_running and not await node.is_ready():
            await asyncio.sleep(10 * _POLL_S)
        end()
        self._fleet.faulted_nodes.discard(node)

    async def _reload_cut_settings(self):
        """Let a node reload a file that is being written."""
        node = self._pick_healthy_node()
        if node is None:
            return
        node.write_settings(share=self._random.choice((0.0, 0.3, 0.9)))
        node.signal(signal.SIGHUP)
        await asyncio.sleep(self._random.uniform(0.0, 0.3))
        node.write_settings()
        node.signal(signal.SIGHUP)

    async def _reload(self):
        for node in self._fleet.nodes:
            # No program can hold a signal that precedes its first line.
            if node not in self._fleet.faulted_nodes:
                node.signal(signal.SIGHUP)
            await asyncio.sleep(self._random.uniform(0.0, 0.05))
