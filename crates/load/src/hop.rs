//! Measures the latency that an entry adds to a request.
//!
//! Requests sent directly to an upstream and requests through an entry alternate in one run, on
//! connections that stay open, so that other load of the machine affects both alike.

use crate::{
    client::client,
    clock::micros,
    report::{
        format_ms, //
        histogram,
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

/// Parameters of a measurement.
#[derive(Clone, Debug)]
pub struct HopLoad {
    /// The entry's address for callers.
    pub entry: ByteString,
    /// The upstream's address.
    pub upstream: ByteString,
    /// Class that the upstream serves.
    pub class: ClassId,
    /// Path of the requests to the upstream.
    pub path: ByteString,
    /// Connections of each kind, each with one request in flight at a time.
    pub connections: usize,
    /// Length of the run.
    pub duration: Duration,
    /// Delay between two pairs of requests on a connection.
    pub pause: Duration,
}

/// Medians and 99th percentiles of direct requests and of requests through the entry.
#[derive(Clone, Debug, Default, Serialize)]
pub struct HopFigures {
    /// Pairs of requests that both succeeded.
    pub pairs: u64,
    /// Pairs of which at least one request failed.
    pub failed: u64,
    /// Median latency of the direct requests.
    pub direct_p50_us: u64,
    /// 99th percentile of the direct requests.
    pub direct_p99_us: u64,
    /// Median latency of the requests through the entry.
    pub entry_p50_us: u64,
    /// 99th percentile of the requests through the entry.
    pub entry_p99_us: u64,
}

/// Results of one or more tasks.
struct Tally {
    failed: u64,
    direct_us: Histogram<u64>,
    entry_us: Histogram<u64>,
}

/// Sends pairs of requests for the length of the run and returns their latencies.
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
    let through_entry = format!("http://{}/v1/work/{}{}", load.entry, load.class, load.path);
    let mut tally = Tally::new();
    let end = Instant::now() + load.duration;
    let mut direct_first = true;
    while Instant::now() < end {
        // The order alternates, so that neither kind always finds the upstream warm.
        let (direct_latency, entry_latency) = if direct_first {
            let direct_latency = fetch(&client, &direct).await;
            (direct_latency, fetch(&client, &through_entry).await)
        } else {
            let entry_latency = fetch(&client, &through_entry).await;
            (fetch(&client, &direct).await, entry_latency)
        };
        direct_first = !direct_first;
        match (direct_latency, entry_latency) {
            (Some(direct_latency), Some(entry_latency)) => {
                tally.direct_us.saturating_record(micros(direct_latency));
                tally.entry_us.saturating_record(micros(entry_latency));
            }
            _ => tally.failed += 1,
        }
        if !load.pause.is_zero() {
            tokio::time::sleep(load.pause).await;
        }
    }
    tally
}

/// Sends one request; returns its latency to the last byte, or none if it failed.
async fn fetch(client: &Client, url: &str) -> Option<Duration> {
    let start = Instant::now();
    let mut response = client
        .get(url)
        .insert_header(("Jasmine-Deadline-Ms", "5000"))
        .send()
        .await
        .ok()?;
    response.body().await.ok()?;
    response.status().is_success().then(|| start.elapsed())
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
            format_ms(self.direct_p50_us),
            format_ms(self.direct_p99_us),
            format_ms(self.entry_p50_us),
            format_ms(self.entry_p99_us)
        )?;
        let added_us = i128::from(self.entry_p50_us) - i128::from(self.direct_p50_us);
        write!(f, "the entry adds {added_us} us at the median")
    }
}
