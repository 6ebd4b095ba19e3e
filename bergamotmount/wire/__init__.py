"""The protocol between nodes: frames, codec and TCP channels."""
