"""Runs one seed with nodes, callers and faults, and checks the results."""

import asyncio
import random
import shutil
import tempfile
from pathlib import Path

from ._departures import Departures
from ._faults import AddedFaults, Faults
from ._flapping import Flapping, FlappingFleet
from ._fleet import ZONES, SoakFleet
from ._odd_input import OddInput
from ._partitions import Partitions
from ._rejections import RejectionFaults, RejectionFleet
from ._standstills import StandstillFleet, Standstills
from ._upgrades import UpgradeFleet, Upgrades

_NODES = 3


async def run_seed(
    seed,
    seconds,
    nodes=_NODES,
    *,
    is_older_seed=False,
    has_partitions=False,
    has_upgrades=False,
    has_standstills=False,
    has_rejections=False,
    has_flapping=False,
    has_odd_input=False,
    standstills=Standstills,
    log_folder=None,
):
    """Run one seed; return the violations, counts, and the faults.

    The counts are of requests by status, and of withdrawals that could be judged.

    Seeds whose number is even have departures only, so that few late requests are
    excused by another fault. ``is_older_seed`` leaves out ``AddedFaults`` and
    ``Departures``, which did not exist when the seed was first run. With
    ``has_partitions`` the only faults are those of ``Partitions``, and with
    ``has_upgrades`` those of ``Upgrades``. With ``has_standstills`` they are those of
    ``standstills``, and the seed lasts until their effects can be judged. With
    ``has_rejections`` they are those of ``RejectionFaults``, and with ``has_flapping``
    those of ``Flapping``, and with ``has_odd_input`` those of ``OddInput``. The logs of
    nodes are copied to ``log_folder`` if there are violations, or if they do not start.
    """
    with tempfile.TemporaryDirectory() as folder:
        zones = ZONES[:1] if is_older_seed else ZONES
        kind = UpgradeFleet if has_upgrades else SoakFleet
        if has_standstills:
            kind = StandstillFleet
        if has_rejections:
            kind = RejectionFleet
        if has_flapping:
            kind = FlappingFleet
        fleet = kind(
            seed, folder, nodes, replica_zones=zones, has_node_links=has_partitions
        )
        try:
            await fleet.start()
        except BaseException:
            await fleet.stop()
            if log_folder is not None:
                _copy_logs(fleet, Path(log_folder) / str(seed))
            raise
        fault_kinds = _fault_kinds(seed, is_older_seed, has_partitions)
        if has_upgrades:
            fault_kinds = [(5, Upgrades)]
        if has_standstills:
            fault_kinds = [(6, standstills)]
        if has_rejections:
            fault_kinds = [(7, RejectionFaults)]
        if has_flapping:
            fault_kinds = [(8, Flapping)]
        if has_odd_input:
            fault_kinds = [(9, OddInput)]
        faults = [
            kind(random.Random(seed + offset), fleet) for offset, kind in fault_kinds
        ]
        tasks = [
            asyncio.create_task(
                fleet.make_caller(number, random.Random(f"{seed}/{number}")).run()
            )
            for number in range(fleet.caller_count)
        ]
        tasks += [asyncio.create_task(injector.run()) for injector in faults]
        await fleet.pass_time(seconds)
        for task in tasks:
            task.cancel()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        fleet.violations += [
            f"the soak test failed: {result!r}"
            for result in results
            if not isinstance(result, asyncio.CancelledError)
        ]
        await fleet.stop()
        for node in fleet.nodes:
            text = node.log.read_text()
            if "Traceback" in text or "unexpected exception" in text:
                traceback_at = text.find("Traceback")
                fleet.violations.append(
                    f"{node.name} logged: {text[traceback_at : traceback_at + 900]}"
                )
        counts = fleet.counts()
        history = [name for injector in faults for name in injector.history]
        violations = fleet.check()
        for injector in faults:
            if isinstance(injector, Partitions):
                violations += injector.violations(fleet.result_by_id.values())
        if violations and log_folder is not None:
            _copy_logs(fleet, Path(log_folder) / str(seed))
        return violations, counts, history


def _copy_logs(fleet, folder):
    folder.mkdir(parents=True, exist_ok=True)
    for node in fleet.nodes:
        shutil.copy(node.log, folder)


def _fault_kinds(seed, is_older_seed, has_partitions):
    """Return the classes of faults of a seed, and what their draws add to it."""
    if has_partitions:
        return [(4, Partitions)]
    if is_older_seed:
        return [(1, Faults)]
    if seed % 2 == 0:
        return [(3, Departures)]
    return [(1, Faults), (2, AddedFaults), (3, Departures)]
