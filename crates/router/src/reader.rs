//! Decodes the rows of the product's own table and upstream list.

use bytes::Bytes;
use entry::{
    OperatorRow,
    RowReader,
    Tables,
    UnreadableRow, //
};
use picture::ListedUpstream;
use plat::FeedRow;
use route::keys;
use std::sync::Arc;

/// Table name under which [`crate::Store`] serves the upstream list.
pub(crate) const UPSTREAMS: &str = "upstreams";

/// Decodes operators' routes and evacuations, and the upstreams of the list.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoutesReader;

impl RowReader for RoutesReader {
    fn tables(&self) -> Tables {
        Tables {
            operator: keys::OPERATOR_TABLE,
            upstreams: UPSTREAMS,
        }
    }

    fn operator(&self, row: &FeedRow) -> Result<OperatorRow, UnreadableRow> {
        if let Some(domain) = keys::evacuated_domain(&row.key) {
            return Ok(OperatorRow::Evacuation(domain));
        }
        match &row.value {
            Some(value) if *row.key == *keys::ROUTES_KEY => {
                let text = std::str::from_utf8(value)
                    .map_err(|error| unreadable(row, vec![error.to_string()]))?;
                let routes = route::parse(keys::ROUTES_KEY, text).map_err(|findings| {
                    let findings = findings.to_string();
                    unreadable(row, findings.lines().map(str::to_owned).collect())
                })?;
                Ok(OperatorRow::Routes(Arc::new(routes)))
            }
            _ => Ok(OperatorRow::Other),
        }
    }

    fn without_keys(&self, row: &FeedRow) -> FeedRow {
        // The routes contain digests only.
        row.clone()
    }

    fn upstream(&self, row: &FeedRow) -> Result<ListedUpstream, UnreadableRow> {
        let value = row.value.as_ref().map_or(&[][..], Bytes::as_ref);
        serde_json::from_slice(value).map_err(|error| unreadable(row, vec![error.to_string()]))
    }
}

fn unreadable(row: &FeedRow, findings: Vec<String>) -> UnreadableRow {
    UnreadableRow {
        row: row.key.to_string(),
        findings,
    }
}
