"""Partitions of whole nodes from replicas, brittle replicas and silent ones."""

import asyncio
import base64
import enum
import json
import socket

from tests.platform_standins import RawServer

from ._ports import free_ports
from ._proxy import Link, Proxy

# From this time after the begin of a partition on, its nodes are compared with others.
_CONTACT_S = 3.0
_MIN_RELATIVE_SHARE = 2 / 3
_ALLOWED_FAILURES = 10
_ALLOWED_FAILED_SHARE = 1 / 50
_SILENCE_S = 1.2


class Cut(enum.Enum):
    """What happens to a node's connections to replicas: open ones, new ones."""

    SILENT = (Link.SILENT, "hang")
    RESET = (None, "refused")
    NEW_HANG = (Link.NORMAL, "hang")
    NEW_REFUSED = (Link.NORMAL, "refused")


class NodeLink(Proxy):
    """The link of one node to one replica; new connections can hang or be refused."""

    def __init__(self, target):
        super().__init__(target)
        self._port = free_ports(1)[0]
        self._blocker = None
        # Cuts may overlap; the link works again after the last one.
        self._cuts = 0

    async def start(self):
        self._server = await asyncio.start_server(
            self._handle_connection, "127.0.0.1", self._port
        )

    @property
    def address(self):
        return f"127.0.0.1:{self._port}"

    def cut(self, cut):
        self._cuts += 1
        open_mode, new = cut.value
        if self._server is not None:
            self._server.close()
            self._server = None
        if open_mode is None:
            self.reset_all()
        else:
            self.mode = open_mode
        if new == "hang" and self._blocker is None:
            self._blocker = _Blocker(self._port)

    async def restore(self):
        self._cuts -= 1
        if self._cuts == 0:
            self._unblock()
            self.mode = Link.NORMAL
            if self._server is None:
                await self.start()

    async def stop(self):
        self._unblock()
        await super().stop()

    def _unblock(self):
        if self._blocker is not None:
            self._blocker.close()
            self._blocker = None


class _Blocker:
    """A listener whose queue is full, so that the kernel drops new connections."""

    def __init__(self, port):
        self._sockets = [socket.socket()]
        listener = self._sockets[0]
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port))
        listener.listen(0)
        for _ in range(2):
            queued = socket.socket()
            queued.setblocking(False)
            queued.connect_ex(("127.0.0.1", port))
            self._sockets.append(queued)

    def close(self):
        for item in self._sockets:
            item.close()


class StoreView(RawServer):
    """The store as one node sees it: replicas have the addresses of its own links."""

    def __init__(self, store):
        super().__init__()
        self._store = store
        self.link_by_replica = {}

    async def answer(self, request, writer):
        captured = _Captured()
        keep = await self._store.answer(request, captured)
        if captured.data:
            writer.write(self._translate(captured.data))
        return keep

    def _translate(self, data):
        head, _, body = data.partition(b"\r\n\r\n")
        if not body:
            return data
        value = json.loads(body)
        for row in value.get("rows", ()):
            if row["table"] == "servers" and row.get("value"):
                entry = base64.b64decode(row["value"])
                for replica, link in self.link_by_replica.items():
                    entry = entry.replace(
                        f'"{replica}"'.encode(), f'"{link.address}"'.encode()
                    )
                row["value"] = base64.b64encode(entry).decode()
        return with_body(head, json.dumps(value).encode())


def with_body(head, body):
    """Return a response with another body."""
    lines = [
        line for line in head.split(b"\r\n") if not line.startswith(b"Content-Len")
    ]
    lines.append(f"Content-Length: {len(body)}".encode())
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class _Captured:
    def __init__(self):
        self.data = b""

    def write(self, data):
        self.data += data


class Partitions:
    """Cuts nodes from replicas, and lets replicas be brittle or silent.

    A cut concerns one node, most nodes or all of them, and all replicas, all but one,
    or one service.
    """

    def __init__(self, random, fleet):
        self._random = random
        self._fleet = fleet
        self._periods = []
        self.history = []

    async def run(self):
        kinds = (self._cut, self._cut, self._brittle, self._silent)
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self._random.uniform(0.2, 0.8))
                kind = self._random.choice(kinds)
                self.history.append(kind.__name__)
                if kind == self._cut:
                    await kind()
                else:
                    group.create_task(kind())

    async def _cut(self):
        nodes = self._fleet.nodes
        counts = (1, max(1, 2 * len(nodes) // 3), max(1, 2 * len(nodes) // 3))
        count = self._random.choice((*counts, len(nodes)))
        cut_nodes = self._random.sample(nodes, count)
        replicas = self._random.choice(
            (
                self._fleet.replicas,
                self._fleet.replicas,
                self._fleet.replicas[1:],
                [item for item in self._fleet.replicas if not item.model],
            )
        )
        cut = self._random.choice(list(Cut))
        links = [
            self._fleet.node_link(node, replica)
            for node in cut_nodes
            for replica in replicas
        ]
        begin_s = asyncio.get_running_loop().time()
        for link in links:
            link.cut(cut)
        try:
            await asyncio.sleep(self._random.uniform(1.0, 7.0))
        finally:
            end_s = asyncio.get_running_loop().time()
            self._periods.append((begin_s, end_s, {item.name for item in cut_nodes}))
            for link in links:
                await link.restore()

    async def _brittle(self):
        replica = self._random.choice(self._fleet.replicas)
        number = self._random.choice(("0", "3", "12", "-1", "many"))
        replica.notices = [("Server-Brittle", number)]
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        replica.notices = []

    async def _silent(self):
        """Hold all bytes of a replica's answers for a moment."""
        replica = self._random.choice(self._fleet.replicas)
        if "answer" in vars(replica):
            return
        answer = type(replica).answer
        is_over = asyncio.Event()

        async def held(request, writer):
            await is_over.wait()
            return await answer(replica, request, writer)

        replica.answer = held
        await asyncio.sleep(_SILENCE_S)
        del replica.answer
        is_over.set()

    def violations(self, results):
        """Return the partitions in which callers of cut nodes were served worse.

        Rejections with a retry time count as failed too. Without other nodes there is
        nothing to compare with.
        """
        found = []
        for begin_s, end_s, names in self._periods:
            during = [
                item
                for item in results
                if begin_s + _CONTACT_S <= item.sent_s < end_s - 0.2
            ]
            cut_off = [item.status == 200 for item in during if item.node in names]
            others = [item.status == 200 for item in during if item.node not in names]
            if not cut_off or not others:
                continue
            few = _ALLOWED_FAILURES + _ALLOWED_FAILED_SHARE * len(during)
            share, other_share = _share(cut_off), _share(others)
            if cut_off.count(False) > few and share < _MIN_RELATIVE_SHARE * other_share:
                found.append(
                    f"{sum(cut_off)} of {len(cut_off)} served at {sorted(names)}, "
                    f"{sum(others)} of {len(others)} at the others"
                )
        return found


def _share(served):
    return sum(served) / len(served)
