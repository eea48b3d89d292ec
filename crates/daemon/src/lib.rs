//! jasmined: the daemon on each entry instance.
//!
//! It answers look-ups, forwards requests to upstreams, and runs the control logic. [`run`] is the
//! entry point. The modules are ordered by the lifetime of the state that they hold, shortest
//! first:
//!
//! - `request`: one request, from its header to the last byte of its response.
//! - `connection`: connections to upstreams and to other entries.
//! - `version`: the immutable snapshot that traffic threads read.
//! - `process`: settings, control, pools, listeners.
//!
//! One thread runs control and owns all state machines of the crates without I/O. The other threads
//! carry traffic: they read one snapshot through an atomic pointer, access atomics, and never wait
//! for the platform, a peer or control.

mod connection;
mod process;
mod request;
mod version;

pub use request::{
    answer::ErrorResponse,
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
        DialOverride,
        LogLevel,
        Secret,
        Settings,
        Terms, //
    },
};
