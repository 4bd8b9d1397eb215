"""Long seeded runs: reducers, stand-in callers and backends, and faults.

Everything runs in one process over simulated time. The invariants are those
of the program itself; the audit compares callers with backends' journals.
"""
