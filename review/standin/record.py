"""The record of a run: what was sent, answered and run, with the seconds since its start."""

import time


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def close(self):
        self.file.close()
