"""A model of the agreement: the real classes over a network, disks and losses that the search chooses."""
