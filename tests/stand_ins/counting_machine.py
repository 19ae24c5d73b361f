"""State machine that stores every command, for tests of the log."""

import json


class CountingMachine:
    """Store commands in order; ``apply`` returns their number."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append(command.decode())
        return len(self.commands)

    def snapshot(self):
        return json.dumps(self.commands).encode()

    def restore(self, data):
        self.commands = json.loads(data)
