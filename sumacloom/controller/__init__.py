"""The control plane: keeps the operator's configuration, knows the backends, replaces primaries."""
