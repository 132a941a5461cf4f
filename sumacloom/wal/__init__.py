"""The log on disk: segments with snapshots beside them."""
