"""The demonstration: starts stand-ins and daemons, and checks the promises."""
