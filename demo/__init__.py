"""Runs balancers in a simulated environment and checks their guarantees.

The processes of package `standins` simulate the platform, the network fabric,
backend servers and callers; the balancers are the real daemon.
"""
