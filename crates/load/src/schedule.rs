//! The schedule of arrivals, which depends on the scene and its seed alone.
//!
//! The load is open loop: a slow response delays no later arrival. Each class in each region is a
//! separate Poisson process, whose rate changes with bursts. The processes have separate random
//! streams, so that a change to one class leaves the arrivals of the others unchanged.

use crate::scene::{
    Burst,
    Scene, //
};
use bytestring::ByteString;
use rand::{
    rngs::Xoshiro256PlusPlus,
    RngExt,
    SeedableRng, //
};
use std::time::Duration;

/// One request to make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// When, from the start of the run.
    pub at: Duration,
    /// Index of the region in the scene.
    pub region: usize,
    /// Index of the class in the scene.
    pub class: usize,
    /// Index of the caller in the region.
    pub caller: u32,
    /// Unique id of the request, which is part of its path to the upstream.
    pub id: ByteString,
}

/// All arrivals of a scene, sorted by time.
pub fn schedule(scene: &Scene) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for class in 0..scene.classes.len() {
        for region in 0..scene.regions.len() {
            draw(scene, class, region, &mut arrivals);
        }
    }
    arrivals.sort_by(|a, b| (a.at, &a.id).cmp(&(b.at, &b.id)));
    arrivals
}

/// Draws the arrivals of one class in one region.
fn draw(scene: &Scene, class: usize, region: usize, arrivals: &mut Vec<Arrival>) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(stream_seed(scene.seed, class, region));
    let base = base_rate(scene, class, region);
    let bursts: Vec<&Burst> = bursts_of(scene, class, region);
    let peak = base
        * bursts
            .iter()
            .map(|burst| burst.factor.max(1.0))
            .product::<f64>();
    if peak <= 0.0 {
        return;
    }
    let end_s = scene.duration().as_secs_f64();
    let mut at_s = 0.0_f64;
    loop {
        // The gaps of a Poisson process are exponential; `1 - u` is never zero.
        at_s += -f64::ln(1.0 - rng.random::<f64>()) / peak;
        if at_s >= end_s {
            return;
        }
        // Thinning: arrivals at the peak rate are kept in proportion to the current rate.
        let keep: f64 = rng.random();
        let caller = rng.random_range(0..scene.regions[region].callers);
        let id: u128 = rng.random();
        if keep * peak >= base * factor_at(&bursts, at_s) {
            continue;
        }
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at_s),
            region,
            class,
            caller,
            id: format!("{id:032x}").into(),
        });
    }
}

/// Rate of a class in a region outside bursts, per second.
fn base_rate(scene: &Scene, class: usize, region: usize) -> f64 {
    let total: f64 = scene.regions.iter().map(|region| region.share).sum();
    if total <= 0.0 {
        return 0.0;
    }
    scene.classes[class].rate_per_s * scene.regions[region].share / total
}

/// Bursts that apply to a class in a region.
fn bursts_of(scene: &Scene, class: usize, region: usize) -> Vec<&Burst> {
    let class = &scene.classes[class].name;
    let region = &scene.regions[region].name;
    scene
        .bursts
        .iter()
        .filter(|burst| burst.class.as_ref().is_none_or(|name| name == class))
        .filter(|burst| burst.region.as_ref().is_none_or(|name| name == region))
        .collect()
}

/// Product of the factors of all bursts at a point in time.
fn factor_at(bursts: &[&Burst], at_s: f64) -> f64 {
    let at_ms = at_s * 1_000.0;
    bursts
        .iter()
        .filter(|burst| at_ms >= burst.from_ms as f64 && at_ms < burst.to_ms as f64)
        .map(|burst| burst.factor)
        .product()
}

/// Seed of the random stream of one class in one region.
fn stream_seed(seed: u64, class: usize, region: usize) -> u64 {
    let stream = ((class as u64) << 32) | region as u64;
    seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ stream
}
