//! Turns of tests: how many systems run side by side.
//!
//! Each is a dozen processes. More of them than the machine keeps up with would show as faults of
//! their own, and one at a time leaves most of the machine waiting.

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

/// Processors for one system: its daemons, its load and its judge use 0.4 of one over a row of the faults
/// (183 s of processor time for 38 rows of 12 s); the rest is for their starts, which come together.
const PROCESSORS_EACH: usize = 1;

/// Rate of a scene from which on it counts as heavy: the small system serves about as much.
const HEAVY_PER_S: f64 = 300.0;

/// Systems that run now.
static RUNNING: Mutex<usize> = Mutex::new(0);
/// One of them has ended.
static ENDED: Condvar = Condvar::new();

/// The right to run some systems, given back when dropped.
#[derive(Debug)]
pub struct Turn(usize);

/// Turn of one test, beside others.
pub fn turn() -> Turn {
    take(1)
}

/// Turn of one test that compares times: nothing of this process runs beside it.
pub fn turn_alone() -> Turn {
    take(most())
}

/// Turn of one test that drives this scene.
///
/// A scene beyond a system's capacity has half of the machine: its share of answered requests is that
/// capacity, and what the machine does beside it comes off that. With three like it beside it, entries
/// refused four of five requests while half of the upstreams' slots stood idle.
pub fn turn_for(scene: &Scene) -> Turn {
    let rate_per_s: f64 = scene.classes.iter().map(|class| class.rate_per_s).sum();
    if rate_per_s >= HEAVY_PER_S || !scene.bursts.is_empty() {
        take(most().div_ceil(2))
    } else {
        turn()
    }
}

/// Most systems that run side by side.
fn most() -> usize {
    let processors = available_parallelism().map_or(1, usize::from);
    (processors / PROCESSORS_EACH).max(1)
}

fn take(systems: usize) -> Turn {
    let mut running = lock();
    while *running + systems > most() {
        running = ENDED.wait(running).unwrap_or_else(PoisonError::into_inner);
    }
    *running += systems;
    Turn(systems)
}

fn lock() -> MutexGuard<'static, usize> {
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Drop for Turn {
    fn drop(&mut self) {
        *lock() -= self.0;
        ENDED.notify_all();
    }
}
