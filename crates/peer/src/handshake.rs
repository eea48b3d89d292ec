//! Who is at the other end: mutual challenge and response, as states without a socket.
//!
//! Both sides send a hello with a fresh nonce. The dialling side proves first, so that a stranger
//! who dials never sees a keyed hash. A proof covers both hellos as they were on the wire, hence
//! both nonces, names and incarnations and any field that a newer peer adds, and the direction: a
//! proof sent back to its maker, or replayed in another session, fits nothing.
//!
//! After the handshake frames carry no hash of their own. Whoever can change bytes on the way
//! between two daemons can forge frames; docs/design/peer.md says what would change that.

use crate::{
    codec::{
        decode,
        encode,
        Decoded, //
    },
    frame::{
        Frame,
        Hello,
        Proof,
        MIN_PROTOCOL,
        PROTOCOL, //
    },
    key::Key,
    mesh::Identity,
    refusal::Refusal, //
};
use base::InstanceId;
use bytes::Bytes;

/// Length of our nonces, in bytes.
pub(crate) const NONCE_BYTES: usize = 32;
/// Shortest nonce that we take from others, in bytes.
const MIN_NONCE_BYTES: usize = 16;
/// Length of a session's id, in bytes.
const SESSION_ID_BYTES: usize = 16;
/// What a keyed hash of the session's id begins with.
const SESSION_LABEL: u8 = 0;

/// Name of a session, the same at both ends; differs for each handshake.
pub(crate) type SessionId = Bytes;

/// One end of a session.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Side {
    /// The end that opened the connection.
    Dialler,
    /// The end that accepted it.
    Listener,
}

impl Side {
    /// The end across.
    fn other(self) -> Self {
        match self {
            Self::Dialler => Self::Listener,
            Self::Listener => Self::Dialler,
        }
    }

    /// What a proof of this side begins with.
    fn label(self) -> u8 {
        match self {
            Self::Dialler => 1,
            Self::Listener => 2,
        }
    }
}

/// Our hello is made; theirs is awaited.
pub(crate) struct Greeting {
    /// Which end we are.
    side: Side,
    /// Shared key.
    key: Key,
    /// Our instance.
    ours: InstanceId,
    /// Whom we dialled.
    expected: Option<InstanceId>,
    /// Our hello as sent.
    hello: Bytes,
}

impl Greeting {
    /// The dialling end of a session to `expected`.
    pub(crate) fn dial(
        identity: &Identity,
        key: &Key,
        nonce: [u8; NONCE_BYTES],
        expected: &InstanceId,
        reopens: Option<SessionId>,
    ) -> Self {
        Self {
            side: Side::Dialler,
            key: key.clone(),
            ours: identity.instance.clone(),
            expected: Some(expected.clone()),
            hello: hello(identity, nonce, reopens),
        }
    }

    /// The listening end of a session.
    pub(crate) fn listen(identity: &Identity, key: &Key, nonce: [u8; NONCE_BYTES]) -> Self {
        Self {
            side: Side::Listener,
            key: key.clone(),
            ours: identity.instance.clone(),
            expected: None,
            hello: hello(identity, nonce, None),
        }
    }

    /// Message for the other end.
    pub(crate) fn hello(&self) -> Bytes {
        self.hello.clone()
    }

    /// Takes the other end's hello.
    pub(crate) fn hear(self, message: &[u8]) -> Result<Challenged, Refusal> {
        let Frame::Hello(theirs) = known_frame(message)? else {
            return Err(Refusal::Unexpected);
        };
        self.check(&theirs)?;
        let transcript = match self.side {
            Side::Dialler => transcript(&self.hello, message),
            Side::Listener => transcript(message, &self.hello),
        };
        Ok(Challenged {
            side: self.side,
            key: self.key,
            theirs,
            transcript,
        })
    }

    /// What can be said of a hello before its proof.
    fn check(&self, theirs: &Hello) -> Result<(), Refusal> {
        let common = theirs.protocol >= MIN_PROTOCOL && PROTOCOL >= theirs.min_protocol;
        if !common {
            return Err(Refusal::Protocol);
        }
        if theirs.nonce.len() < MIN_NONCE_BYTES {
            return Err(Refusal::Malformed);
        }
        if theirs.instance == self.ours {
            return Err(Refusal::Ourselves);
        }
        match &self.expected {
            Some(expected) if *expected != theirs.instance => Err(Refusal::WrongInstance),
            _ => Ok(()),
        }
    }
}

/// Both hellos are known; the other end's proof is awaited.
pub(crate) struct Challenged {
    /// Which end we are.
    side: Side,
    /// Shared key.
    key: Key,
    /// Their hello.
    theirs: Hello,
    /// Both hellos as they were on the wire, the dialler's first.
    transcript: Vec<u8>,
}

impl Challenged {
    /// Our proof, as a message.
    pub(crate) fn proof(&self) -> Bytes {
        let mac = self.key.mac(&labelled(self.side.label(), &self.transcript));
        message(&Frame::Proof(Proof {
            mac: Bytes::copy_from_slice(&mac),
        }))
    }

    /// Takes the other end's proof.
    pub(crate) fn check(&self, message: &[u8]) -> Result<Proven, Refusal> {
        let Frame::Proof(proof) = known_frame(message)? else {
            return Err(Refusal::Unexpected);
        };
        let proved = labelled(self.side.other().label(), &self.transcript);
        if !self.key.verify(&proved, &proof.mac) {
            return Err(Refusal::WrongProof);
        }
        let id = self.key.mac(&labelled(SESSION_LABEL, &self.transcript));
        Ok(Proven {
            side: self.side,
            hello: self.theirs.clone(),
            id: Bytes::copy_from_slice(&id[..SESSION_ID_BYTES]),
        })
    }
}

/// The other end holds the key.
pub(crate) struct Proven {
    /// Which end we are.
    pub(crate) side: Side,
    /// Their hello.
    pub(crate) hello: Hello,
    /// The session's name.
    pub(crate) id: SessionId,
}

/// Our hello as a message.
fn hello(identity: &Identity, nonce: [u8; NONCE_BYTES], reopens: Option<SessionId>) -> Bytes {
    message(&Frame::Hello(Hello {
        protocol: PROTOCOL,
        min_protocol: MIN_PROTOCOL,
        instance: identity.instance.clone(),
        incarnation: identity.incarnation,
        region: identity.region.clone(),
        failure_domain: identity.failure_domain.clone(),
        nonce: Bytes::copy_from_slice(&nonce),
        reopens,
    }))
}

/// A frame of the handshake as bytes.
fn message(frame: &Frame) -> Bytes {
    encode(frame).expect("hello and proof hold plain fields only")
}

/// A frame of a kind that we know; in the handshake no other has a place.
fn known_frame(message: &[u8]) -> Result<Frame, Refusal> {
    match decode(message) {
        Ok(Decoded::Frame(frame)) => Ok(frame),
        Ok(Decoded::UnknownKind) => Err(Refusal::Unexpected),
        Err(_) => Err(Refusal::Malformed),
    }
}

/// Both hellos, each after its length, so that no two pairs give the same bytes.
fn transcript(dialler: &[u8], listener: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(16 + dialler.len() + listener.len());
    for hello in [dialler, listener] {
        // A length in memory always fits into 64 bits.
        out.extend_from_slice(&(hello.len() as u64).to_le_bytes());
        out.extend_from_slice(hello);
    }
    out
}

/// `transcript` after the byte that says what its hash is for.
fn labelled(label: u8, transcript: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(1 + transcript.len());
    out.push(label);
    out.extend_from_slice(transcript);
    out
}
