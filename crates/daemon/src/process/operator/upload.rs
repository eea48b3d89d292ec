//! Streaming upload of an accept request followed by its blocks, parsed line by line.
//!
//! The text of 1.7 million blocks is several times larger than the table built from it. Buffering
//! it whole would exceed the daemon's limit on resident memory, so only a chunk is held at a time.

use crate::process::{
    control::Accept,
    operator::BODY_LIMIT_BYTES, //
};
use actix_web::{
    error::PayloadError,
    web::Payload, //
};
use bytes::{
    Bytes,
    BytesMut, //
};
use futures_util::StreamExt;
use op::{
    AcceptRequest,
    Refusal, //
};
use spec::BlockReader;
use std::time::Duration;
use tokio::sync::{
    Semaphore,
    SemaphorePermit, //
};

/// Bytes that are buffered before their lines are parsed.
const BUFFER_BYTES: usize = 256 << 10;
/// Size above which an upload counts as large.
const LARGE_BYTES: usize = 4 << 20;
/// Maximum time without data during an upload.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Allows one large upload at a time.
///
/// Each holds its table and, for a while, its text beside the table in force: 50 MB with 1.7
/// million blocks. Two at once would exceed the daemon's limit on resident memory, and one of them
/// would lose the race to commit anyway.
static LARGE_UPLOADS: Semaphore = Semaphore::const_new(1);
/// Maximum length of the first line, which is the request with its configuration.
const REQUEST_LIMIT_BYTES: usize = 16 << 20;

/// An upload in progress.
#[derive(Default)]
struct Upload {
    /// The request, once its line is complete.
    request: Option<AcceptRequest>,
    /// Bytes received after the last parsed line.
    unparsed: BytesMut,
    blocks: BlockReader,
    /// Permit for a large upload.
    permit: Option<SemaphorePermit<'static>>,
}

/// Reads an accept request to its end; the caller keeps the permit until the accept completes.
///
/// # Errors
///
/// The request or the blocks are invalid, or another large upload is in progress.
pub(super) async fn read(
    mut payload: Payload,
) -> Result<(Accept, Option<SemaphorePermit<'static>>), Refusal> {
    let mut upload = Upload::default();
    let mut size = 0;
    while let Some(chunk) = next(&mut payload).await? {
        let chunk = chunk.map_err(|error| bad_request(error.to_string()))?;
        size += chunk.len();
        if size > BODY_LIMIT_BYTES {
            return Err(bad_request(format!("longer than {BODY_LIMIT_BYTES} bytes")));
        }
        if size > LARGE_BYTES && upload.permit.is_none() {
            let Ok(permit) = LARGE_UPLOADS.try_acquire() else {
                drop(upload);
                return Err(discard(payload).await);
            };
            upload.permit = Some(permit);
        }
        upload.unparsed.extend_from_slice(&chunk);
        if upload.unparsed.len() >= BUFFER_BYTES {
            upload.read_lines()?;
        }
    }
    upload.finish()
}

impl Upload {
    /// Parses the complete lines.
    fn read_lines(&mut self) -> Result<(), Refusal> {
        if self.request.is_none() {
            let Some(end) = self.unparsed.iter().position(|byte| *byte == b'\n') else {
                if self.unparsed.len() > REQUEST_LIMIT_BYTES {
                    return Err(bad_request("the request's line is too long".to_owned()));
                }
                return Ok(());
            };
            let line = self.unparsed.split_to(end + 1);
            let request = serde_json::from_slice(&line);
            self.request = Some(request.map_err(|error| bad_request(error.to_string()))?);
        }
        let end = self.unparsed.iter().rposition(|byte| *byte == b'\n');
        let lines = self.unparsed.split_to(end.map_or(0, |end| end + 1));
        self.push(&lines)
    }

    fn push(&mut self, lines: &[u8]) -> Result<(), Refusal> {
        let text = std::str::from_utf8(lines);
        let text = text.map_err(|_| bad_request("the blocks are not valid UTF-8".to_owned()))?;
        self.blocks.push(text);
        Ok(())
    }

    fn finish(mut self) -> Result<(Accept, Option<SemaphorePermit<'static>>), Refusal> {
        self.read_lines()?;
        let last = self.unparsed.split();
        self.push(&last)?;
        let Some(request) = self.request else {
            return Err(bad_request("the request's line is missing".to_owned()));
        };
        let blocks = self.blocks.finish(Accept::BLOCKS_FILE);
        let blocks = blocks.map_err(|findings| Refusal::Findings {
            findings: findings.iter().map(ToString::to_string).collect(),
        })?;
        let accept = Accept {
            request,
            blocks: Some(blocks),
        };
        Ok((accept, self.permit))
    }
}

/// Reads the next chunk, with a timeout.
///
/// A client that stalls would hold the only permit, and no other large upload could be accepted
/// until its connection is closed, which may take hours.
async fn next(payload: &mut Payload) -> Result<Option<Result<Bytes, PayloadError>>, Refusal> {
    let chunk = actix_rt::time::timeout(IDLE_TIMEOUT, payload.next()).await;
    chunk.map_err(|_elapsed| {
        bad_request(format!("no data received for {} s", IDLE_TIMEOUT.as_secs()))
    })
}

/// Reads and discards the rest, as clients read a response only after sending the whole request.
async fn discard(mut payload: Payload) -> Refusal {
    while let Ok(Some(Ok(_))) = next(&mut payload).await {}
    Refusal::NotDone {
        detail: "this daemon is accepting another large block table; try again soon".to_owned(),
    }
}

fn bad_request(detail: String) -> Refusal {
    Refusal::BadRequest { detail }
}
