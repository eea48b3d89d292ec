//! jasmined: the daemon on each entry instance.
//!
//! It answers look-ups, carries requests to upstreams, and takes part in control. Start with
//! [`run`]. The modules are laid out by life span, shortest first:
//!
//! - `request`: one request, from its head to its answer's last byte.
//! - `connection`: the connections to upstreams and to other entries.
//! - `version`: the immutable snapshot that traffic threads decide from.
//! - `process`: settings, control, pools, the ports.
//!
//! One thread runs control: it owns all state machines of the pure crates. The others carry
//! traffic; they read one snapshot through an atomic pointer and touch atomics, and never wait for
//! the platform, a peer, or control.

mod connection;
mod process;
mod request;
mod version;

pub use request::{
    answer::Answer,
    forward::ForwardKey,
    input, //
};

pub use process::{
    metric::{
        metrics_page,
        METRICS, //
    },
    run,
    settings::{
        Dial,
        LogLevel,
        Secret,
        Settings,
        Terms, //
    },
};
