//! Reasons for refusing a connection; each is sent to the remote end and counted.

use std::fmt;
use tokio_tungstenite::tungstenite::protocol::{
    frame::coding::CloseCode,
    CloseFrame, //
};

/// Why a connection or session was refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Refusal {
    /// The connection did not start with a WebSocket handshake.
    NotWebsocket,
    /// The handshake timed out.
    Timeout,
    /// The remote end closed the connection during the handshake.
    Closed,
    /// Too many handshakes were in progress.
    Busy,
    /// A message is not a valid frame.
    Malformed,
    /// A frame exceeds the size limit.
    Oversize,
    /// A frame is not allowed in this state.
    Unexpected,
    /// There is no common protocol version.
    Protocol,
    /// The proof does not match the shared key.
    WrongProof,
    /// Another instance answers at the dialled address.
    WrongInstance,
    /// The remote end claims the local instance's id.
    Ourselves,
    /// A higher incarnation of the instance is up.
    Stale,
}

impl Refusal {
    /// Short description; also the reason in the close frame.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotWebsocket => "not a websocket handshake",
            Self::Timeout => "handshake timed out",
            Self::Closed => "closed during the handshake",
            Self::Busy => "too many handshakes",
            Self::Malformed => "malformed frame",
            Self::Oversize => "frame too large",
            Self::Unexpected => "unexpected frame",
            Self::Protocol => "no common protocol",
            Self::WrongProof => "wrong proof",
            Self::WrongInstance => "another instance",
            Self::Ourselves => "our own name",
            Self::Stale => "stale incarnation",
        }
    }

    /// Close frame that carries the reason to the remote end.
    pub(crate) fn close_frame(self) -> CloseFrame {
        let code = match self {
            Self::Malformed => CloseCode::Invalid,
            Self::Oversize => CloseCode::Size,
            Self::Busy => CloseCode::Again,
            Self::Unexpected | Self::Protocol => CloseCode::Protocol,
            _ => CloseCode::Policy,
        };
        CloseFrame {
            code,
            reason: self.as_str().into(),
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
