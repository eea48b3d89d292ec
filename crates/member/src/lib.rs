//! Membership: leases, incarnations, the picture of live and leaving instances and its freshness.
