//! HTTP/1.1 between callers and upstreams.
//!
//! Start with [`serve`], which serves one caller's connection: it decodes requests, including
//! pipelined ones, passes each to a [`Handler`] and writes the responses in order. Towards
//! upstreams, [`Pool::exchange`] sends one request and returns the head of the [`UpstreamResponse`] as soon
//! as it arrives, even while the request's body is still being sent. The [`BodyReader`] of the
//! response tells a complete body from a truncated one.
//!
//! The decoders are those of actix-http. Heads and chunks are encoded here, because the library's
//! encoder takes the connection's state from the request decoded last, which with pipelining is a
//! different request.
//!
//! Invariants:
//! - [`Failure::NotSent`] is returned only if no byte of the request was written.
//! - A body is complete only by its own framing: its declared length, a final chunk, or, without
//!   either, an orderly end of the connection. After a write has failed, no end counts as orderly.
//! - A connection is reused only if the request was sent and the response read completely, and no
//!   other byte was received on it.
//! - Dropping an exchange closes its connection, which cancels the request at the upstream.

mod body_budget;
mod caller;
mod connects;
mod message;
mod pool;
mod response;
mod response_writer;
mod wire;

pub use body_budget::{
    BodyBudget,
    BodyHold,
    BodyMemory, //
};
pub use caller::{
    serve,
    Concurrency,
    Handler,
    Refusal, //
};
pub use message::{
    BodyPart,
    CallerResponse,
    Request,
    RequestBody, //
    ResponseBody,
};
pub use pool::{
    Echo,
    Failure,
    Pool,
    Target, //
    UpstreamRequest,
};
pub use response::{
    BodyReader,
    TruncatedBody, //
    UpstreamResponse,
};
pub use wire::{
    end_to_end_headers,
    request_head,
    Framing, //
};
