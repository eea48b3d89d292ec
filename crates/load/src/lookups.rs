//! Measures the throughput and latency of look-ups alone.
//!
//! The load is closed loop: each connection has one look-up in flight. Blocks are drawn at random,
//! so that no look-up benefits from an earlier one.

use crate::{
    client::client,
    clock::micros,
    report::{
        format_ms, //
        histogram,
    },
};
use base::ClassId;
use bytestring::ByteString;
use hdrhistogram::Histogram;
use rand::{
    rngs::SmallRng,
    RngExt,
    SeedableRng, //
};
use serde::Serialize;
use std::{
    fmt,
    net::Ipv4Addr,
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// Parameters of a run of look-ups.
#[derive(Clone, Debug)]
pub struct LookupLoad {
    /// Callers' address of the daemon.
    pub addr: ByteString,
    /// Class to look up.
    pub class: ClassId,
    /// Connections of all threads together.
    pub connections: usize,
    /// Threads that send look-ups.
    pub threads: usize,
    /// Length of the run.
    pub duration: Duration,
    /// Seed of the random blocks.
    pub seed: u64,
}

/// Throughput and latency of look-ups.
#[derive(Clone, Debug, Default, Serialize)]
pub struct LookupFigures {
    /// Look-ups that succeeded.
    pub answered: u64,
    /// Look-ups that failed.
    pub failed: u64,
    /// Successful look-ups per second.
    pub per_s: f64,
    /// Median latency.
    pub p50_us: u64,
    /// 99th percentile of the latency.
    pub p99_us: u64,
    /// 99.9th percentile of the latency.
    pub p999_us: u64,
}

/// Results of one or more connections.
struct Tally {
    failed: u64,
    latency_us: Histogram<u64>,
}

/// Sends look-ups for the length of the run and returns their figures.
pub fn look_up(load: &LookupLoad) -> LookupFigures {
    let start = Instant::now();
    let threads: Vec<_> = (0..load.threads.max(1))
        .map(|index| {
            let load = load.clone();
            thread::spawn(move || run_thread(&load, index))
        })
        .collect();
    let mut total = Tally::new();
    for thread in threads {
        let tally = thread.join().expect("a thread of look-ups does not panic");
        total.add(&tally);
    }
    let elapsed = start.elapsed();
    LookupFigures {
        answered: total.latency_us.len(),
        failed: total.failed,
        per_s: total.latency_us.len() as f64 / elapsed.as_secs_f64(),
        p50_us: total.latency_us.value_at_quantile(0.5),
        p99_us: total.latency_us.value_at_quantile(0.99),
        p999_us: total.latency_us.value_at_quantile(0.999),
    }
}

fn run_thread(load: &LookupLoad, index: usize) -> Tally {
    let threads = load.threads.max(1);
    let connections = (load.connections + threads - 1 - index) / threads;
    actix_rt::System::new().block_on(async {
        let mut total = Tally::new();
        let tasks: Vec<_> = (0..connections)
            .map(|connection| {
                let stream = (index as u64) << 32 | connection as u64;
                actix_rt::spawn(run_connection(load.clone(), stream))
            })
            .collect();
        for task in tasks {
            total.add(&task.await.expect("a connection's task does not panic"));
        }
        total
    })
}

async fn run_connection(load: LookupLoad, stream: u64) -> Tally {
    // Each client has its own pool, so that the look-ups of this task share one connection.
    let client = client();
    let mut rng = SmallRng::seed_from_u64(load.seed ^ stream.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let mut tally = Tally::new();
    let end = Instant::now() + load.duration;
    while Instant::now() < end {
        let block = Ipv4Addr::from(rng.random::<u32>());
        let url = format!(
            "http://{}/v1/entries?class={}&block={block}",
            load.addr, load.class
        );
        let start = Instant::now();
        let answered = match client.get(url).send().await {
            Ok(mut response) => response.status().is_success() && response.body().await.is_ok(),
            Err(_) => false,
        };
        if answered {
            tally.latency_us.saturating_record(micros(start.elapsed()));
        } else {
            tally.failed += 1;
        }
    }
    tally
}

impl Tally {
    fn new() -> Self {
        Self {
            failed: 0,
            latency_us: histogram(),
        }
    }

    fn add(&mut self, other: &Self) {
        self.failed += other.failed;
        self.latency_us
            .add(&other.latency_us)
            .expect("all histograms have the same bounds");
    }
}

impl fmt::Display for LookupFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} look-ups answered, {} failed, {:.0}/s, p50 {} ms, p99 {} ms, p99.9 {} ms",
            self.answered,
            self.failed,
            self.per_s,
            format_ms(self.p50_us),
            format_ms(self.p99_us),
            format_ms(self.p999_us)
        )
    }
}
