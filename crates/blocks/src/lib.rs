//! Client blocks: longest prefix to an ordered preference of regions, compact.

mod block;

pub use block::{
    Block,
    BlockError, //
};
