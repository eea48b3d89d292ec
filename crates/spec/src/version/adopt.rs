//! Adoption of versions by a daemon: learns of heads, fetches their objects and adopts only higher
//! versions.
//!
//! Heads come from the table's row and from peers, in any order, late and repeatedly. The state
//! machine fetches the body of the highest head, then the block objects down to one whose table it
//! has or to a snapshot, and adopts the version as a whole. A higher head replaces a fetch in
//! progress; the late result of that fetch doesn't match the requested digest and is dropped.
//!
//! A starting daemon puts no version in force until every source that it asked has reported or was
//! given up; until then, the highest version fetched is kept complete. The daemon becomes ready
//! when the highest version known to those sources is in force, and stays ready.

use crate::{
    BlockObject,
    Body,
    Config,
    Digest,
    Guards,
    Head,
    Object, //
};
use base::{
    InstanceId,
    Version, //
};
use blocks::{
    Delta,
    Table,
    TooManyPreferences, //
};
use std::{
    cmp::Ordering,
    collections::BTreeSet,
    hash::{
        Hash,
        Hasher, //
    },
    sync::Arc, //
};

/// Source from which a daemon learns of heads.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Source {
    /// The table's row.
    Table,
    /// Another daemon.
    Peer(InstanceId),
}

/// Highest version that a source knows.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Offer {
    /// The source knows this head.
    Head(Head),
    /// The source knows no version.
    NoVersion,
    /// The source did not answer in time and is given up.
    Unreachable,
}

/// Why an object was not fetched.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum FetchFailure {
    /// No peer or store that was asked has the object, or none answered.
    Unavailable,
    /// The received object can't be read.
    Unreadable,
}

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum AdoptEvent {
    /// A source has reported or was given up.
    Offered {
        /// Source.
        source: Source,
        /// Report of the source.
        offer: Offer,
    },
    /// Answer to [`AdoptAction::Fetch`].
    Fetched {
        /// Digest that was requested.
        digest: Digest,
        /// Object as returned by [`Object::read`], or the reason for the failure.
        object: Result<Object, FetchFailure>,
    },
}

/// Next action for the driver.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AdoptAction {
    /// Fetch an object from a peer or the store, then pass [`AdoptEvent::Fetched`].
    Fetch {
        /// Digest of the object.
        digest: Digest,
        /// Number of failures of this fetch so far. The driver increases the wait and asks another
        /// source each time.
        failures: u8,
    },
    /// Put this version in force.
    Adopt(Arc<Adopted>),
}

/// Block table built from its block objects.
#[derive(Clone, Debug)]
pub(crate) struct ResolvedBlocks {
    /// Digest of the block object.
    pub(crate) digest: Digest,
    /// Number of differences down to the snapshot.
    pub(crate) depth: u16,
    /// Table without the blocks of the configuration.
    pub(crate) table: Arc<Table>,
}

/// Version with all its objects, as a daemon puts it in force.
///
/// Two versions are equal if their heads and the digests of their bodies are equal, since these
/// identify all other content.
#[derive(Clone, Debug)]
pub struct Adopted {
    /// Head.
    head: Head,
    /// Digest of the adopted body; equal to the head's digest unless a guard is off.
    body: Digest,
    /// Configuration.
    config: Arc<Config>,
    /// Block table of the block objects; `None` if the body names none.
    blocks: Option<ResolvedBlocks>,
    /// Block table with the blocks of the configuration applied.
    table: Arc<Table>,
}

impl Adopted {
    /// Builds a version and applies the blocks of the configuration to the table.
    fn new(
        head: Head,
        body: Digest,
        config: Arc<Config>,
        blocks: Option<ResolvedBlocks>,
    ) -> Result<Self, TooManyPreferences> {
        let mut rules = Delta::default();
        for rule in &config.block_rules {
            rules.set(rule.block, &rule.regions);
        }
        let base = blocks.as_ref().map(|blocks| Arc::clone(&blocks.table));
        let base = base.unwrap_or_default();
        let table = if rules.is_empty() {
            base
        } else {
            Arc::new(base.apply(&rules)?)
        };
        Ok(Self {
            head,
            body,
            config,
            blocks,
            table,
        })
    }

    /// Version.
    pub fn version(&self) -> Version {
        self.head.version
    }

    /// Head.
    pub fn head(&self) -> &Head {
        &self.head
    }

    /// Digest of the adopted body.
    pub fn body(&self) -> &Digest {
        &self.body
    }

    /// Configuration.
    pub fn config(&self) -> &Arc<Config> {
        &self.config
    }

    /// Block table for lookups, including the blocks of the configuration.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Digest of the block object; `None` if the only blocks are those of the configuration.
    pub fn block_object(&self) -> Option<Digest> {
        self.blocks.as_ref().map(|blocks| blocks.digest)
    }

