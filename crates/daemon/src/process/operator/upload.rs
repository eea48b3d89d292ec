//! An accept whose blocks follow it: read line by line as it comes.
//!
//! The text of 1.7 million blocks is several times larger than the table that it makes. Read whole
//! it would show as a resident size past the daemon's limit, so only a piece of it is ever held.

use crate::process::{
    control::Accept,
    operator::BODY_LIMIT_BYTES, //
};
use actix_web::web::Payload;
use bytes::BytesMut;
use futures_util::StreamExt;
use op::{
    AcceptRequest,
    Refusal, //
};
use spec::BlockReader;

/// Bytes that are gathered before their lines are read.
const PIECE_BYTES: usize = 256 << 10;
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
}

/// Reads an accept to its end.
///
/// # Errors
///
/// What is wrong with the request or the blocks.
pub(super) async fn read(mut payload: Payload) -> Result<Accept, Refusal> {
    let mut upload = Upload::default();
    let mut size = 0;
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|error| bad(error.to_string()))?;
        size += chunk.len();
        if size > BODY_LIMIT_BYTES {
            return Err(bad(format!("longer than {BODY_LIMIT_BYTES} bytes")));
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

    fn finish(mut self) -> Result<Accept, Refusal> {
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
        Ok(Accept {
            request,
            blocks: Some(blocks),
        })
    }
}

fn bad(detail: String) -> Refusal {
    Refusal::BadRequest { detail }
}
