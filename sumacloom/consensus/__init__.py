"""What the registrars agree on: acceptors, proposers, voters and what they keep on disk; nothing of the fleet."""
