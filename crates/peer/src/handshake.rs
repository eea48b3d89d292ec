//! Mutual challenge-response authentication, as a state machine without I/O.
//!
//! Both sides send a hello with a fresh nonce. The dialling side sends its proof first, so that an
//! unauthenticated dialler never receives a keyed hash. A proof covers the exact bytes of both
//! hellos, and so both nonces, instance ids and incarnations and any field that a newer peer adds.
//! It also covers the sender's side: a proof that is reflected to its sender, or replayed in
//! another session, does not verify.
//!
//! Frames after the handshake carry no hash. An attacker who can modify traffic between two daemons
//! can forge frames; docs/design/peer.md says what would change that.

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

/// Length of local nonces, in bytes.
pub(crate) const NONCE_BYTES: usize = 32;
/// Shortest nonce accepted from the remote end, in bytes.
const MIN_NONCE_BYTES: usize = 16;
/// Length of a session id, in bytes.
const SESSION_ID_BYTES: usize = 16;
/// First byte of the hash input from which the session id is derived.
const SESSION_LABEL: u8 = 0;

/// Session id, the same at both ends and unique for each handshake.
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
    /// The opposite end.
    fn other(self) -> Self {
        match self {
            Self::Dialler => Self::Listener,
            Self::Listener => Self::Dialler,
        }
    }

    /// First byte of the hash input of this side's proof.
    fn label(self) -> u8 {
        match self {
            Self::Dialler => 1,
            Self::Listener => 2,
        }
    }
}

/// State in which the local hello is built and the remote one awaited.
pub(crate) struct AwaitingHello {
    /// The local end's side.
    side: Side,
    /// Shared key.
    key: Key,
    /// Local instance.
    local_instance: InstanceId,
    /// Instance that was dialled; none at the listening end.
    expected_instance: Option<InstanceId>,
    /// Local hello, encoded.
    local_hello: Bytes,
}

impl AwaitingHello {
    /// Starts the dialling end of a session to `expected`.
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
            local_instance: identity.instance.clone(),
            expected_instance: Some(expected.clone()),
            local_hello: encode_hello(identity, nonce, reopens),
        }
    }

    /// Starts the listening end of a session.
    pub(crate) fn listen(identity: &Identity, key: &Key, nonce: [u8; NONCE_BYTES]) -> Self {
        Self {
            side: Side::Listener,
            key: key.clone(),
            local_instance: identity.instance.clone(),
            expected_instance: None,
            local_hello: encode_hello(identity, nonce, None),
        }
    }

    /// Local hello, to be sent to the remote end.
    pub(crate) fn hello(&self) -> Bytes {
        self.local_hello.clone()
    }

    /// Handles the remote end's hello.
    pub(crate) fn receive_hello(self, message: &[u8]) -> Result<AwaitingProof, Refusal> {
        let Frame::Hello(remote_hello) = decode_known_frame(message)? else {
            return Err(Refusal::Unexpected);
        };
        self.validate_hello(&remote_hello)?;
        let transcript = match self.side {
            Side::Dialler => build_transcript(&self.local_hello, message),
            Side::Listener => build_transcript(message, &self.local_hello),
        };
        Ok(AwaitingProof {
            side: self.side,
            key: self.key,
            remote_hello,
            transcript,
        })
    }

    /// Checks the remote hello as far as possible before its proof.
    fn validate_hello(&self, remote: &Hello) -> Result<(), Refusal> {
        let compatible = remote.protocol >= MIN_PROTOCOL && PROTOCOL >= remote.min_protocol;
        if !compatible {
            return Err(Refusal::Protocol);
        }
        if remote.nonce.len() < MIN_NONCE_BYTES {
            return Err(Refusal::Malformed);
        }
        if remote.instance == self.local_instance {
            return Err(Refusal::Ourselves);
        }
        match &self.expected_instance {
            Some(expected) if *expected != remote.instance => Err(Refusal::WrongInstance),
            _ => Ok(()),
        }
    }
}

/// State in which both hellos are known and the remote proof is awaited.
pub(crate) struct AwaitingProof {
    /// The local end's side.
    side: Side,
    /// Shared key.
    key: Key,
    /// Remote hello.
    remote_hello: Hello,
    /// Exact bytes of both hellos, the dialler's first.
    transcript: Vec<u8>,
}

impl AwaitingProof {
    /// Local proof, encoded.
    pub(crate) fn proof(&self) -> Bytes {
        let mac = self
            .key
            .mac(&with_label(self.side.label(), &self.transcript));
        encode_frame(&Frame::Proof(Proof {
            mac: Bytes::copy_from_slice(&mac),
        }))
    }

    /// Verifies the remote end's proof.
    pub(crate) fn verify_proof(&self, message: &[u8]) -> Result<AuthenticatedPeer, Refusal> {
        let Frame::Proof(proof) = decode_known_frame(message)? else {
            return Err(Refusal::Unexpected);
        };
        let mac_input = with_label(self.side.other().label(), &self.transcript);
        if !self.key.verify(&mac_input, &proof.mac) {
            return Err(Refusal::WrongProof);
        }
        let id = self.key.mac(&with_label(SESSION_LABEL, &self.transcript));
        Ok(AuthenticatedPeer {
            side: self.side,
            hello: self.remote_hello.clone(),
            id: Bytes::copy_from_slice(&id[..SESSION_ID_BYTES]),
        })
    }
}

/// A remote end that has proved that it holds the key.
pub(crate) struct AuthenticatedPeer {
    /// The local end's side.
    pub(crate) side: Side,
    /// Remote hello.
    pub(crate) hello: Hello,
    /// Session id.
    pub(crate) id: SessionId,
}

/// Builds and encodes the local hello.
fn encode_hello(
    identity: &Identity,
    nonce: [u8; NONCE_BYTES],
    reopens: Option<SessionId>,
) -> Bytes {
    encode_frame(&Frame::Hello(Hello {
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

/// Encodes a frame of the handshake.
fn encode_frame(frame: &Frame) -> Bytes {
    encode(frame).expect("hello and proof frames can always be encoded")
}

/// Decodes a frame of a known kind; unknown kinds are not allowed in the handshake.
fn decode_known_frame(message: &[u8]) -> Result<Frame, Refusal> {
    match decode(message) {
        Ok(Decoded::Frame(frame)) => Ok(frame),
        Ok(Decoded::UnknownKind) => Err(Refusal::Unexpected),
        Err(_) => Err(Refusal::Malformed),
    }
}

/// Concatenates both hellos, each prefixed by its length, so that the result is unambiguous.
fn build_transcript(dialler: &[u8], listener: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(16 + dialler.len() + listener.len());
    for hello in [dialler, listener] {
        // The length of a buffer always fits in 64 bits.
        out.extend_from_slice(&(hello.len() as u64).to_le_bytes());
        out.extend_from_slice(hello);
    }
    out
}

/// Prefixes `transcript` with a label for domain separation.
fn with_label(label: u8, transcript: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(1 + transcript.len());
    out.push(label);
    out.extend_from_slice(transcript);
    out
}
