"""The router on real sockets: codecs, the state machine, and the runtime that executes its effects."""
