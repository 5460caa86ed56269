"""Data structures used by the policy, which sets their limits."""

from cottonspread.structures.cyclic_order import CyclicOrder
from cottonspread.structures.decaying_counts import DecayingCounts
from cottonspread.structures.lru_map import LruMap
from cottonspread.structures.nominal_sizes import NominalSizes
from cottonspread.structures.order_cache import OrderCache
from cottonspread.structures.running_mean import RunningMean
from cottonspread.structures.server_table import ServerTable
from cottonspread.structures.sums import Sums

__all__ = [
    "LruMap",
    "CyclicOrder",
    "DecayingCounts",
    "NominalSizes",
    "OrderCache",
    "RunningMean",
    "ServerTable",
    "Sums",
]
