//! Exhaustive search of small instances of the protocols that the daemon runs.
