//! Fetches the objects that a head refers to, from a peer or from the store.
//!
//! Objects are fetched one at a time. A peer that has the version is asked first: it answers within
//! a round trip, however slow the platform is. After each failure the fetch alternates between the
//! two kinds of source.

use crate::process::control::Control;
use actix::{
    ActorFutureExt,
    AsyncContext,
    Context,
    WrapFuture, //
};
use base::{
    InstanceId,
    Now,
    Version, //
};
use bytes::Bytes;
use peer::{
    ConfigAssembly,
    ConfigBody,
    ConfigWant,
    Frame,
    WholeConfig, //
};
use plat::Objects as _;
use rand::RngExt;
use spec::{
    AdoptEvent,
    BlockObject,
    Digest,
    FetchFailure,
    Head,
    Object,
    Offer,
    Source, //
};
use std::{
    rc::Rc,
    time::Duration, //
};

/// Timeout for a peer's next part, or for its head, before another source is asked.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Backoff before the first retry of a fetch; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Number of retries up to which the backoff grows, to 1.6 seconds.
const BACKOFF_GROWTH_LIMIT: u8 = 6;
/// Maximum size of an object from a peer.
const MAX_OBJECT_BYTES: u64 = 128 << 20;
/// Minimum size of objects that are parsed off the control thread.
const LARGE_OBJECT_BYTES: usize = 64 << 10;

/// A pending request for a head.
pub(super) struct HeadRequest {
    version: Version,
    at: Now,
}

/// A fetch in progress.
pub(super) struct Fetch {
    digest: Digest,
    failures: u8,
    stage: FetchStage,
}

/// Stage of a fetch.
enum FetchStage {
    /// Waiting before the request.
    Backoff,
    /// Receiving parts from a peer.
    Peer {
        /// The peer that was asked.
        peer: InstanceId,
        /// Time of the request or of the last received part.
        heard_at: Now,
    },
    /// Waiting for the store, or being parsed.
    InProgress,
}

impl Control {
    /// Requests a head announced by a peer, unless a recent request covers it.
    pub(super) fn request_head(&mut self, from: &InstanceId, version: Version) {
        let now = self.now();
        let pending = self.versions.head_request.as_ref();
        if pending
            .is_some_and(|request| request.version >= version && now < request.at + PEER_TIMEOUT)
        {
            return;
        }
        self.versions.head_request = Some(HeadRequest { version, at: now });
        let want = ConfigWant {
            version,
            object: None,
        };
        if let Some(mesh) = &self.mesh {
            mesh.send(from, Frame::ConfigWant(want));
        }
    }

    /// Starts to fetch an object, abandoning the previous fetch.
    pub(super) fn fetch(&mut self, digest: Digest, failures: u8, ctx: &mut Context<Self>) {
        self.versions.fetch = Some(Fetch {
            digest,
            failures,
            stage: FetchStage::Backoff,
        });
        if failures == 0 {
            self.request_object(digest, ctx);
            return;
        }
        let backoff = INITIAL_BACKOFF * (1 << (failures.min(BACKOFF_GROWTH_LIMIT) - 1));
        let backoff = self.jittered(backoff);
        ctx.run_later(backoff, move |control, ctx| {
            control.request_object(digest, ctx);
        });
    }

    fn request_object(&mut self, digest: Digest, ctx: &mut Context<Self>) {
        let Some(fetch) = self.current_fetch(&digest) else {
            return;
        };
        if !matches!(fetch.stage, FetchStage::Backoff) {
            return;
        }
        let failures = fetch.failures;
        if let Some(bytes) = self.versions.object_cache.get(&digest) {
            self.read_object(digest, bytes, ctx);
            return;
        }
        if let Some(table) = self.versions.object_cache.snapshot(&digest) {
            let object = Object::Blocks(BlockObject::Snapshot(table));
            self.fetched(digest, Ok(object), ctx);
            return;
        }
        match self.choose_peer(&digest, failures) {
            Some(peer) => self.request_from_peer(digest, peer),
            None => self.request_from_store(digest, ctx),
        }
    }

    /// The current fetch, if it is for `digest`.
    fn current_fetch(&mut self, digest: &Digest) -> Option<&mut Fetch> {
        let fetch = self.versions.fetch.as_mut();
        fetch.filter(|fetch| fetch.digest == *digest)
    }

