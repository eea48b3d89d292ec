//! Permits that limit how many test systems run concurrently.
//!
//! A system is about a dozen processes. An overloaded machine causes failures that look like faults
//! of the system under test, whereas one system at a time leaves most of the machine idle.

use load::Scene;
use std::{
    sync::{
        Condvar,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    thread::available_parallelism,
};

/// Processors reserved for one system. Its daemons, load driver and judge use 0.4 of one on average
/// over a row of `tests/faults.rs` (183 s of processor time for 38 rows of 12 s); the rest covers
/// the startup of its processes, which all start at once.
const PROCESSORS_PER_SYSTEM: usize = 1;

/// Request rate from which a scene counts as heavy: about the capacity of the small systems.
const HEAVY_RATE_PER_S: f64 = 300.0;

/// Number of systems running.
static RUNNING_SYSTEMS: Mutex<usize> = Mutex::new(0);
/// Signalled when a permit is released.
static PERMIT_RELEASED: Condvar = Condvar::new();

/// Permit that covers a number of systems; released when dropped.
#[derive(Debug)]
pub struct TestPermit(usize);

/// Waits for a permit to run one system beside those of other tests.
pub fn test_permit() -> TestPermit {
    acquire(1)
}

/// Waits for a permit that excludes all other systems of this process, for tests that compare
/// times.
pub fn exclusive_test_permit() -> TestPermit {
    acquire(max_systems())
}

/// Waits for a permit to run one system under this scene.
///
/// A scene that exceeds the system's capacity reserves half of the machine: its share of answered
/// requests measures that capacity, which other work on the machine reduces. Beside three other
/// such scenes, entries refused four of five requests while half of the upstreams' slots were idle.
pub fn test_permit_for(scene: &Scene) -> TestPermit {
    let rate_per_s: f64 = scene.classes.iter().map(|class| class.rate_per_s).sum();
    if rate_per_s >= HEAVY_RATE_PER_S || !scene.bursts.is_empty() {
        acquire(max_systems().div_ceil(2))
    } else {
        test_permit()
    }
}

/// Largest number of systems that run concurrently.
fn max_systems() -> usize {
    let processors = available_parallelism().map_or(1, usize::from);
    (processors / PROCESSORS_PER_SYSTEM).max(1)
}

fn acquire(systems: usize) -> TestPermit {
    let mut running = lock_running();
    while *running + systems > max_systems() {
        running = PERMIT_RELEASED
            .wait(running)
            .unwrap_or_else(PoisonError::into_inner);
    }
    *running += systems;
    TestPermit(systems)
}

fn lock_running() -> MutexGuard<'static, usize> {
    RUNNING_SYSTEMS
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
}

impl Drop for TestPermit {
    fn drop(&mut self) {
        *lock_running() -= self.0;
        PERMIT_RELEASED.notify_all();
    }
}
