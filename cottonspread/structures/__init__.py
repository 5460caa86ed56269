"""Data structures under the policy. They keep and count; which numbers bound them, the policy says."""

from cottonspread.structures.aged_map import AgedMap
from cottonspread.structures.cyclic_order import CyclicOrder
from cottonspread.structures.fading_counts import FadingCounts
from cottonspread.structures.nominal_sizes import NominalSizes
from cottonspread.structures.order_cache import OrderCache
from cottonspread.structures.running_mean import RunningMean
from cottonspread.structures.server_table import ServerTable
from cottonspread.structures.sums import Sums

__all__ = [
    "AgedMap",
    "CyclicOrder",
    "FadingCounts",
    "NominalSizes",
    "OrderCache",
    "RunningMean",
    "ServerTable",
    "Sums",
]
