"""Nodes in failure domains that announce speeds to each other, on a manual clock."""

from fireflyward.aggregators import Aggregators, Member
from fireflyward.http1 import Head
from fireflyward.peers import pack
from fireflyward.platform import decode_response
from fireflyward.replicas import ReplicaDirectory
from fireflyward.speeds import PauseTimes, SpeedTask
from tests.replicas.makers import entry


class _Link:
    """Delivers at once, unless the receiver is in ``mesh.cut_off``."""

    def __init__(self, mesh, name):
        self.mesh = mesh
        self.name = name
        self.handler_by_kind = {}
        self.sent = []

    def register(self, kind, struct_type, handle, **options):
        self.handler_by_kind[kind] = handle

    def send_all(self, addresses, kind, message):
        for address in addresses:
            self.sent.append((address, kind, message))
            self.mesh.bytes_by_node[address] += len(pack(message)) + 110
            if not {address, self.name} & self.mesh.cut_off:
                self.mesh.deliver(self.name, address, kind, message)


class Node:
    """One node with its own list of the same replicas."""

    def __init__(self, mesh, name, domain, clock, replicas):
        self.directory = ReplicaDirectory()
        entries = [entry(f"r{i}", started_ms=5) for i in range(replicas)]
        self.directory.on_full_read(0, entries)
        self.aggregators = Aggregators(name, domain, link_mbps=10)
        self.task = SpeedTask(
            clock=clock,
            directory=self.directory,
            aggregators=self.aggregators,
            pauses=PauseTimes(),
        )
        self.link = _Link(mesh, name)
        self.task.use(self.link)

    def answer(self, report, name="r0", status=200, headers=()):
        facts = decode_response(Head(status, "", (("x-server-load", report), *headers)))
        self.task.on_response(self.directory.find(name), facts)

    def factor(self, now_ms, name="r0"):
        return self.directory.find(name).speed.factor(now_ms)


class Mesh:
    """Nodes by name; the addresses of the nodes are their names."""

    def __init__(self, clock, *, nodes, domains=1, replicas=3):
        members = [
            Member(f"n{i}", f"d{i % domains}", f"n{i}", 10) for i in range(nodes)
        ]
        self.cut_off = set()
        self.bytes_by_node = dict.fromkeys((m.name for m in members), 0)
        self.by_name = {
            m.name: Node(self, m.name, m.failure_domain, clock, replicas)
            for m in members
        }
        for name, node in self.by_name.items():
            node.aggregators.set_members([m for m in members if m.name != name])

    def deliver(self, sender, address, kind, message):
        handler = self.by_name[address].link.handler_by_kind.get(kind)
        if handler is None:
            return
        handling = handler(sender, message)
        try:
            handling.send(None)
        except StopIteration:
            return
        raise AssertionError("a handler waits")

    def factors(self, now_ms, name="r0"):
        return {node.factor(now_ms, name) for node in self.by_name.values()}

    def sent(self):
        return [item for node in self.by_name.values() for item in node.link.sent]
