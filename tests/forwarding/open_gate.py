"""A gate that holds nothing back, for tests of other things."""

from fireflyward.quarantine import Free


class OpenGate:
    """Lets every request through and learns nothing."""

    async def admit(self, fingerprint):
        return Free()

    def end_trial(self, trial, *, was_sent, begun_at):
        raise AssertionError("nothing is on trial")

    def on_cut(self, fingerprint, replica, *, is_late):
        pass

    def on_refused(self, replica):
        pass

    def on_answered(self, fingerprint):
        pass
