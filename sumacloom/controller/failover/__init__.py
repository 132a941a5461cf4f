"""Failover: who holds the lease, which primaries are unreachable, and how a primary is replaced."""
