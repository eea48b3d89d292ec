//! Fetching the objects that a head names, from a peer or from the store.
//!
//! One object at a time. A peer is asked first where one has the version: it answers within a round
//! trip, however slow the platform is. After each failure the other kind of source has its turn.

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

/// Wait for a peer's next part, or for its head, before someone else is asked.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// Wait before the first repeat of a fetch; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Repeats up to which the wait grows, to 1.6 seconds.
const PAUSE_DOUBLINGS: u8 = 6;
/// Longest object that a peer may send.
const OBJECT_LIMIT_BYTES: u64 = 128 << 20;
/// Objects of this size are read off the control thread.
const LARGE_BYTES: usize = 64 << 10;

/// Head that a peer was asked for.
pub(super) struct Want {
    version: Version,
    at: Now,
}

/// Object that is being fetched.
pub(super) struct Fetch {
    digest: Digest,
    failures: u8,
    stage: FetchStage,
}

/// How far a fetch is.
enum FetchStage {
    /// Waits before it asks again.
    Pausing,
    /// Waits for a peer's parts.
    Peer {
        /// Who was asked.
        peer: InstanceId,
        /// When it was asked or last sent a part.
        heard_at: Now,
    },
    /// Waits for the store, or is being read.
    Underway,
}

impl Control {
    /// Asks a peer for a head that it told of, unless another was asked just now.
    pub(super) fn want_head(&mut self, from: &InstanceId, version: Version) {
        let now = self.now();
        let asked = self.versions.want.as_ref();
        if asked.is_some_and(|want| want.version >= version && now < want.at + PEER_TIMEOUT) {
            return;
        }
        self.versions.want = Some(Want { version, at: now });
        let want = ConfigWant {
            version,
            object: None,
        };
        if let Some(mesh) = &self.mesh {
            mesh.send(from, Frame::ConfigWant(want));
        }
    }

    /// Starts to fetch an object; what was being fetched before is given up.
    pub(super) fn fetch(&mut self, digest: Digest, failures: u8, ctx: &mut Context<Self>) {
        self.versions.fetch = Some(Fetch {
            digest,
            failures,
            stage: FetchStage::Pausing,
        });
        if failures == 0 {
            self.ask_for_object(digest, ctx);
            return;
        }
        let pause = FIRST_PAUSE * (1 << (failures.min(PAUSE_DOUBLINGS) - 1));
        let pause = self.jittered(pause);
        ctx.run_later(pause, move |control, ctx| {
            control.ask_for_object(digest, ctx);
        });
    }

    fn ask_for_object(&mut self, digest: Digest, ctx: &mut Context<Self>) {
        let Some(fetch) = self.current_fetch(&digest) else {
            return;
        };
        if !matches!(fetch.stage, FetchStage::Pausing) {
            return;
        }
        let failures = fetch.failures;
        if let Some(bytes) = self.versions.objects.get(&digest) {
            self.read_object(digest, bytes, ctx);
            return;
        }
        if let Some(table) = self.versions.objects.snapshot(&digest) {
            let object = Object::Blocks(BlockObject::Snapshot(table));
            self.fetched(digest, Ok(object), ctx);
            return;
        }
        match self.peer_to_ask(&digest, failures) {
            Some(peer) => self.ask_peer(digest, peer),
            None => self.ask_store(digest, ctx),
        }
    }

    /// The fetch of `digest`, if that is what is being fetched.
    fn current_fetch(&mut self, digest: &Digest) -> Option<&mut Fetch> {
        let fetch = self.versions.fetch.as_mut();
        fetch.filter(|fetch| fetch.digest == *digest)
    }

    /// Peer to ask for an object, if it is a peer's turn and one has the version.
    fn peer_to_ask(&mut self, digest: &Digest, failures: u8) -> Option<InstanceId> {
        let head = self.versions.adopt.as_ref()?.highest()?;
        // A daemon that has no table yet needs a snapshot, which a peer would have to write out.
        let store_first = head.digest != *digest && self.blocks.is_empty();
        if (failures % 2 == 0) == store_first {
            return None;
        }
        let version = head.version;
        let peers = self.mesh.as_ref()?.peers().into_iter();
        let has_version = |peer: &InstanceId| {
            let facts = self.picture.instance(peer);
            facts.is_some_and(|facts| facts.version >= version)
        };
        let mut able: Vec<InstanceId> = peers
            .map(|info| info.instance)
            .filter(has_version)
            .collect();
        if able.is_empty() {
            return None;
        }
        let index = self.rng.random_range(0..able.len());
        Some(able.swap_remove(index))
    }

