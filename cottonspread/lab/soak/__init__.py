"""Soak: a node process against stand-ins on loopback; a seed draws its troubles, an audit its promises."""