    /// Block table of the block objects.
    pub(crate) fn resolved_blocks(&self) -> Option<&ResolvedBlocks> {
        self.blocks.as_ref()
    }

    /// Fields that identify the version, for comparisons and hashes.
    fn key(&self) -> (&Head, &Digest) {
        (&self.head, &self.body)
    }
}

impl PartialEq for Adopted {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Adopted {}

impl Hash for Adopted {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key().hash(state);
    }
}

impl Ord for Adopted {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

impl PartialOrd for Adopted {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Fetched body with the digest under which it was fetched.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct FetchedBody {
    /// Digest.
    digest: Digest,
    /// Configuration.
    config: Arc<Config>,
    /// Block object that the body names.
    blocks: Option<Digest>,
}

/// Fetched difference on the chain down to a known table.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct FetchedDelta {
    /// Digest of the block object.
    digest: Digest,
    /// Number of differences down to the snapshot.
    depth: u16,
    /// Blocks that differ.
    delta: Arc<Delta>,
}

/// Higher version whose objects are being fetched.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct PendingVersion {
    /// Head of the version.
    head: Head,
    /// Body, once fetched.
    body: Option<FetchedBody>,
    /// Differences fetched so far, newest first.
    deltas: Vec<FetchedDelta>,
    /// Digest of the object that is being fetched.
    requested: Digest,
    /// Number of failures of that fetch.
    failures: u8,
}

impl PendingVersion {
    /// Creates a pending version; the body is fetched first.
    fn new(head: Head) -> Self {
        let requested = head.digest;
        Self {
            head,
            body: None,
            deltas: Vec::new(),
            requested,
            failures: 0,
        }
    }

    /// Starts the fetch of the next object.
    fn fetch(&mut self, digest: Digest) -> AdoptAction {
        self.requested = digest;
        self.failures = 0;
        AdoptAction::Fetch {
            digest,
            failures: 0,
        }
    }

    /// Retries the fetch of the same object.
    fn retry_fetch(&mut self) -> AdoptAction {
        self.failures = self.failures.saturating_add(1);
        AdoptAction::Fetch {
            digest: self.requested,
            failures: self.failures,
        }
    }

    /// Builds the version from the body and the table of the last difference's base.
    fn finish(&self, base: Option<ResolvedBlocks>) -> Result<Adopted, TooManyPreferences> {
        let mut blocks = base;
        for fetched in self.deltas.iter().rev() {
            let base_table = blocks.map_or_else(Arc::default, |blocks| blocks.table);
            blocks = Some(ResolvedBlocks {
                digest: fetched.digest,
                depth: fetched.depth,
                table: Arc::new(base_table.apply(&fetched.delta)?),
            });
        }
        let body = self
            .body
            .as_ref()
            .expect("Blocks are only fetched after the body.");
        Adopted::new(
            self.head.clone(),
            body.digest,
            Arc::clone(&body.config),
            blocks,
        )
    }
}

/// State machine of a daemon's adoption of versions.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Adopt {
    /// Guards of the protocol.
    guards: Guards,
    /// Sources asked at the start that have neither reported nor been given up.
    awaited_sources: BTreeSet<Source>,
    /// Version in force.
    adopted: Option<Arc<Adopted>>,
    /// Version that was fetched completely and is not in force yet.
    complete: Option<Arc<Adopted>>,
    /// Higher version that is being fetched.
    pending: Option<PendingVersion>,
    /// Whether the daemon is ready.
    ready: bool,
}

impl Adopt {
    /// Starts without a version; `sources` are the sources that the daemon asks at its start.
    pub fn new(sources: BTreeSet<Source>, guards: Guards) -> Self {
        Self {
            guards,
            awaited_sources: sources,
            adopted: None,
            complete: None,
            pending: None,
            ready: false,
        }
    }

    /// Version in force.
    pub fn adopted(&self) -> Option<&Arc<Adopted>> {
        self.adopted.as_ref()
    }

    /// Highest known head, whether in force, complete or being fetched.
    pub fn highest(&self) -> Option<&Head> {
        let pending = self.pending.as_ref().map(|pending| &pending.head);
        pending.or_else(|| self.complete_or_adopted().map(|version| version.head()))
    }

    /// Highest version whose objects have all been fetched.
    fn complete_or_adopted(&self) -> Option<&Arc<Adopted>> {
        self.complete.as_ref().or(self.adopted.as_ref())
    }

    /// Whether the daemon may answer callers.
    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// Handles an event and returns the next actions in order.
    pub fn handle(&mut self, event: AdoptEvent) -> Vec<AdoptAction> {
        let previous_version = self.adopted.as_ref().map(|adopted| adopted.version());
        let action = match event {
            AdoptEvent::Offered { source, offer } => {
                self.awaited_sources.remove(&source);
                match offer {
                    Offer::Head(head) => self.on_head(head),
                    Offer::NoVersion | Offer::Unreachable => None,
                }
            }
            AdoptEvent::Fetched { digest, object } => self.on_fetched(digest, object),
        };
        let adoption = self.adopt_complete();
        self.update_ready();
        debug_assert!(
            !self.guards.only_higher
                || previous_version <= self.adopted.as_ref().map(|adopted| adopted.version())
        );
        action.into_iter().chain(adoption).collect()
    }

