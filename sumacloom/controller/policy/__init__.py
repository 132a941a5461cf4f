"""Policies that operators set for the fleet: access lists, priority databases, pool modes."""
