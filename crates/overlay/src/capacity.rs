//! Capacity of entries, and which entries a caller is offered by it.
//!
//! Callers pick one of the offered entries at random for each connection, so an entry's share of them follows from how
//! often it is offered. Each look-up offers the entries with the most capacity, and every other one with a probability
//! that is its capacity relative to theirs. In the mean each entry is loaded in proportion to its capacity, and a caller
//! still knows several.

use serde::{
    Deserialize,
    Serialize, //
};

/// Minimum number of entries that a caller is offered, if there are as many: it turns to another one if one fails.
const OFFERED_MIN: usize = 3;

/// What an instance has for the entry that runs on it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Capacity {
    /// CPU, in thousandths of a core.
    pub cpu_milli: u32,
    /// Bandwidth of its link, in Mbit/s.
    pub link_mbit_per_s: u32,
}

impl Capacity {
    /// Returns the larger one of each resource.
    fn max(self, other: Self) -> Self {
        Self {
            cpu_milli: self.cpu_milli.max(other.cpu_milli),
            link_mbit_per_s: self.link_mbit_per_s.max(other.link_mbit_per_s),
        }
    }

    /// Returns the fraction of another capacity, by the resource that is scarcer here.
    fn fraction_of(self, other: Self) -> f64 {
        let fraction = |own: u32, other: u32| f64::from(own) / f64::from(other.max(1));
        let cpu = fraction(self.cpu_milli, other.cpu_milli);
        cpu.min(fraction(self.link_mbit_per_s, other.link_mbit_per_s))
    }
}

/// Returns the capacity of each entry relative to the largest, from 0 to 1. An unknown capacity counts as the largest.
pub fn relative_capacities(capacities: &[Option<Capacity>]) -> Vec<f64> {
    let known = capacities.iter().copied().flatten();
    let Some(most) = known.reduce(Capacity::max) else {
        return vec![1.0; capacities.len()];
    };
    let fraction =
        |capacity: &Option<Capacity>| capacity.map_or(1.0, |known| known.fraction_of(most));
    let fractions: Vec<f64> = capacities.iter().map(fraction).collect();
    // No instance may have the most of each resource.
    let highest = fractions.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
    fractions
        .iter()
        .map(|fraction| fraction / highest)
        .collect()
}

/// Returns the indices of the entries to offer to a caller, in order. `random` returns a number from 0 to 1 for an index;
/// the numbers of different look-ups are independent.
pub fn offered(capacities: &[Option<Capacity>], random: impl Fn(usize) -> f64) -> Vec<usize> {
    let relative = relative_capacities(capacities);
    let is_offered = |index: &usize| random(*index) <= relative[*index];
    let (mut offered, mut others): (Vec<usize>, Vec<usize>) =
        (0..capacities.len()).partition(is_offered);
    let missing = OFFERED_MIN.saturating_sub(offered.len());
    let order = |index: usize| random(index) / relative[index].max(f64::MIN_POSITIVE);
    others.sort_by(|a, b| order(*a).total_cmp(&order(*b)));
    offered.extend(others.into_iter().take(missing));
    offered.sort_unstable();
    offered
}
