//! Encoding of message heads and chunks.

use actix_http::{
    header::{
        HeaderMap,
        HeaderName,
        CONNECTION,
        CONTENT_LENGTH,
        PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION,
        TE,
        TRAILER,
        TRANSFER_ENCODING,
        UPGRADE, //
    },
    Method,
    StatusCode, //
};
use bytes::{
    BufMut,
    Bytes,
    BytesMut, //
};
use std::fmt::Write as _;

/// Hop-by-hop headers and those of message framing, which is encoded anew.
const HOP_BY_HOP: [HeaderName; 8] = [
    CONNECTION,
    CONTENT_LENGTH,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
/// A hop-by-hop header for which actix-http has no constant.
const KEEP_ALIVE: &str = "keep-alive";

/// Upper bound on the bytes around a chunk's data: its length in hexadecimal and two line ends.
const CHUNK_FRAME_BYTES: usize = 20;

/// Longest body that is copied behind its head to be written with it. A copy of a longer one would double its memory.
pub(crate) const COPIED_BODY_BYTES_MAX: usize = 16 << 10;

/// How the end of a body is indicated to the recipient.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// There is no body, and no header is needed to say so.
    None,
    /// By a declared length.
    Length(u64),
    /// By a final chunk.
    Chunked,
}

/// Headers to forward: all but the hop-by-hop ones, including those named by `Connection`.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_options: Vec<String> = headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut end_to_end = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let hop_by_hop = HOP_BY_HOP.contains(name)
            || name.as_str() == KEEP_ALIVE
            || connection_options
                .iter()
                .any(|option| option == name.as_str());
        if !hop_by_hop {
            end_to_end.append(name.clone(), value.clone());
        }
    }
    end_to_end
}

/// Encodes the head of a request to an upstream.
pub fn request_head(
    method: &Method,
    path: &str,
    headers: &HeaderMap,
    framing: Framing,
) -> BytesMut {
    let mut out = BytesMut::with_capacity(512);
    out.put_slice(method.as_str().as_bytes());
    out.put_u8(b' ');
    out.put_slice(path.as_bytes());
    out.put_slice(b" HTTP/1.1\r\n");
    put_headers(&mut out, headers, framing);
    out.put_slice(b"\r\n");
    out
}

/// Appends the head of a response to a caller.
pub(crate) fn put_response_head(
    out: &mut BytesMut,
    status: StatusCode,
    headers: &HeaderMap,
    framing: Framing,
    close: bool,
) {
    let reason = status.canonical_reason().unwrap_or("Other");
    // Writing to an in-memory buffer can't fail.
    let _ = write!(out, "HTTP/1.1 {} {reason}\r\n", status.as_u16());
    put_headers(out, headers, framing);
    if close {
        out.put_slice(b"connection: close\r\n");
    }
    out.put_slice(b"\r\n");
}

/// Encodes one chunk, or the final one if `data` is empty.
pub(crate) fn encode_chunk(data: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(data.len() + CHUNK_FRAME_BYTES);
    // Writing to an in-memory buffer can't fail.
    let _ = write!(out, "{:x}\r\n", data.len());
    out.put_slice(data);
    out.put_slice(b"\r\n");
    out.freeze()
}

fn put_headers(out: &mut BytesMut, headers: &HeaderMap, framing: Framing) {
    for (name, value) in headers {
        out.put_slice(name.as_str().as_bytes());
        out.put_slice(b": ");
        out.put_slice(value.as_bytes());
        out.put_slice(b"\r\n");
    }
    match framing {
        Framing::None => {}
        Framing::Length(length) => {
            // Writing to an in-memory buffer can't fail.
            let _ = write!(out, "content-length: {length}\r\n");
        }
        Framing::Chunked => out.put_slice(b"transfer-encoding: chunked\r\n"),
    }
}
