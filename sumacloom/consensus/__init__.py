"""Consensus on registers: acceptors, proposals, quorum configurations and their stored state.

One compare-and-set register per key, changed in two rounds at a quorum (single-decree Paxos per
change); any controller proposes, there is no leader and no replicated log. This package knows nothing
of what the registers hold: the controller builds on `ConsensusNode` and adds its keys.
"""