    /// Handles a head; its objects are fetched only if it is higher than all known heads.
    fn on_head(&mut self, head: Head) -> Option<AdoptAction> {
        let known = self.highest();
        let is_higher = match known {
            None => true,
            // A lagging peer or a reordered message may report an earlier version. Adopting it
            // would undo an accepted change and make the daemons differ.
            Some(known) if self.guards.only_higher => head.version > known.version,
            Some(known) => head != *known,
        };
        if !is_higher {
            return None;
        }
        let pending = self.pending.insert(PendingVersion::new(head));
        let digest = pending.requested;
        Some(pending.fetch(digest))
    }

    /// Handles the result of a fetch.
    fn on_fetched(
        &mut self,
        digest: Digest,
        object: Result<Object, FetchFailure>,
    ) -> Option<AdoptAction> {
        let pending = self.pending.as_mut()?;
        // This is the late result of an abandoned fetch. Under the new head it would put an old
        // body in force with the new version, and the daemon would keep it until a higher version
        // is adopted.
        if self.guards.match_digest && digest != pending.requested {
            return None;
        }
        match object {
            Ok(Object::Body(body)) if pending.body.is_none() => self.on_body(digest, body),
            Ok(Object::Blocks(blocks)) if pending.body.is_some() => self.on_blocks(digest, blocks),
            Ok(_) | Err(_) => Some(pending.retry_fetch()),
        }
    }

    /// Handles the body and continues with the block object that it names.
    fn on_body(&mut self, digest: Digest, body: Body) -> Option<AdoptAction> {
        let pending = self.pending.as_mut()?;
        let blocks = body.blocks;
        pending.body = Some(FetchedBody {
            digest,
            config: body.config,
            blocks,
        });
        match blocks {
            None => self.finish(None),
            Some(blocks) => self.resolve_blocks(blocks),
        }
    }

    /// Handles a block object.
    fn on_blocks(&mut self, digest: Digest, blocks: BlockObject) -> Option<AdoptAction> {
        let pending = self.pending.as_mut()?;
        match blocks {
            BlockObject::Snapshot(table) => self.finish(Some(ResolvedBlocks {
                digest,
                depth: 0,
                table,
            })),
            BlockObject::Difference { base, depth, delta } => {
                // The depth must decrease with each difference, so that the chain of objects ends.
                if pending
                    .deltas
                    .last()
                    .is_some_and(|last| last.depth <= depth)
                {
                    return Some(pending.retry_fetch());
                }
                pending.deltas.push(FetchedDelta {
                    digest,
                    depth,
                    delta,
                });
                self.resolve_blocks(base)
            }
        }
    }

    /// Uses the table of the latest complete version if it has this digest, otherwise fetches it.
    fn resolve_blocks(&mut self, digest: Digest) -> Option<AdoptAction> {
        let latest = self
            .complete_or_adopted()
            .and_then(|version| version.resolved_blocks());
        match latest.filter(|latest| latest.digest == digest).cloned() {
            Some(latest) => self.finish(Some(latest)),
            None => Some(self.pending.as_mut()?.fetch(digest)),
        }
    }

    /// Completes the pending version with this table.
    fn finish(&mut self, base: Option<ResolvedBlocks>) -> Option<AdoptAction> {
        let pending = self.pending.as_mut()?;
        let Ok(adopted) = pending.finish(base) else {
            return Some(pending.retry_fetch());
        };
        self.pending = None;
        self.complete = Some(Arc::new(adopted));
        None
    }

    /// Puts the complete version in force, unless a source may know a higher version.
    ///
    /// Otherwise a restarted daemon could learn of a version from a lagging peer and put it in
    /// force for a moment, although a higher version was in force before the restart. The version
    /// of the instance would appear to go back.
    fn adopt_complete(&mut self) -> Option<AdoptAction> {
        if !self.is_settled() {
            return None;
        }
        let adopted = self.complete.take()?;
        self.adopted = Some(Arc::clone(&adopted));
        Some(AdoptAction::Adopt(adopted))
    }

    /// Whether all sources have reported or were given up, and no higher version is being fetched.
    fn is_settled(&self) -> bool {
        let settled = self.awaited_sources.is_empty() && self.pending.is_none();
        settled || !self.guards.ready_after_all
    }

    /// Becomes ready once a version is in force and no source can know a higher one.
    ///
    /// A daemon that answered callers earlier would steer by an outdated version, for instance to
    /// upstreams that have been drained since.
    fn update_ready(&mut self) {
        self.ready |= self.adopted.is_some() && self.is_settled();
    }
}
