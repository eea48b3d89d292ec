//! State-changing requests, as the client sends them.

use crate::{
    AcceptRequest,
    DrainRequest,
    TargetRequest,
    CONTENT_TYPE_WITH_BLOCKS, //
};
use bytes::Bytes;
use serde::Serialize;

/// A request that changes state under an accept id.
pub trait Change: Serialize {
    /// Path on the operators' port.
    const PATH: &'static str;

    /// Whether [`Refusal::Raced`](crate::Refusal::Raced) also settles an earlier request with this
    /// accept id whose response was lost.
    ///
    /// It does if the base version is fixed: once the head has moved past it, no commit on that
    /// base can take effect. The daemon itself retries a drain or a target on newer bases.
    fn raced_is_final(&self) -> bool {
        false
    }

    /// Content type and body of the request.
    fn to_body(&self) -> (&'static str, Bytes) {
        (JSON, to_json(self))
    }
}

/// Content type of a request that consists of JSON only.
const JSON: &str = "application/json";

fn to_json(request: &(impl Serialize + ?Sized)) -> Bytes {
    let json = serde_json::to_vec(request);
    json.expect("a request is plain data").into()
}

impl Change for AcceptRequest {
    const PATH: &'static str = "/op/v1/accept";

    fn raced_is_final(&self) -> bool {
        self.base_version.is_some()
    }

    fn to_body(&self) -> (&'static str, Bytes) {
        let Some(blocks) = &self.blocks else {
            return (JSON, to_json(self));
        };
        let request = Self {
            accept_id: self.accept_id.clone(),
            author: self.author.clone(),
            base_version: self.base_version,
            text: self.text.clone(),
            blocks: None,
        };
        let body = [&to_json(&request), &b"\n"[..], blocks.as_bytes()].concat();
        (CONTENT_TYPE_WITH_BLOCKS, body.into())
    }
}

impl Change for DrainRequest {
    const PATH: &'static str = "/op/v1/drain";
}

impl Change for TargetRequest {
    const PATH: &'static str = "/op/v1/target";
}
