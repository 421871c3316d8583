"""Faults that withdraw replicas, beside small failures that excuse no late request."""

import asyncio
import subprocess
import sys

from ._faults import Faults

_BUSY_PROGRAM = "while True: pass"


class Departures(Faults):
    """Lets replicas leave and evacuates a failure domain.

    Beside that, single nodes have a failed read or lose an answer of the store, and the
    machine is busy. None of these excuses a request that reaches a replica late.
    """

    pauses_s = (0.2, 0.8)

    def kinds(self):
        return (
            self._report_leaving,
            self._remove_without_report,
            self._remove_without_report,
            self._evacuate,
            self._fail_reads,
            self._lose_answers,
            self._keep_machine_busy,
        )

    async def _report_leaving(self):
        """Let a replica report that it leaves, and remove its entry later."""
        replica = await self._replace_one()
        await self._sometimes_fail_reads()
        self._fleet.list_replica(replica, state="draining")
        self._fleet.withdrawals.record_leaving(replica)
        await asyncio.sleep(self._random.uniform(1.0, 4.0))
        self._fleet.store.remove("servers", replica.incarnation)

    async def _remove_without_report(self):
        """Remove the entry of a replica, which goes on serving."""
        replica = await self._replace_one()
        await self._sometimes_fail_reads()
        self._fleet.store.remove("servers", replica.incarnation)
        self._fleet.withdrawals.record_leaving(replica)

    async def _replace_one(self):
        """List a new replica in place of one that is in service; return that one."""
        replica = self._random.choice(self._fleet.staying_replicas())
        self._fleet.leaving.append(replica)
        await self._fleet.add_replica_like(replica)
        await asyncio.sleep(self._random.uniform(0.0, 1.0))
        return replica

    async def _sometimes_fail_reads(self):
        if self._random.random() < 0.5:
            await self._fail_reads()
            await asyncio.sleep(self._random.uniform(0.0, 0.3))

    async def _fail_reads(self):
        """Reset the store connections of one or two nodes, so that one read fails."""
        for link in self._some_store_links():
            link.reset_all()

    async def _lose_answers(self):
        """Let open store connections of one or two nodes lose all further answers."""
        for link in self._some_store_links():
            link.silence_open_connections()

    def _some_store_links(self):
        links = self._fleet.store_links
        return self._random.sample(links, self._random.randint(1, min(2, len(links))))

    async def _keep_machine_busy(self):
        command = [sys.executable, "-c", _BUSY_PROGRAM]
        # Started without awaiting: a cancelled start would leave its process running.
        processes = [
            subprocess.Popen(command) for _ in range(self._random.randint(2, 8))
        ]
        try:
            await self._sleep_during_fault()
        finally:
            for process in processes:
                process.kill()
                process.wait()

    async def _evacuate(self):
        if self._fleet.is_evacuated:
            return
        self._fleet.is_evacuated = True
        self._fleet.operator.evacuate("b")
        withdrawal = self._fleet.withdrawals.record_evacuation("b")
        await asyncio.sleep(self._random.uniform(2.0, 9.0))
        withdrawal.end()
        self._fleet.operator.withdraw_evacuation("b")
        self._fleet.is_evacuated = False
