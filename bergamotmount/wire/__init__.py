"""Protocol between nodes: frames, thrift codec and TCP channels."""
