"""A quarantine gate that admits everything, for tests of other parts."""

from fireflyward.quarantine import Free


class OpenGate:
    """Admits every request and ignores all results."""

    async def admit(self, fingerprint):
        return Free()

    def end_trial(self, trial, *, was_sent, begun_at):
        raise AssertionError("no request is on trial")

    def on_cut(self, fingerprint, replica, *, is_late):
        pass

    def on_refused(self, replica):
        pass

    def on_answered(self, fingerprint):
        pass
