//! `organisations` and `key-digest`: use of the organisations' quotas, and digests of their keys.

use crate::{
    outcome::{
        Failure,
        Output, //
    },
    table::Table,
};
use org::{
    KeyDigest,
    Usage, //
};
use plat::HttpCaller;
use serde::Serialize;
use serde_json::json;
use std::{
    collections::BTreeMap,
    fs,
    io::{
        self,
        Read as _, //
    },
    path::Path,
    time::Duration, //
};

/// Path of the page on an entry's metrics port.
const PATH: &str = "/v1/organisations";
/// Maximum size of the page; an organisation takes some hundred bytes.
const PAGE_BYTES_MAX: usize = 16 << 20;

/// Prints the digest of a key that is read from a file or from standard input. A line end after the key is ignored.
pub(super) fn digest(file: Option<&Path>) -> Result<Output, Failure> {
    let read = match file {
        Some(file) => fs::read(file).map_err(|error| format!("{}: {error}", file.display())),
        None => {
            let mut key = Vec::new();
            let read = io::stdin().read_to_end(&mut key);
            read.map(|_| key)
                .map_err(|error| format!("standard input: {error}"))
        }
    };
    let key = read.map_err(Failure::BadInput)?;
    let key = key.trim_ascii();
    if key.is_empty() || !key.iter().all(u8::is_ascii_graphic) {
        let message = "the key must be one line of printable ASCII characters without spaces";
        return Err(Failure::BadInput(message.to_owned()));
    }
    let digest = KeyDigest::of(key).to_hex();
    Ok(Output::new(digest.clone(), &json!({"digest": digest})))
}

/// Use of one organisation's quota, added up over entries.
#[derive(Clone, Debug, Serialize)]
struct Total {
    rate_per_s: f64,
    burst: f64,
    /// Requests per second that callers ask for, as the entry knows it that knows of most.
    asked_per_s: f64,
    admitted: u64,
    refused: u64,
    /// Entry with the largest part of the quota, and the fraction.
    largest_part: (String, f64),
}

/// Shows the use of the organisations' quotas.
pub(super) async fn show(entries: &[String], timeout: Duration) -> Result<Output, Failure> {
    let mut totals: BTreeMap<String, Total> = BTreeMap::new();
    let mut unreachable = Vec::new();
    for entry in entries {
        match read(entry, timeout).await {
            Ok(usage) => usage.iter().for_each(|one| add(&mut totals, entry, one)),
            Err(error) => unreachable.push(format!("{entry}: {error}")),
        }
    }
    if unreachable.len() == entries.len() {
        return Err(Failure::Refused(unreachable.join("\n")));
    }
    let mut table = Table::new(&[
        "organisation",
        "rate/s",
        "burst",
        "asked/s",
        "admitted",
        "refused",
        "largest part",
    ]);
    for (organisation, total) in &totals {
        let (entry, fraction) = &total.largest_part;
        table.add_row(vec![
            organisation.clone(),
            total.rate_per_s.to_string(),
            total.burst.to_string(),
            format!("{:.1}", total.asked_per_s),
            total.admitted.to_string(),
            total.refused.to_string(),
            format!("{entry} {:.1}%", fraction * 100.0),
        ]);
    }
    let mut text = table.render();
    for error in &unreachable {
        text += &format!("not included: {error}\n");
    }
    let json = json!({"organisations": totals, "not_included": unreachable});
    Ok(Output::new(text, &json))
}

/// Reads the page of one entry.
async fn read(entry: &str, timeout: Duration) -> Result<Vec<Usage>, String> {
    let caller = HttpCaller::new(format!("http://{entry}"), PAGE_BYTES_MAX);
    let response = caller.get(PATH, timeout).await;
    let response = response.map_err(|error| error.into_reason().to_string())?;
    if !response.status.is_success() {
        return Err(format!("status {}", response.status.as_u16()));
    }
    serde_json::from_slice(&response.body).map_err(|error| error.to_string())
}

fn add(totals: &mut BTreeMap<String, Total>, entry: &str, usage: &Usage) {
    let total = totals
        .entry(usage.organisation.to_string())
        .or_insert_with(|| Total {
            rate_per_s: usage.quota.rate_per_s,
            burst: usage.quota.burst,
            asked_per_s: 0.0,
            admitted: 0,
            refused: 0,
            largest_part: (entry.to_owned(), 0.0),
        });
    total.asked_per_s = total.asked_per_s.max(usage.fleet_per_s);
    total.admitted += usage.admitted;
    total.refused += usage.refused;
    if usage.fraction > total.largest_part.1 {
        total.largest_part = (entry.to_owned(), usage.fraction);
    }
}
