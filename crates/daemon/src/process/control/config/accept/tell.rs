//! What an operator is told of an accept.

use crate::process::control::config::{
    accept::Driver,
    adopt::Learn,
    history::{
        read_body,
        read_version, //
    },
};
use base::Version;
use blocks::Table;
use op::{
    Accepted,
    AcceptedHow,
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
    /// Tells control of a version that was made here, and the operator of its difference.
    pub(super) fn accepted(
        &self,
        proposal: &Proposal,
        head: Head,
        base: Option<&Adopted>,
        table: Option<Arc<Table>>,
    ) -> Accepted {
        let version = head.version;
        let made = proposal.objects.last().map(|(_, body)| body.clone());
        let made = made.and_then(|body| body_of(&proposal.body, &body));
        let difference = match (base, made) {
            (Some(base), Some(made)) => difference(&Side::from(base), &Side::from(&made)),
            _ => Vec::new(),
        };
        let snapshot = proposal.objects.iter();
        let mut snapshot = snapshot.filter(|(_, bytes)| BlockObject::is_snapshot(bytes));
        let snapshot = snapshot.next().map(|(digest, _)| *digest).zip(table);
        self.control.do_send(Learn {
            head,
            objects: proposal.objects.clone(),
            snapshot,
        });
        Accepted {
            version,
            how: AcceptedHow::New,
            difference,
        }
    }

    /// Answers a repeat, once it is known that its accept id stood for the same wish before.
    pub(super) async fn repeated(
        &self,
        head: Head,
        holds: impl FnOnce(&Config) -> bool,
    ) -> Result<Accepted, Refusal> {
        let body = read_body(&self.platform, &head).await;
        // Without the store the accept id alone has to do.
        if body.is_ok_and(|body| !holds(&body.config)) {
            return Err(Refusal::Reused {
                version: head.version,
                author: head.author,
            });
        }
        Ok(Accepted {
            version: head.version,
            how: AcceptedHow::Repeated,
            difference: Vec::new(),
        })
    }

    /// Tells who came first, and what he changed since the base.
    pub(super) async fn raced(
        &self,
        base_version: Version,
        head: Option<Head>,
        base: Option<Arc<Adopted>>,
    ) -> Refusal {
        let Some(head) = head.filter(|head| head.version > base_version) else {
            return Refusal::NotFound {
                detail: format!("there is no version {base_version} to build on"),
            };
        };
        let before = match base.filter(|base| base.version() == base_version) {
            Some(base) => Some(Side::from(&*base)),
            None => self.side_of(base_version).await,
        };
        let after = read_body(&self.platform, &head).await.ok();
        let steps = match (before, after) {
            (Some(before), Some(after)) => difference(&before, &Side::from(&after)),
            _ => Vec::new(),
        };
        Refusal::Raced {
            version: head.version,
            author: head.author,
            difference: steps,
        }
    }

    async fn side_of(&self, version: Version) -> Option<Side> {
        let head = read_version(&self.platform, version).await.ok()?;
        let body = read_body(&self.platform, &head).await.ok()?;
        Some(Side::from(&body))
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

/// One side of a difference.
struct Side {
    config: Arc<Config>,
    blocks: Option<Digest>,
}

impl From<&Adopted> for Side {
    fn from(adopted: &Adopted) -> Self {
        Self {
            config: Arc::clone(adopted.config()),
            blocks: adopted.block_object(),
        }
    }
}

impl From<&Body> for Side {
    fn from(body: &Body) -> Self {
        Self {
            config: Arc::clone(&body.config),
            blocks: body.blocks,
        }
    }
}

/// Steps from one version to another, as text.
fn difference(before: &Side, after: &Side) -> Vec<String> {
    let changes = diff(&before.config, &after.config);
    let mut steps: Vec<String> = changes.iter().map(ToString::to_string).collect();
    if before.blocks != after.blocks {
        steps.push("~ block table".to_owned());
    }
    steps
}

fn body_of(digest: &Digest, bytes: &[u8]) -> Option<Body> {
    match spec::Object::read(digest, bytes) {
        Ok(spec::Object::Body(body)) => Some(body),
        _ => None,
    }
}
