"""Draws changes of software around one or two kills of all nodes."""

import asyncio
import random
from collections import Counter

from ._power_loss import PowerLoss

_STREAMS = 12
_ALLOWED_MIXED = 2
_VERSIONS = ("v1", "v2", "v3")


class PowerLosses:
    """One seed: what is listed before each kill, and while no node runs, is drawn."""

    def __init__(self, seed, nodes):
        self._random = random.Random(seed)
        self._nodes = nodes
        self._listed = set()
        self.history = []

    async def run(self):
        """Return the violations, the counts and the history of one seed."""
        async with PowerLoss(nodes=self._nodes) as loss:
            self._loss = loss
            await self._list("v1")
            await loss.start()
            for _ in range(self._random.choice((1, 1, 2))):
                await self._lose_all_nodes()
            return self._violations(), self._counts(), self.history

    async def _lose_all_nodes(self):
        await self._loss.begin_streams(_STREAMS)
        for _ in range(self._random.choice((0, 1, 2))):
            await self._change()
            await asyncio.sleep(self._random.choice((0.0, 0.02, 0.1, 0.4, 1.5)))
            if self._random.random() < 0.5:
                await self._loss.begin_streams(_STREAMS)
        self.history.append("kill")
        await self._loss.kill_all()
        for _ in range(self._random.choice((0, 1, 1, 2))):
            await self._change()
        restoring = asyncio.create_task(self._lose_store())
        await self._loss.start_again()
        if self._random.random() < 0.3:
            await self._change()
        await self._loss.resume_streams()
        await restoring

    async def _change(self):
        """Add a version, replace one by another, take one away, or restart all."""
        unlisted = [name for name in _VERSIONS if name not in self._listed]
        kinds = [self._restart]
        if unlisted:
            kinds += [self._add, self._replace, self._replace]
        if len(self._listed) > 1:
            kinds.append(self._remove)
        await self._random.choice(kinds)()

    async def _add(self):
        await self._list(
            self._random.choice([x for x in _VERSIONS if x not in self._listed])
        )

    async def _replace(self):
        old = self._random.choice(sorted(self._listed))
        await self._add()
        await asyncio.sleep(self._random.choice((0.0, 0.0, 0.05, 0.3)))
        self._unlist(old)

    async def _remove(self):
        self._unlist(self._random.choice(sorted(self._listed)))

    async def _restart(self):
        software = self._random.choice(_VERSIONS)
        self.history.append(f"all restart with {software}")
        self._loss.restart_engines(software)
        self._listed = {software}

    async def _list(self, software):
        self.history.append(f"{software} listed")
        self._listed.add(software)
        await self._loss.list_engines(software)

    def _unlist(self, software):
        self.history.append(f"{software} gone")
        self._listed.discard(software)
        self._loss.unlist_engines(software)

    async def _lose_store(self):
        if self._random.random() < 0.3:
            self.history.append("store away")
            self._loss.silence_store()
            await asyncio.sleep(self._random.uniform(0.2, 2.0))
            self._loss.restore_store()

    def _violations(self):
        mixed = self._loss.mixed()
        if len(mixed) > _ALLOWED_MIXED:
            return [f"ORDER: {len(mixed)} streams of several versions: {mixed[:3]}"]
        return []

    def _counts(self):
        streams = self._loss.streams
        return Counter(
            streams=len(streams),
            went_on=sum(item.went_on for item in streams),
            mixed=len(self._loss.mixed()),
        )


async def run_power_losses(seed, nodes):
    """Run one seed; return the violations, the counts and what was done."""
    return await PowerLosses(seed, nodes).run()
