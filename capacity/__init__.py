"""Measures how the control plane's costs grow: real controllers over loopback, hollow poolers, no clients."""
