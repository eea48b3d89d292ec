//! The parts of a response that a caller uses: its head, and the start of a refusal's body.

use crate::{
    payload::Checker,
    record::Flaw, //
};
use awc::{
    error::PayloadError,
    http::header::HeaderMap, //
};
use base::RunOutcome;
use bytes::Bytes;
use bytestring::ByteString;
use futures_util::{
    Stream,
    StreamExt, //
};
use std::time::Duration;

/// Characters of a refusal's body that a record keeps.
const MAX_DETAIL_CHARS: usize = 200;

/// Contents of a response, as far as a caller uses them.
#[derive(Default)]
pub(super) struct ResponseSummary {
    pub(super) status: Option<u16>,
    pub(super) outcome: Option<RunOutcome>,
    pub(super) request: Option<ByteString>,
    pub(super) instance: Option<ByteString>,
    pub(super) retry_after: Option<Duration>,
    pub(super) named_entry: Option<ByteString>,
    pub(super) flaw: Option<Flaw>,
    pub(super) detail: Option<ByteString>,
}

impl ResponseSummary {
    /// Reads the status and the headers.
    pub(super) fn read_head(&mut self, status: u16, headers: &HeaderMap) {
        self.status = Some(status);
        self.outcome = header(headers, "jasmine-outcome").and_then(|text| text.parse().ok());
        self.request = header(headers, "jasmine-request").map(ByteString::from);
        self.instance = header(headers, "jasmine-instance").map(ByteString::from);
        self.named_entry = header(headers, "jasmine-entry").map(ByteString::from);
        let ms = header(headers, "jasmine-retry-after-ms")
            .and_then(|text| text.parse().ok())
            .map(Duration::from_millis);
        let s = header(headers, "retry-after")
            .and_then(|text| text.parse().ok())
            .map(Duration::from_secs);
        self.retry_after = ms.or(s);
    }

    /// Feeds the body to `checker`, and keeps its start unless the outcome is `done`.
    ///
    /// # Errors
    ///
    /// The connection ended before the body was complete.
    pub(super) async fn read_body(
        &mut self,
        mut parts: impl Stream<Item = Result<Bytes, PayloadError>> + Unpin,
        checker: &mut Checker<'_>,
    ) -> Result<(), PayloadError> {
        while let Some(part) = parts.next().await {
            let part = part?;
            if self.outcome != Some(RunOutcome::Done) && self.detail.is_none() {
                self.detail = Some(detail(&part));
            }
            checker.feed(&part);
        }
        Ok(())
    }

    /// Whether a retry would have the same result.
    pub(super) fn is_permanent(&self) -> bool {
        self.status
            .is_some_and(|status| status < 500 && status != 429)
    }

    pub(super) fn is_success(&self) -> bool {
        self.status.is_some_and(is_success)
    }
}

pub(super) fn is_success(status: u16) -> bool {
    (200..300).contains(&status)
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// Start of a body as one line.
fn detail(body: &[u8]) -> ByteString {
    let text = String::from_utf8_lossy(body).replace('\n', " ");
    text.chars()
        .take(MAX_DETAIL_CHARS)
        .collect::<String>()
        .into()
}
