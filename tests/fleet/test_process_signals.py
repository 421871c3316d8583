"""Signals that a process gets while it starts and while it stops."""

import signal

from .process_fixtures import ProcessTestCase

# Moments of the start, in order: the first import of the program, and later ones.
_IMPORTS = (
    "fireflyward.fleet._light_imports",
    "fireflyward.fleet._process",
    "aiohttp",
    "fireflyward.fleet._settings_watch",
)
_UNUSED = (signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM)


class SignalsDuringStartTests(ProcessTestCase):
    async def test_a_reload_during_the_start_does_not_end_it(self):
        """Guards against a SIGHUP that ends a process that is starting."""
        for module in _IMPORTS:
            with self.subTest(module):
                node = await self.start(signal_at=module, numbers=[signal.SIGHUP])
                await node.line("SIGHUP received")
                await node.line("settings reloaded")
                await node.kill()

    async def test_a_stop_during_the_start_is_a_planned_stop(self):
        """Guards against an exit by a signal where a stop was requested."""
        for module in _IMPORTS:
            for number in (signal.SIGTERM, signal.SIGINT):
                with self.subTest(module, number=number):
                    node = await self.start(signal_at=module, numbers=[number])
                    self.assertEqual(await node.status(), 0)
                    self.assertNotIn("listens", "".join(node.lines))

    async def test_signals_without_a_meaning_do_not_end_a_start(self):
        """Guards against a process that ends by a signal meant for something else."""
        node = await self.start(signal_at="aiohttp", numbers=_UNUSED)
        await node.line("listens")
        for number in _UNUSED:
            node.signal(number)
            await node.line(f"{number.name} received")


class SignalsDuringStopTests(ProcessTestCase):
    async def test_signals_during_a_stop_change_nothing(self):
        """Guards against a stop that ends by a second signal."""
        node = await self.start()
        await node.line("listens")
        node.signal(signal.SIGTERM)
        await node.line("stopping")
        for number in (signal.SIGTERM, signal.SIGHUP):
            node.signal(number)
            await node.line(f"{number.name} received")
        self.assertEqual(await node.status(), 0)

    async def test_a_signal_after_the_stop_does_not_change_the_status(self):
        """Guards against an exit by a signal once the event loop is closed."""
        numbers = [signal.SIGTERM, signal.SIGHUP, *_UNUSED]
        node = await self.start(signal_at="end", numbers=numbers)
        await node.line("listens")
        self.assertEqual(await self.stop(node), 0)
