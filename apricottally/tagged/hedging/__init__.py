"""Hedged SYNs: a SYN that is answered slowly also goes to a second backend."""
