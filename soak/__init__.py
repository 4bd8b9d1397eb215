"""Long seeded runs of nodes, simulated callers and backends, with faults.

Everything runs in one process over simulated time. The nodes check their own
invariants during the run; the audit afterwards compares what callers received
with the backends' journals.
"""