    /// Selects a peer to ask for an object, if it is a peer's turn and one has the version.
    fn choose_peer(&mut self, digest: &Digest, failures: u8) -> Option<InstanceId> {
        let head = self.versions.adopt.as_ref()?.highest()?;
        // A daemon without a block table needs a snapshot, which a peer would have to serialise.
        let prefers_store = head.digest != *digest && self.blocks.is_empty();
        if (failures % 2 == 0) == prefers_store {
            return None;
        }
        let version = head.version;
        let peers = self.mesh.as_ref()?.peers().into_iter();
        let has_version = |peer: &InstanceId| {
            let facts = self.membership_view.instance(peer);
            facts.is_some_and(|facts| facts.version >= version)
        };
        let mut candidates: Vec<InstanceId> = peers
            .map(|info| info.instance)
            .filter(has_version)
            .collect();
        if candidates.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..candidates.len());
        Some(candidates.swap_remove(index))
    }

    fn request_from_peer(&mut self, digest: Digest, peer: InstanceId) {
        let want = ConfigWant {
            version: self.highest_version(),
            object: Some(digest.to_string().into()),
        };
        if let Some(mesh) = &self.mesh {
            mesh.send(&peer, Frame::ConfigWant(want));
        }
        let heard_at = self.now();
        if let Some(fetch) = self.current_fetch(&digest) {
            fetch.stage = FetchStage::Peer { peer, heard_at };
        }
    }

    fn request_from_store(&mut self, digest: Digest, ctx: &mut Context<Self>) {
        if let Some(fetch) = self.current_fetch(&digest) {
            fetch.stage = FetchStage::InProgress;
        }
        let platform = Rc::clone(&self.platform);
        let get = async move { platform.get(&digest.object_name()).await };
        ctx.spawn(get.into_actor(self).map(move |got, control, ctx| {
            control.count_platform_call("object", got.is_ok());
            match got {
                Ok(Some(bytes)) => control.read_object(digest, bytes, ctx),
                Ok(None) | Err(_) => control.fetch_failed(digest, FetchFailure::Unavailable, ctx),
            }
        }));
    }

    /// Abandons the request to a peer that doesn't answer in time.
    pub(super) fn tick_fetch(&mut self, ctx: &mut Context<Self>) {
        let now = self.now();
        let Some(fetch) = &self.versions.fetch else {
            return;
        };
        if let FetchStage::Peer { heard_at, .. } = fetch.stage {
            if now >= heard_at + PEER_TIMEOUT {
                self.fetch_failed(fetch.digest, FetchFailure::Unavailable, ctx);
            }
        }
    }

    fn fetch_failed(&mut self, digest: Digest, failure: FetchFailure, ctx: &mut Context<Self>) {
        self.fetched(digest, Err(failure), ctx);
    }

    /// Passes a result to the state machine, if the fetch is still current.
    fn fetched(
        &mut self,
        digest: Digest,
        object: Result<Object, FetchFailure>,
        ctx: &mut Context<Self>,
    ) {
        if self.current_fetch(&digest).is_none() {
            return;
        }
        self.versions.fetch = None;
        self.run_adopt(AdoptEvent::Fetched { digest, object }, ctx);
    }

    /// Parses an object; large ones on another thread, since a snapshot takes a while.
    fn read_object(&mut self, digest: Digest, bytes: Bytes, ctx: &mut Context<Self>) {
        if let Some(fetch) = self.current_fetch(&digest) {
            fetch.stage = FetchStage::InProgress;
        }
        if bytes.len() < LARGE_OBJECT_BYTES {
            let object = Object::read(&digest, &bytes);
            self.on_object(digest, object.ok(), &bytes, ctx);
            return;
        }
        let read = actix_rt::task::spawn_blocking(move || {
            let object = Object::read(&digest, &bytes);
            (object.ok(), bytes)
        });
        ctx.spawn(read.into_actor(self).map(move |read, control, ctx| {
            let (object, bytes) = read.unwrap_or_default();
            control.on_object(digest, object, &bytes, ctx);
        }));
    }

    fn on_object(
        &mut self,
        digest: Digest,
        object: Option<Object>,
        bytes: &Bytes,
        ctx: &mut Context<Self>,
    ) {
        let Some(object) = object else {
            self.fetch_failed(digest, FetchFailure::Unreadable, ctx);
            return;
        };
        match &object {
            Object::Blocks(BlockObject::Snapshot(table)) => {
                self.versions.object_cache.insert_snapshot(digest, table);
            }
            Object::Body(_) | Object::Blocks(_) => self.versions.object_cache.insert(digest, bytes),
        }
        self.fetched(digest, Ok(object), ctx);
    }

    /// Handles a part of an object from a peer.
    pub(in crate::process::control) fn on_config_part(
        &mut self,
        from: &InstanceId,
        part: ConfigBody,
        ctx: &mut Context<Self>,
    ) {
        let now = self.now();
        if let Some(FetchStage::Peer { peer, heard_at }) =
            self.versions.fetch.as_mut().map(|fetch| &mut fetch.stage)
        {
            if peer == from {
                *heard_at = now;
            }
        }
        let assembly = self
            .versions
            .assemblies
            .entry(from.clone())
            .or_insert_with(|| ConfigAssembly::new(MAX_OBJECT_BYTES));
        // A part that doesn't fit discards the earlier parts; the fetch then times out.
        if let Ok(Some(whole)) = assembly.push(part) {
            self.on_object_complete(from, whole, ctx);
        }
    }

    fn on_object_complete(
        &mut self,
        from: &InstanceId,
        whole: WholeConfig,
        ctx: &mut Context<Self>,
    ) {
        if whole.body.is_empty() {
            self.on_object_missing(from, ctx);
            return;
        }
        let digest = Digest::of(&whole.body);
        let head = whole.head.parse::<Head>().ok();
        if let Some(head) = head.filter(|head| head.digest == digest) {
            self.versions.object_cache.insert(digest, &whole.body);
            self.versions.unreported_peers.remove(from);
            self.offer(Source::Peer(from.clone()), Offer::Head(head), ctx);
        }
        let awaited = self.current_fetch(&digest);
        if awaited.is_some_and(|fetch| matches!(fetch.stage, FetchStage::Peer { .. })) {
            self.read_object(digest, whole.body, ctx);
        }
    }

    /// Handles a peer's reply that it lacks the requested object.
    fn on_object_missing(&mut self, from: &InstanceId, ctx: &mut Context<Self>) {
        let Some(fetch) = &self.versions.fetch else {
            return;
        };
        if matches!(&fetch.stage, FetchStage::Peer { peer, .. } if peer == from) {
            self.fetch_failed(fetch.digest, FetchFailure::Unavailable, ctx);
        }
    }
}
