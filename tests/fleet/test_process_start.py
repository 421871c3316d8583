"""What a start needs, what it waits for, and how it ends without it."""

from .process_fixtures import ProcessTestCase


def address_of(owner):
    return "{}:{}".format(*owner.getsockname())


class IncompleteSettingsTests(ProcessTestCase):
    async def test_settings_that_are_completed_are_read_again(self):
        """Guards against a start that ends since its settings are being written."""
        whole = self.settings_text()
        for part in ("", whole[: len(whole) // 2], None):
            with self.subTest(part=part):
                self.path.unlink(missing_ok=True)
                if part is not None:
                    self.path.write_text(part)
                node = await self.start()
                await node.line("read again")
                self.write_settings()
                await node.line("listens")

    async def test_a_stop_while_the_settings_are_incomplete_is_a_planned_stop(self):
        """Guards against a start that cannot be stopped while it waits for settings."""
        self.path.write_text("")
        node = await self.start()
        await node.line("read again")
        self.assertEqual(await self.stop(node), 0)

    async def test_settings_that_stay_incomplete_end_the_start(self):
        self.path.write_text("{")
        node = await self.start()
        self.assertEqual(await node.status(), 2)
        self.assertIn("ends with status 2", "".join(node.lines))
