"""How daemons speak to one another: links, framing, messages, and the updates that they pass on."""
