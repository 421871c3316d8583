"""One node is out of step while replicas of new software join."""

import asyncio
import base64
import json
import random
import signal
from collections import Counter

from ._nodes import NodeProcess
from ._partitions import StoreView, with_body
from ._power_loss import PowerLoss
from ._proxy import Link, Proxy

_STREAMS = 24
_VERSIONS = ("v2", "v3")
_DURATIONS_S = (0.6, 1.2, 3.0, 6.0)
# Streams are taken up this long after the node is in step again; before its return
# they wait in its sockets if it stands still.
_TAKEN_UP_S = (-0.2, 0.0, 0.3, 1.0)
_LATE_S = 4.0
_START_TIMEOUT_S = 40.0


class _MessageLink(asyncio.DatagramProtocol):
    """The way of messages to one node, which can be cut."""

    def __init__(self, port):
        self._target = ("127.0.0.1", port)
        self._proxy = Proxy(f"127.0.0.1:{port}")
        self._transport = None
        self.is_cut = False

    async def start(self):
        await self._proxy.start()
        self._transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", self.port)
        )

    @property
    def port(self):
        return int(self._proxy.address.split(":")[1])

    def datagram_received(self, data, address):
        if not self.is_cut:
            self._transport.sendto(data, self._target)

    def cut(self):
        self.is_cut = True
        self._proxy.mode = Link.SILENT

    def restore(self):
        self.is_cut = False
        self._proxy.mode = Link.NORMAL
        self._proxy.reset_all()

    async def stop(self):
        self._transport.close()
        await self._proxy.stop()


class _NodeView(StoreView):
    """The store as one node sees it: some nodes have the addresses of links."""

    def __init__(self, store):
        super().__init__(store)
        self.link_by_name = {}

    def _translate(self, data):
        head, _, body = data.partition(b"\r\n\r\n")
        value = json.loads(body) if body else {}
        for row in value.get("rows", ()):
            link = self.link_by_name.get(row["key"].removeprefix("node/"))
            if link is not None and row.get("value"):
                entry = json.loads(base64.b64decode(row["value"]))
                entry["port"] = link.port
                row["value"] = base64.b64encode(json.dumps(entry).encode()).decode()
        return with_body(head, json.dumps(value).encode()) if body else data


class OutOfStepFleet(PowerLoss):
    """Nodes whose ways to the store, and to and from one of them, can be cut."""

    def __init__(self, *, nodes, odd):
        super().__init__(nodes=nodes)
        self._odd = odd
        self._views = []
        self._proxies = []
        self._links_from_odd = []
        self._link_to_odd = None

    async def __aenter__(self):
        await super().__aenter__()
        for _ in range(self._nodes_count):
            view = _NodeView(self.store)
            await view.start()
            self._views.append(view)
            proxy = Proxy(view.address)
            await proxy.start()
            self._proxies.append(proxy)
        return self

    async def __aexit__(self, *error):
        for node in self._nodes:
            node.signal(signal.SIGCONT)
        await super().__aexit__(*error)
        links = [link for link in (*self._links_from_odd, self._link_to_odd) if link]
        for item in (*self._proxies, *links, *self._views):
            await item.stop()

    def make_node(self, number, zone):
        address = self._proxies[number].address
        return NodeProcess(f"entry-{number}", self._folder.name, address, zone)

    async def start_again(self):
        if self._link_to_odd is None:
            await self._start_links()
        await super().start_again()

    async def _start_links(self):
        odd = self._nodes[self._odd]
        self._link_to_odd = await self._start_link(odd)
        for node, view in zip(self._nodes, self._views, strict=True):
            if node is odd:
                continue
            view.link_by_name[odd.name] = self._link_to_odd
            link = await self._start_link(node)
            self._links_from_odd.append(link)
            self._views[self._odd].link_by_name[node.name] = link

    async def _start_link(self, node):
        link = _MessageLink(node.ports[2])
        await link.start()
        return link

    @property
    def nodes(self):
        return self._nodes

    def cut_from_store(self, link):
        self._proxies[self._odd].mode = link

    def cut_messages(self, *, to_odd, from_odd):
        if to_odd:
            self._link_to_odd.cut()
        for link in self._links_from_odd if from_odd else ():
            link.cut()

    def restore(self):
        proxy = self._proxies[self._odd]
        if proxy.mode is not Link.NORMAL:
            proxy.mode = Link.NORMAL
            proxy.reset_all()
        for link in (self._link_to_odd, *self._links_from_odd):
            if link.is_cut:
                link.restore()

    async def begin_at(self, nodes, count):
        """Begin streams at some nodes, and let them break after some events."""
        all_nodes, self._nodes = self._nodes, nodes
        try:
            await self.begin_streams(count)
        finally:
            self._nodes = all_nodes
        await self._end_reading()

    async def take_up(self, node, streams, step):
        await asyncio.gather(
            *(
                self._read(node, stream, f"{stream.first_id}.{step}")
                for stream in streams
                if stream.numbers and not stream.went_on
            )
        )


