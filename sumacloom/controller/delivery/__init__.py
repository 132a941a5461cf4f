"""Delivery of committed writes to subscribers: the feeds, who subscribes, and the log of intents."""
