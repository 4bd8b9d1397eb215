"""Load of other zones: sums by zone, as sent in heartbeats and as counted."""
