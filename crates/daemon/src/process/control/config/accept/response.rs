//! Responses to the operator of an accept.

use crate::process::control::config::{
    accept::Driver,
    adopt::HeadAccepted,
    history::{
        read_body,
        read_version, //
    },
};
use base::Version;
use blocks::Table;
use op::{
    AcceptEffect,
    Accepted,
    Refusal, //
};
use spec::{
    diff,
    Adopted,
    BlockObject,
    Body,
    Config,
    Digest,
    Head,
    Proposal, //
};
use std::sync::Arc;

impl Driver {
    /// Announces a version that was accepted here to control, and returns its difference to the
    /// base.
    pub(super) fn accepted(
        &self,
        proposal: &Proposal,
        head: Head,
        base: Option<&Adopted>,
        table: Option<Arc<Table>>,
    ) -> Accepted {
        let version = head.version;
        let new_body = proposal.objects.last().map(|(_, body)| body.clone());
        let new_body = new_body.and_then(|body| parse_body(&proposal.body, &body));
        let difference = match (base, new_body) {
            (Some(base), Some(new_body)) => difference(
                &VersionContent::from(base),
                &VersionContent::from(&new_body),
            ),
            _ => Vec::new(),
        };
        let snapshot = proposal.objects.iter();
        let mut snapshot = snapshot.filter(|(_, bytes)| BlockObject::is_snapshot(bytes));
        let snapshot = snapshot.next().map(|(digest, _)| *digest).zip(table);
        self.control.do_send(HeadAccepted {
            head,
            objects: proposal.objects.clone(),
            snapshot,
        });
        Accepted {
            version,
            how: AcceptEffect::New,
            difference,
        }
    }

    /// Answers a repeated accept, after checking that its accept id was used for the same request.
    pub(super) async fn repeated(
        &self,
        head: Head,
        is_same_request: impl FnOnce(&Config) -> bool,
    ) -> Result<Accepted, Refusal> {
        let body = read_body(&self.platform, &head).await;
        // If the store is unavailable, the accept id alone has to suffice.
        if body.is_ok_and(|body| !is_same_request(&body.config)) {
            return Err(Refusal::Reused {
                version: head.version,
                author: head.author,
            });
        }
        Ok(Accepted {
            version: head.version,
            how: AcceptEffect::Repeated,
            difference: Vec::new(),
        })
    }

    /// Reports the author of the winning version, and its changes since the base.
    pub(super) async fn raced(
        &self,
        base_version: Version,
        head: Option<Head>,
        base: Option<Arc<Adopted>>,
    ) -> Refusal {
        let Some(head) = head.filter(|head| head.version > base_version) else {
            return Refusal::NotFound {
                detail: format!("there is no version {base_version} to base the change on"),
            };
        };
        let before = match base.filter(|base| base.version() == base_version) {
            Some(base) => Some(VersionContent::from(&*base)),
            None => self.version_content(base_version).await,
        };
        let after = read_body(&self.platform, &head).await.ok();
        let steps = match (before, after) {
            (Some(before), Some(after)) => difference(&before, &VersionContent::from(&after)),
            _ => Vec::new(),
        };
        Refusal::Raced {
            version: head.version,
            author: head.author,
            difference: steps,
        }
    }

    async fn version_content(&self, version: Version) -> Option<VersionContent> {
        let head = read_version(&self.platform, version).await.ok()?;
        let body = read_body(&self.platform, &head).await.ok()?;
        Some(VersionContent::from(&body))
    }

    pub(super) fn not_done(&self) -> Refusal {
        Refusal::NotDone {
            detail: self.last_failure.clone(),
        }
    }

    pub(super) fn unknown(&self) -> Refusal {
        Refusal::Unknown {
            detail: self.last_failure.clone(),
        }
    }
}

/// One version of a comparison.
struct VersionContent {
    config: Arc<Config>,
    blocks: Option<Digest>,
}

impl From<&Adopted> for VersionContent {
    fn from(adopted: &Adopted) -> Self {
        Self {
            config: Arc::clone(adopted.config()),
            blocks: adopted.block_object(),
        }
    }
}

impl From<&Body> for VersionContent {
    fn from(body: &Body) -> Self {
        Self {
            config: Arc::clone(&body.config),
            blocks: body.blocks,
        }
    }
}

/// Changes from one version to another, as text.
fn difference(before: &VersionContent, after: &VersionContent) -> Vec<String> {
    let changes = diff(&before.config, &after.config);
    let mut steps: Vec<String> = changes.iter().map(ToString::to_string).collect();
    if before.blocks != after.blocks {
        steps.push("~ block table".to_owned());
    }
    steps
}

fn parse_body(digest: &Digest, bytes: &[u8]) -> Option<Body> {
    match spec::Object::read(digest, bytes) {
        Ok(spec::Object::Body(body)) => Some(body),
        _ => None,
    }
}
