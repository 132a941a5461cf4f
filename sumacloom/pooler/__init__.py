"""The data plane: sessions, wires, waitlists, rotation, leaving in order."""
