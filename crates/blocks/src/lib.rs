//! Client blocks: longest prefix to an ordered preference of regions, compact.
