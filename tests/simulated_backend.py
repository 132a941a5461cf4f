"""A backend of one service, in memory."""


class SimulatedBackend:
    """The primary of its service; its log holds what was committed, in order."""

    def __init__(self, name, service):
        self.name, self.service, self.log, self.runs = name, service, [], 0
        self.open = {}  # connection: writes of its transaction, None outside

    def receive(self, connection, line):
        """The lines that answer one line."""
        word, _blank, rest = line.partition(" ")
        if word != "QUERY":
            return ["READY I 1.0"] if word == "LOGIN" else []
        statement_id, _blank, text = rest.partition(" ")
        writes = self.open.get(connection)
        verb = text.split(" ")[0]
        if verb == "BEGIN":
            self.open[connection] = []
        elif verb == "PUT" and writes is not None:
            writes.append(text)
        elif verb == "PUT":
            self.log.append(text)
        elif verb in ("COMMIT", "ABORT"):
            self.log += writes if verb == "COMMIT" and writes else []
            self.open[connection] = None
        state = "T" if self.open.get(connection) is not None else "I"
        self.runs += 1
        return [
            "DONE -" if statement_id == "-" else f"DONE 7.{self.runs}",
            f"READY {state} 1.{len(self.log)}",
        ]
