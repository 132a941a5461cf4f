"""The log on disk: segments with captures beside them."""
