//! HTTP client connector that detects truncated responses and those with invalid heads.
//!
//! awc ends a body without an error when the connection closes early, both with `Content-Length` and
//! with chunked encoding, as long as the bytes received so far could be parsed. A caller would take a
//! truncated response for a complete one. Here end of file on a connection is an error, so a body only
//! ends successfully by its own framing. A response delimited only by the end of its connection is
//! rejected as well, because its completeness can't be checked; awc would take one of HTTP/1.1 for a
//! response without a body.
//!
//! actix-http accepts heads that are no response, such as one with a status above 599. Here they are errors as well; crate
//! `relay`, which has connections of its own, uses [`check_head`].
//!
//! Dropping a connection in the middle of a request cancels the request. [`ClosingConnections`] reports when the
//! peer has closed its end; a client that must not send more until the peer has stopped waits for this.
//!
//! Invariant: a response that a client with [`strict_connector`] reports as complete contains every byte
//! that its sender declared, and its head is valid. All HTTP clients but those of the test crates use this
//! connector and add their own limits and timeouts: the entry's are in the daemon's `connection`, the platform
//! client's in `plat`.

mod closing;
mod head;
mod socket;
mod stream;

pub use closing::ClosingConnections;
pub use head::{
    check_head,
    InvalidHead, //
};
pub use socket::{
    set_reader_socket_options,
    set_socket_options,
    unacknowledged_bytes, //
};
pub use stream::{
    strict_connector,
    tracking_connector,
    StrictStream, //
};
