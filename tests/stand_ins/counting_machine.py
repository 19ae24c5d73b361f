"""State machine that keeps every command, for tests of the log."""

import json


class CountingMachine:
    """Keep commands in order and answer with their number."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append(command.decode())
        return len(self.commands)

    def snapshot(self):
        return json.dumps(self.commands).encode()

    def restore(self, data):
        self.commands = json.loads(data)
