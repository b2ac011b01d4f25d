"""The memory of a process: how its limit is divided (`plan`), and what its peers make it hold (`budget`)."""

from kestreltrack.memory.budget import ByteBudget
from kestreltrack.memory.plan import MemoryDemand, MemoryLimitError, MemoryPlan, plan_memory

__all__ = ["ByteBudget", "MemoryDemand", "MemoryLimitError", "MemoryPlan", "plan_memory"]
