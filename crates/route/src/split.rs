//! Weighted traffic split.

use crate::config::ServiceShare;

/// Distributes requests over the services of one route in proportion to their weights.
///
/// Uses smooth weighted round robin. Over any number of requests, each service's count deviates from its share by at
/// most one request, which random selection does not achieve for small numbers.
#[derive(Clone, Debug, Default)]
pub struct Split {
    /// Accumulated weight of each service, reduced whenever the service is selected.
    credits: Vec<f64>,
}

impl Split {
    /// Returns the index in `shares` of the service for the next request, or `None` if no weight is positive.
    pub fn next(&mut self, shares: &[ServiceShare]) -> Option<usize> {
        if shares.len() == 1 {
            return Some(0);
        }
        self.credits.resize(shares.len(), 0.0);
        let total: f64 = shares.iter().map(|share| share.weight.max(0.0)).sum();
        for (credit, share) in self.credits.iter_mut().zip(shares) {
            *credit += share.weight.max(0.0);
        }
        let positive = (0..shares.len()).filter(|&index| shares[index].weight > 0.0);
        let next = positive.max_by(|&a, &b| self.credits[a].total_cmp(&self.credits[b]))?;
        self.credits[next] -= total;
        Some(next)
    }
}
