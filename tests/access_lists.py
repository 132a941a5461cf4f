"""Access lists that several tests use."""

import json

from sumacloom.controller.policy import access, staged_rollout

NETWORKS = {
    "10.0.0.0/8": "north",
    "10.2.0.0/16": "south",
    "10.2.9.0/24": "north",
    "fd00::/8": "south",
}

HOME = {"name": "home", "action": "allow", "databases": ["books"], "regions": ["north"]}

AWAY = {"name": "away", "action": "deny", "databases": ["*"], "regions": ["south", "unknown"]}

OPEN = {"name": "open", "action": "allow", "databases": ["search"], "regions": ["*"]}


def body(*rules, default="deny", **fields):
    return json.dumps({"default": default, "networks": NETWORKS, "rules": rules, **fields}).encode()


def offer(raw, base):
    return staged_rollout.offer(access.AccessValue, raw, b"", base)
