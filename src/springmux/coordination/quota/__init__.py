"""Fleet-wide token quotas, allocated as leased shares by an owner node per account. Performs no I/O."""
