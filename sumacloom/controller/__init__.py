"""The control plane: registers, members, backends, duties, admin API."""
