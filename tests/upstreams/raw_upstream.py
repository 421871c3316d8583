"""An upstream that answers with prepared bytes."""

from tests.platform_standins import RawServer


class RawUpstream(RawServer):
    """Answers each request with the next of ``answers``, or closes the connection."""

    def __init__(self):
        super().__init__()
        self.answers = []

    async def answer(self, request, writer):
        if not self.answers:
            return False
        writer.write(self.answers.pop(0))
        return True
