"""The decisions of a cottonspread node, a module for each job; `path` has the ordinary path of a call."""

from cottonspread.policy.path import Balancer

__all__ = ["Balancer"]
