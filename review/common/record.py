"""The record of what a script sent, what was answered and what ran."""

import time


class Record:
    """Writes lines with the time since the start to ``record.txt``."""

    def __init__(self, path):
        self._file = path.open("w")
        self._start_s = time.monotonic()

    def now_s(self):
        return time.monotonic() - self._start_s

    def add(self, text):
        self._file.write(f"{self.now_s():9.3f} {text}\n")
        self._file.flush()

    def close(self):
        self._file.close()
