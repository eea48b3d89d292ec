//! Fetches the upstreams' side: the platform's list of upstreams and the record of each one's runs.

use crate::{
    client::client,
    record::{
        Run,
        UpstreamFacts, //
    },
};
use base::{
    RegionId,
    ServiceId,
    UpstreamId, //
};
use bytestring::ByteString;
use serde::Deserialize;
use standin::upstream::{
    Record, //
    RecordEntry,
    RequestOutcome,
};
use std::{
    collections::BTreeMap,
    fmt,
    time::Duration, //
};
use tokio::time::timeout;

/// Timeout of one fetch.
const FETCH_TIMEOUT: Duration = Duration::from_secs(30);
/// Upper limit of the body of one fetch.
const MAX_BODY_BYTES: usize = 1 << 30;

/// The upstreams and their records.
#[derive(Debug, Default)]
pub struct Gathered {
    /// Upstreams that the platform lists.
    pub upstreams: BTreeMap<UpstreamId, UpstreamFacts>,
    /// Their runs, sorted by arrival; requests that are not from callers have an empty id.
    pub runs: Vec<Run>,
    /// Sources whose record is missing or incomplete.
    pub missing: Vec<MissingRecord>,
}

/// A source whose record is missing or incomplete.
#[derive(Debug)]
pub struct MissingRecord {
    /// URL of the source, or id of the upstream.
    pub url: String,
    /// Why it is missing.
    pub reason: String,
}

/// The platform's list of upstreams, with the fields used here.
#[derive(Deserialize)]
struct UpstreamList {
    upstreams: Vec<ListedUpstream>,
}

/// An upstream in the platform's list.
#[derive(Deserialize)]
struct ListedUpstream {
    id: UpstreamId,
    service: ServiceId,
    region: RegionId,
    slots: u32,
}

/// Fetches the list from the platform and the records from the control ports of upstreams.
///
/// # Errors
///
/// The list can't be fetched. A record that can't be fetched is reported in the result instead.
pub fn gather(platform: &str, controls: &[ByteString]) -> Result<Gathered, MissingRecord> {
    actix_rt::System::new().block_on(fetch_all(platform, controls))
}

async fn fetch_all(platform: &str, controls: &[ByteString]) -> Result<Gathered, MissingRecord> {
    let list: UpstreamList = fetch(format!("http://{platform}/list")).await?;
    let mut gathered = Gathered::default();
    for upstream in list.upstreams {
        let facts = UpstreamFacts {
            service: upstream.service,
            region: upstream.region,
            slots: upstream.slots,
            max_queued: 0,
        };
        gathered.upstreams.insert(upstream.id, facts);
    }
    for control in controls {
        let url = format!("http://{control}/records");
        match fetch::<BTreeMap<ByteString, Record>>(url).await {
            Ok(records) => gathered.add(records),
            Err(missing) => gathered.missing.push(missing),
        }
    }
    gathered.runs.sort_by_key(|run| run.arrived_us);
    Ok(gathered)
}

impl Gathered {
    /// Adds the records of one process of upstreams.
    fn add(&mut self, records: BTreeMap<ByteString, Record>) {
        for (upstream, record) in records {
            if let Some(facts) = self.upstreams.get_mut(&upstream) {
                facts.max_queued = record.max_queued;
            }
            if record.dropped > 0 {
                self.missing.push(MissingRecord {
                    url: upstream.to_string(),
                    reason: format!("{} entries were dropped", record.dropped),
                });
            }
            let runs = record.entries.into_iter();
            self.runs.extend(runs.map(|entry| to_run(&upstream, entry)));
        }
    }
}

/// Converts an entry of an upstream's record.
fn to_run(upstream: &UpstreamId, entry: RecordEntry) -> Run {
    let to_us = |ms: u64| ms.saturating_mul(1_000);
    let try_number = query_value(&entry.path, "try").and_then(|text| text.parse().ok());
    let response_bytes = match entry.outcome {
        RequestOutcome::Ran => requested_bytes(&entry.path),
        _ => 0,
    };
    Run {
        upstream: upstream.clone(),
        id: query_value(&entry.path, "caller")
            .unwrap_or_default()
            .into(),
        try_number: try_number.unwrap_or(0),
        filing: entry.filing.map(ByteString::from),
        arrived_us: to_us(entry.received_ms),
        started_us: entry.started_ms.map(to_us),
        ended_us: entry.finished_ms.map(to_us),
        end: ByteString::from_static(end_name(entry.outcome)),
        bytes: entry.body_bytes.unwrap_or(0) + response_bytes,
    }
}

/// Length of the response that a path requests; zero for an echo.
fn requested_bytes(path: &str) -> u64 {
    let (path, _) = path.split_once('?').unwrap_or((path, ""));
    let prefixes = ["/bytes/", "/chunked/"];
    let length = prefixes.iter().find_map(|prefix| path.strip_prefix(prefix));
    length.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Value of a parameter in a path's query.
fn query_value<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    fields.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Name of the end of a run.
fn end_name(ended: RequestOutcome) -> &'static str {
    match ended {
        RequestOutcome::Running => "running",
        RequestOutcome::Ran => "ran",
        RequestOutcome::Cancelled => "cancelled",
        RequestOutcome::Shed => "shed",
        RequestOutcome::Truncated => Run::TRUNCATED,
        RequestOutcome::Expired => "expired",
    }
}

async fn fetch<T: serde::de::DeserializeOwned>(url: String) -> Result<T, MissingRecord> {
    let failed = |reason: String| MissingRecord {
        url: url.clone(),
        reason,
    };
    let body = timeout(FETCH_TIMEOUT, async {
        let mut response = client().get(&url).send().await.map_err(|e| e.to_string())?;
        if !response.status().is_success() {
            return Err(format!("status {}", response.status()));
        }
        response
            .body()
            .limit(MAX_BODY_BYTES)
            .await
            .map_err(|e| e.to_string())
    })
    .await
    .map_err(|_| failed("timeout".to_owned()))?
    .map_err(&failed)?;
    serde_json::from_slice(&body).map_err(|error| failed(error.to_string()))
}

impl fmt::Display for MissingRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.url, self.reason)
    }
}
