"""Scale runs: many routers and engines on the loopback addresses of one machine.

A *hollow* router (as a hollow node in Kubernetes' Kubemark) runs the real control code: the engine list,
membership, leases and replicated records. It has no connections to clients and engines, and many share one
process. A *hollow* engine speaks the engines' protocol and answers every statement with the same row. A
*real* router is the complete program in a process of its own.

Modules: ``command`` is the command line; ``changelog_run``, ``membership_run`` and ``fleet_run`` are the
three runs; ``fleet`` starts and queries the processes with the hollow routers.
"""
