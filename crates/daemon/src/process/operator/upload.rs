//! An accept whose blocks follow it: read line by line as it comes.
//!
//! The text of 1.7 million blocks is several times larger than the table that it makes. Read whole
//! it would show as a resident size past the daemon's limit, so only a piece of it is ever held.

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

/// Bytes that are gathered before their lines are read.
const PIECE_BYTES: usize = 256 << 10;
/// Bytes from which on an upload is one of a large table.
const LARGE_BYTES: usize = 4 << 20;
/// Longest pause within an upload.
const PAUSE_LIMIT: Duration = Duration::from_secs(10);
/// Lets one large table be accepted at a time.
///
/// Each holds itself and, for a while, its text beside the table in force: with 1.7 million blocks 50
/// MB. Two at once would show as a resident size past the daemon's limit, and one of them is raced
/// anyway.
static LARGE: Semaphore = Semaphore::const_new(1);
/// Longest first line: the request with its configuration.
const REQUEST_LIMIT_BYTES: usize = 16 << 20;

/// An accept on its way in.
#[derive(Default)]
struct Upload {
    /// The request, once its line is whole.
    request: Option<AcceptRequest>,
    /// What came after the last line that was read.
    rest: BytesMut,
    blocks: BlockReader,
    /// The right to be a large one.
    permit: Option<SemaphorePermit<'static>>,
}

/// Reads an accept to its end; the permit is to be kept until it is done.
///
/// # Errors
///
/// What is wrong with the request or the blocks, or that another large table is being accepted.
pub(super) async fn read(
    mut payload: Payload,
) -> Result<(Accept, Option<SemaphorePermit<'static>>), Refusal> {
    let mut upload = Upload::default();
    let mut size = 0;
    while let Some(chunk) = next(&mut payload).await? {
        let chunk = chunk.map_err(|error| bad(error.to_string()))?;
        size += chunk.len();
        if size > BODY_LIMIT_BYTES {
            return Err(bad(format!("longer than {BODY_LIMIT_BYTES} bytes")));
        }
        if size > LARGE_BYTES && upload.permit.is_none() {
            let Ok(permit) = LARGE.try_acquire() else {
                drop(upload);
                return Err(skip(payload).await);
            };
            upload.permit = Some(permit);
        }
        upload.rest.extend_from_slice(&chunk);
        if upload.rest.len() >= PIECE_BYTES {
            upload.read_lines()?;
        }
    }
    upload.finish()
}

impl Upload {
    /// Reads the lines that are whole.
    fn read_lines(&mut self) -> Result<(), Refusal> {
        if self.request.is_none() {
            let Some(end) = self.rest.iter().position(|byte| *byte == b'\n') else {
                if self.rest.len() > REQUEST_LIMIT_BYTES {
                    return Err(bad("the request's line does not end".to_owned()));
                }
                return Ok(());
            };
            let line = self.rest.split_to(end + 1);
            let request = serde_json::from_slice(&line);
            self.request = Some(request.map_err(|error| bad(error.to_string()))?);
        }
        let end = self.rest.iter().rposition(|byte| *byte == b'\n');
        let lines = self.rest.split_to(end.map_or(0, |end| end + 1));
        self.push(&lines)
    }

    fn push(&mut self, lines: &[u8]) -> Result<(), Refusal> {
        let text = std::str::from_utf8(lines);
        let text = text.map_err(|_| bad("the blocks are no UTF-8 text".to_owned()))?;
        self.blocks.push(text);
        Ok(())
    }

    fn finish(mut self) -> Result<(Accept, Option<SemaphorePermit<'static>>), Refusal> {
        self.read_lines()?;
        let last = self.rest.split();
        self.push(&last)?;
        let Some(request) = self.request else {
            return Err(bad("the request's line is missing".to_owned()));
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

/// The next piece, unless it keeps everyone waiting.
///
/// A client that sleeps in the middle would hold the one permit, and no other large table could be
/// accepted here until its connection is given up, which may take hours.
async fn next(payload: &mut Payload) -> Result<Option<Result<Bytes, PayloadError>>, Refusal> {
    let piece = actix_rt::time::timeout(PAUSE_LIMIT, payload.next()).await;
    piece.map_err(|_elapsed| bad(format!("no more came for {} s", PAUSE_LIMIT.as_secs())))
}

/// Reads what is left without keeping it, for a client takes an answer only after its request.
async fn skip(mut payload: Payload) -> Refusal {
    while let Ok(Some(Ok(_))) = next(&mut payload).await {}
    Refusal::NotDone {
        detail: "this daemon is accepting another large block table; try again soon".to_owned(),
    }
}

fn bad(detail: String) -> Refusal {
    Refusal::BadRequest { detail }
}
