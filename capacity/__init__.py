"""Measures how the control plane's costs grow: real registrars over loopback, hollow counters, no clients."""