    fn ask_peer(&mut self, digest: Digest, peer: InstanceId) {
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

    fn ask_store(&mut self, digest: Digest, ctx: &mut Context<Self>) {
        if let Some(fetch) = self.current_fetch(&digest) {
            fetch.stage = FetchStage::Underway;
        }
        let platform = Rc::clone(&self.platform);
        let get = async move { platform.get(&digest.object_name()).await };
        ctx.spawn(get.into_actor(self).map(move |got, control, ctx| {
            control.note_call("object", got.is_ok());
            match got {
                Ok(Some(bytes)) => control.read_object(digest, bytes, ctx),
                Ok(None) | Err(_) => control.fetch_failed(digest, FetchFailure::Unavailable, ctx),
            }
        }));
    }

    /// Gives up a peer that doesn't answer.
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

    fn fetch_failed(&mut self, digest: Digest, why: FetchFailure, ctx: &mut Context<Self>) {
        self.fetched(digest, Err(why), ctx);
    }

    /// Gives an answer to the state machine, if it is the one that is awaited.
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

    /// Reads an object's bytes; large ones on another thread, since a snapshot takes a while.
    fn read_object(&mut self, digest: Digest, bytes: Bytes, ctx: &mut Context<Self>) {
        if let Some(fetch) = self.current_fetch(&digest) {
            fetch.stage = FetchStage::Underway;
        }
        if bytes.len() < LARGE_BYTES {
            let object = Object::read(&digest, &bytes);
            self.take_object(digest, object.ok(), &bytes, ctx);
            return;
        }
        let read = actix_rt::task::spawn_blocking(move || {
            let object = Object::read(&digest, &bytes);
            (object.ok(), bytes)
        });
        ctx.spawn(read.into_actor(self).map(move |read, control, ctx| {
            let (object, bytes) = read.unwrap_or_default();
            control.take_object(digest, object, &bytes, ctx);
        }));
    }

    fn take_object(
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
                self.versions.objects.keep_snapshot(digest, table);
            }
            Object::Body(_) | Object::Blocks(_) => self.versions.objects.keep(digest, bytes),
        }
        self.fetched(digest, Ok(object), ctx);
    }

    /// Takes a part of an object from a peer.
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
            .or_insert_with(|| ConfigAssembly::new(OBJECT_LIMIT_BYTES));
        // A part that doesn't fit drops what came before; the fetch runs into its timeout.
        if let Ok(Some(whole)) = assembly.push(part) {
            self.on_whole(from, whole, ctx);
        }
    }

    fn on_whole(&mut self, from: &InstanceId, whole: WholeConfig, ctx: &mut Context<Self>) {
        if whole.body.is_empty() {
            self.on_lacking(from, ctx);
            return;
        }
        let digest = Digest::of(&whole.body);
        let head = whole.head.parse::<Head>().ok();
        if let Some(head) = head.filter(|head| head.digest == digest) {
            self.versions.objects.keep(digest, &whole.body);
            self.versions.unheard.remove(from);
            self.offer(Source::Peer(from.clone()), Offer::Head(head), ctx);
        }
        let awaited = self.current_fetch(&digest);
        if awaited.is_some_and(|fetch| matches!(fetch.stage, FetchStage::Peer { .. })) {
            self.read_object(digest, whole.body, ctx);
        }
    }

    /// Takes a peer's word that it lacks what it was asked for.
    fn on_lacking(&mut self, from: &InstanceId, ctx: &mut Context<Self>) {
        let Some(fetch) = &self.versions.fetch else {
            return;
        };
        if matches!(&fetch.stage, FetchStage::Peer { peer, .. } if peer == from) {
            self.fetch_failed(fetch.digest, FetchFailure::Unavailable, ctx);
        }
    }
}
