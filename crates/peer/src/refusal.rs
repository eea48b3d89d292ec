//! Why a connection is refused: one reason, told to the other end and counted.

use std::fmt;
use tokio_tungstenite::tungstenite::protocol::{
    frame::coding::CloseCode,
    CloseFrame, //
};

/// Why a connection or session was closed without trust.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Refusal {
    /// No websocket handshake came.
    NotWebsocket,
    /// The handshake took too long.
    Timeout,
    /// The other end closed during the handshake.
    Closed,
    /// Too many handshakes were under way.
    Busy,
    /// Bytes that are no frame.
    Malformed,
    /// A frame above the limit.
    Oversize,
    /// A frame that has no place here.
    Unexpected,
    /// No common protocol.
    Protocol,
    /// The proof does not fit the shared key.
    WrongProof,
    /// The dialled address is another instance's.
    WrongInstance,
    /// The other end names itself as we do.
    Ourselves,
    /// A higher incarnation of that instance is up.
    Stale,
}

impl Refusal {
    /// Short text, also the close frame's reason.
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

    /// Close frame that tells the other end.
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
