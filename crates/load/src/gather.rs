//! Fetches the upstreams' side: the list that names them and the record of what each ran.

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
    Ended,
    Entry,
    Record, //
};
use std::{
    collections::BTreeMap,
    fmt,
    time::Duration, //
};
use tokio::time::timeout;

/// Longest wait for one upstream's record.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Largest record.
const MOST_BYTES: usize = 1 << 30;

/// What upstreams told.
#[derive(Debug, Default)]
pub struct Gathered {
    /// Upstreams of the list.
    pub upstreams: BTreeMap<UpstreamId, UpstreamFacts>,
    /// Their records, by arrival; requests of others than callers have an empty id.
    pub runs: Vec<Run>,
    /// What could not be fetched.
    pub missing: Vec<Missing>,
}

/// A source that gave nothing.
#[derive(Debug)]
pub struct Missing {
    /// The source.
    pub url: String,
    /// Why.
    pub why: String,
}

/// The platform's list, as far as it matters here.
#[derive(Deserialize)]
struct List {
    upstreams: Vec<ListedUpstream>,
}

/// An upstream of the list.
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
/// When the list itself can't be had; a record that can't be had is reported in the result.
pub fn gather(platform: &str, controls: &[ByteString]) -> Result<Gathered, Missing> {
    actix_rt::System::new().block_on(fetch_all(platform, controls))
}

async fn fetch_all(platform: &str, controls: &[ByteString]) -> Result<Gathered, Missing> {
    let list: List = fetch(format!("http://{platform}/list")).await?;
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
    /// Takes in the records of one process of upstreams.
    fn add(&mut self, records: BTreeMap<ByteString, Record>) {
        for (upstream, record) in records {
            if let Some(facts) = self.upstreams.get_mut(&upstream) {
                facts.max_queued = record.max_queued;
            }
            if record.dropped > 0 {
                self.missing.push(Missing {
                    url: upstream.to_string(),
                    why: format!("{} entries were dropped", record.dropped),
                });
            }
            let runs = record.entries.into_iter();
            self.runs.extend(runs.map(|entry| run(&upstream, entry)));
        }
    }
}

/// An upstream's entry as the judge reads it.
fn run(upstream: &UpstreamId, entry: Entry) -> Run {
    let us = |ms: u64| ms.saturating_mul(1_000);
    let try_number = query(&entry.path, "try").and_then(|text| text.parse().ok());
    let answer_bytes = match entry.outcome {
        Ended::Ran => asked_bytes(&entry.path),
        _ => 0,
    };
    Run {
        upstream: upstream.clone(),
        id: query(&entry.path, "caller").unwrap_or_default().into(),
        try_number: try_number.unwrap_or(0),
        filing: entry.filing.map(ByteString::from),
        arrived_us: us(entry.received_ms),
        started_us: entry.started_ms.map(us),
        ended_us: entry.finished_ms.map(us),
        end: ByteString::from_static(end(entry.outcome)),
        bytes: entry.body_bytes.unwrap_or(0) + answer_bytes,
    }
}

/// Bytes of the answer that a path asks for; none where the answer is no more than an echo.
fn asked_bytes(path: &str) -> u64 {
    let (path, _) = path.split_once('?').unwrap_or((path, ""));
    let asked = ["/bytes/", "/chunked/"];
    let asked = asked.iter().find_map(|prefix| path.strip_prefix(prefix));
    asked.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Value of a field of a path's query.
fn query<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = path.split_once('?')?;
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    fields.find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Name of an end.
fn end(ended: Ended) -> &'static str {
    match ended {
        Ended::Running => "running",
        Ended::Ran => "ran",
        Ended::Cancelled => "cancelled",
        Ended::Shed => "shed",
        Ended::Truncated => Run::TRUNCATED,
        Ended::Expired => "expired",
    }
}

async fn fetch<T: serde::de::DeserializeOwned>(url: String) -> Result<T, Missing> {
    let failed = |why: String| Missing {
        url: url.clone(),
        why,
    };
    let body = timeout(TIMEOUT, async {
        let mut answer = client().get(&url).send().await.map_err(|e| e.to_string())?;
        if !answer.status().is_success() {
            return Err(format!("status {}", answer.status()));
        }
        answer
            .body()
            .limit(MOST_BYTES)
            .await
            .map_err(|e| e.to_string())
    })
    .await
    .map_err(|_| failed("timeout".to_owned()))?
    .map_err(&failed)?;
    serde_json::from_slice(&body).map_err(|error| failed(error.to_string()))
}

impl fmt::Display for Missing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.url, self.why)
    }
}
