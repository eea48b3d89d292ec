//! Measures what an entry adds to a request.
//!
//! Direct asks of an upstream and asks through an entry are interleaved in one run, on connections
//! that stay open, so that whatever else the machine does meets both alike.

use crate::{
    client::client,
    clock::micros,
    table::{
        histogram,
        ms, //
    },
};
use awc::Client;
use base::ClassId;
use bytestring::ByteString;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::{
    fmt,
    time::{
        Duration,
        Instant, //
    },
};

/// What to measure.
#[derive(Clone, Debug)]
pub struct HopLoad {
    /// The entry.
    pub entry: ByteString,
    /// The upstream.
    pub upstream: ByteString,
    /// Class whose upstream that is.
    pub class: ClassId,
    /// Path at the upstream.
    pub path: ByteString,
    /// Requests each way side by side.
    pub connections: usize,
    /// Time to go on for.
    pub time: Duration,
    /// Pause between two pairs on a connection.
    pub pause: Duration,
}

/// Medians and tails of both ways.
#[derive(Clone, Debug, Default, Serialize)]
pub struct HopFigures {
    /// Pairs of asks that were both answered.
    pub pairs: u64,
    /// Pairs of which one failed.
    pub failed: u64,
    /// Median of the direct asks.
    pub direct_p50_us: u64,
    /// 99th percentile of the direct asks.
    pub direct_p99_us: u64,
    /// Median of the asks through the entry.
    pub entry_p50_us: u64,
    /// 99th percentile of the asks through the entry.
    pub entry_p99_us: u64,
}

/// Both ways' latencies.
struct Tally {
    failed: u64,
    direct_us: Histogram<u64>,
    entry_us: Histogram<u64>,
}

/// Asks both ways in turn for the time.
pub fn hop(load: &HopLoad) -> HopFigures {
    let total = actix_rt::System::new().block_on(async {
        let mut total = Tally::new();
        let tasks: Vec<_> = (0..load.connections.max(1))
            .map(|_| actix_rt::spawn(run_pairs(load.clone())))
            .collect();
        for task in tasks {
            total.add(&task.await.expect("a task of pairs does not panic"));
        }
        total
    });
    HopFigures {
        pairs: total.direct_us.len(),
        failed: total.failed,
        direct_p50_us: total.direct_us.value_at_quantile(0.5),
        direct_p99_us: total.direct_us.value_at_quantile(0.99),
        entry_p50_us: total.entry_us.value_at_quantile(0.5),
        entry_p99_us: total.entry_us.value_at_quantile(0.99),
    }
}

async fn run_pairs(load: HopLoad) -> Tally {
    let client = client();
    let direct = format!("http://{}{}", load.upstream, load.path);
    let through = format!("http://{}/v1/work/{}{}", load.entry, load.class, load.path);
    let mut tally = Tally::new();
    let end = Instant::now() + load.time;
    let mut direct_first = true;
    while Instant::now() < end {
        // Each way goes first every other time, so that neither always finds the upstream warm.
        let (direct_took, entry_took) = if direct_first {
            let direct_took = ask(&client, &direct).await;
            (direct_took, ask(&client, &through).await)
        } else {
            let entry_took = ask(&client, &through).await;
            (ask(&client, &direct).await, entry_took)
        };
        direct_first = !direct_first;
        match (direct_took, entry_took) {
            (Some(direct_took), Some(entry_took)) => {
                tally.direct_us.saturating_record(micros(direct_took));
                tally.entry_us.saturating_record(micros(entry_took));
            }
            _ => tally.failed += 1,
        }
        if !load.pause.is_zero() {
            tokio::time::sleep(load.pause).await;
        }
    }
    tally
}

/// Time of one ask to its last byte; none if it failed.
async fn ask(client: &Client, url: &str) -> Option<Duration> {
    let start = Instant::now();
    let mut answer = client
        .get(url)
        .insert_header(("Jasmine-Deadline-Ms", "5000"))
        .send()
        .await
        .ok()?;
    answer.body().await.ok()?;
    answer.status().is_success().then(|| start.elapsed())
}

impl Tally {
    fn new() -> Self {
        Self {
            failed: 0,
            direct_us: histogram(),
            entry_us: histogram(),
        }
    }

    fn add(&mut self, other: &Self) {
        self.failed += other.failed;
        self.direct_us
            .add(&other.direct_us)
            .expect("all histograms have the same bounds");
        self.entry_us
            .add(&other.entry_us)
            .expect("all histograms have the same bounds");
    }
}

impl fmt::Display for HopFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} pairs, {} failed; direct p50 {} ms, p99 {} ms; through the entry p50 {} ms, p99 {} ms",
            self.pairs,
            self.failed,
            ms(self.direct_p50_us),
            ms(self.direct_p99_us),
            ms(self.entry_p50_us),
            ms(self.entry_p99_us)
        )?;
        let added_us = i128::from(self.entry_p50_us) - i128::from(self.direct_p50_us);
        write!(f, "the entry adds {added_us} us at the median")
    }
}