class OutOfStep:
    """One seed: which node, for how long, how, and what changes meanwhile is drawn."""

    def __init__(self, seed, nodes):
        self._random = random.Random(seed)
        self._nodes = nodes
        self.history = []

    async def run(self):
        """Return the violations, the counts and the history of one seed."""
        odd = self._random.randrange(self._nodes)
        fleet = OutOfStepFleet(nodes=self._nodes, odd=odd)
        async with fleet as self._fleet:
            await self._fleet.list_engines("v1")
            await asyncio.wait_for(self._fleet.start(), _START_TIMEOUT_S)
            await asyncio.sleep(self._random.choice((1.0, 3.5, 8.0)))
            self._odd = self._fleet.nodes[odd]
            self._others = [node for node in self._fleet.nodes if node != self._odd]
            await self._fleet.begin_at([self._odd], 4)
            await self._leave_step()
            return self._violations(), self._counts(), self.history

    async def _leave_step(self):
        """Let the node be out of step, and take streams up there."""
        stands_still, link = self._random.choice(
            (
                (True, Link.NORMAL),
                (True, Link.SILENT),
                (False, Link.SILENT),
                (False, Link.SILENT),
                (False, Link.REFUSED),
                (False, Link.ONE_WAY),
            )
        )
        to_odd, from_odd = self._random.choice(
            ((False, False), (True, False), (True, True), (True, True))
        )
        duration_s = self._random.choice(_DURATIONS_S)
        kind = "stands still" if stands_still else "runs"
        self.history.append(f"{self._odd.name} {kind}, store {link.value}")
        self.history.append(f"for {duration_s} s")
        self.history.append(f"messages to it cut: {to_odd}, from it: {from_odd}")
        self._fleet.cut_from_store(link)
        self._fleet.cut_messages(to_odd=to_odd, from_odd=from_odd)
        if stands_still:
            self._odd.signal(signal.SIGSTOP)
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        await self._release()
        stopped = self._stop_others()
        end_s = max(end_s, loop.time() + 0.3)
        groups = [self._fleet.streams[number::4] for number in range(4)]
        async with asyncio.TaskGroup() as group:
            for step, (after_s, streams) in enumerate(
                zip(_TAKEN_UP_S, groups, strict=True)
            ):
                at_s = end_s + after_s
                group.create_task(self._take_up_at(at_s, streams, f"r{step}"))
            await asyncio.sleep(end_s - loop.time())
            self._fleet.restore()
            self._odd.signal(signal.SIGCONT)
            await asyncio.sleep(1.5)
            for node in stopped:
                node.signal(signal.SIGCONT)
        self._went_on_by_step = Counter(
            f"went_on_{after_s}_s"
            for after_s, streams in zip(_TAKEN_UP_S, groups, strict=True)
            for item in streams
            if item.went_on and item.began_at != "v1"
        )
        await asyncio.sleep(_LATE_S)
        await self._fleet.take_up(self._odd, self._fleet.streams, "late")

    async def _take_up_at(self, at_s, streams, step):
        await asyncio.sleep(at_s - asyncio.get_running_loop().time())
        await self._fleet.take_up(self._odd, streams, step)

    async def _release(self):
        """Let new software join, and streams begin through the other nodes."""
        for version in _VERSIONS[: self._random.choice((1, 1, 1, 2))]:
            await self._fleet.list_engines(version)
            self.history.append(f"{version} joins")
            if self._random.random() < 0.5:
                self._fleet.unlist_engines("v1")
                self.history.append("v1 leaves")
            await asyncio.sleep(self._random.choice((0.3, 0.6, 2.0)))
            await self._fleet.begin_at(self._others, _STREAMS // 2)
        await self._fleet.begin_at(self._others, _STREAMS // 2)

    def _stop_others(self):
        """Let some of the other nodes stand still; return them."""
        share = self._random.choice((0.0, 0.0, 0.5, 1.0))
        count = round(share * len(self._others))
        stopped = self._random.sample(self._others, count)
        for node in stopped:
            node.signal(signal.SIGSTOP)
        self.history.append(f"{count} others stand still")
        return stopped

    def _violations(self):
        mixed = self._fleet.mixed()
        if mixed:
            return [f"ORDER: {len(mixed)} streams of several versions: {mixed[:3]}"]
        return []

    def _counts(self):
        streams = [item for item in self._fleet.streams if item.numbers]
        return Counter(
            streams=len(streams),
            of_new_versions=sum(item.began_at != "v1" for item in streams),
            went_on=sum(item.went_on for item in streams),
            mixed=len(self._fleet.mixed()),
            **self._went_on_by_step,
        )


async def run_out_of_step(seed, nodes):
    """Run one seed; return the violations, the counts and what was done."""
    return await OutOfStep(seed, nodes).run()
