"""The decisions of a cottonspread node, one module for each; `path` has the normal course of a call."""

from cottonspread.policy.path import Balancer

__all__ = ["Balancer"]
