"""The write-ahead log on disk: segments, with a snapshot that takes the place of older ones."""
