//! Adoption of heads announced by the table or by peers.

use crate::process::{
    control::Control,
    stop::Stage, //
};
use actix::{
    ActorFutureExt,
    AsyncContext,
    Context,
    Handler,
    Message,
    MessageResult,
    ResponseFuture,
    WrapFuture, //
};
use base::{
    InstanceId,
    Version, //
};
use bytes::Bytes;
use bytestring::ByteString;
use plat::{
    HttpPlatform,
    ReadError,
    Row,
    Table, //
};
use spec::{
    Adopt,
    AdoptAction,
    AdoptEvent,
    Adopted,
    Digest,
    Guards,
    Head,
    Offer,
    RowKey,
    Source, //
};
use std::{
    collections::BTreeSet,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};
use tokio::sync::oneshot;

/// Average interval between head reads of different daemons: a hundred a second in total.
///
/// The table handles about two thousand reads a second. Without this limit, the head reads of a
/// large deployment would grow with it until they crowd out those of leases and shares.
const HEAD_READ_SPACING: Duration = Duration::from_millis(10);
/// Maximum wait of an accept for its base version to be in force here.
const ADOPT_TIMEOUT: Duration = Duration::from_secs(3);

/// A waiter for a version to be in force here.
pub(super) struct Waiter {
    version: Version,
    done: oneshot::Sender<()>,
}

/// Requests the version in force.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Option<Arc<Adopted>>")]
pub(super) struct GetAdopted;

/// Offers a head; answered once it is in force here, or after a timeout.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<Arc<Adopted>>")]
pub(super) struct AwaitHead(pub(super) Head);

/// Announces a head that was accepted here, with its objects.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub(super) struct HeadAccepted {
    pub(super) head: Head,
    pub(super) objects: Vec<(Digest, Bytes)>,
    /// The block table of which one of the objects is a snapshot, to avoid parsing it again.
    pub(super) snapshot: Option<(Digest, Arc<blocks::Table>)>,
}

impl Control {
    /// Starts asking the table and the partners for the version in force.
    ///
    /// Called after the first attempt to read the platform's list, when the partners to ask are
    /// known.
    pub(in crate::process::control) fn start_adoption(&mut self, ctx: &mut Context<Self>) {
        if self.versions.adopt.is_some() {
            return;
        }
        let peers = self.partners.clone();
        let sources: BTreeSet<Source> = peers
            .iter()
            .cloned()
            .map(Source::Peer)
            .chain([Source::Table])
            .collect();
        self.versions.adopt = Some(Adopt::new(sources, Guards::ALL));
        self.versions.unreported_peers = peers.into_iter().map(|peer| (peer, None)).collect();
        self.versions.peers_deadline = self.now() + self.shared.settings.terms.beat_silent;
        self.read_head(ctx);
    }

    /// Reads the head, and schedules the next read.
    fn read_head(&mut self, ctx: &mut Context<Self>) {
        let platform = Rc::clone(&self.platform);
        let read = async move { read_head(&platform).await };
        ctx.spawn(read.into_actor(self).map(|read, control, ctx| {
            control.count_platform_call("head", read.is_ok());
            match read {
                Ok(Some(head)) => control.offer(Source::Table, Offer::Head(head), ctx),
                Ok(None) => control.offer(Source::Table, Offer::NoVersion, ctx),
                // Retried; `tick_versions` decides whether the table counts as unreachable.
                Err(_) => {}
            }
            let interval = control.head_interval();
            ctx.run_later(interval, Self::read_head);
        }));
    }

    /// Interval to the next read of the head, which grows with the number of daemons.
    fn head_interval(&mut self) -> Duration {
        let interval = self.fleet_interval(self.shared.settings.terms.head, HEAD_READ_SPACING);
        self.jittered(interval)
    }

    /// Handles the version reported by another daemon; requests the head if it is newer.
    pub(in crate::process::control) fn on_peer_version(
        &mut self,
        from: &InstanceId,
        version: Version,
        ctx: &mut Context<Self>,
    ) {
        if self.versions.adopt.is_none() {
            return;
        }
        if let Some(reported) = self.versions.unreported_peers.get_mut(from) {
            *reported = Some(version);
        }
        if version > self.highest_version() {
            self.request_head(from, version);
        } else {
            self.resolve_peers(ctx);
        }
    }

    /// Highest version that is in force here or being fetched; zero before the first.
    pub(in crate::process::control) fn highest_version(&self) -> Version {
        let adopt = self.versions.adopt.as_ref();
        adopt
            .and_then(Adopt::highest)
            .map_or(0, |head| head.version)
    }

    pub(super) fn offer(&mut self, source: Source, offer: Offer, ctx: &mut Context<Self>) {
        self.run_adopt(AdoptEvent::Offered { source, offer }, ctx);
    }

    /// Feeds the state machine and executes its actions.
    pub(super) fn run_adopt(&mut self, event: AdoptEvent, ctx: &mut Context<Self>) {
        let Some(adopt) = &mut self.versions.adopt else {
            return;
        };
        for action in adopt.handle(event) {
            match action {
                AdoptAction::Fetch { digest, failures } => self.fetch(digest, failures, ctx),
                AdoptAction::Adopt(adopted) => self.activate(&adopted),
            }
        }
        self.resolve_peers(ctx);
        self.serve_if_ready();
    }

    /// Resolves peers whose reported version is no longer newer than the known one.
    fn resolve_peers(&mut self, ctx: &mut Context<Self>) {
        let highest = self.highest_version();
        let is_known =
            |reported: &Option<Version>| reported.is_some_and(|version| version <= highest);
        let known = self.versions.unreported_peers.iter();
        let known: Vec<InstanceId> = known
            .filter(|(_, reported)| is_known(reported))
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in known {
            self.versions.unreported_peers.remove(&peer);
            self.offer(Source::Peer(peer), Offer::NoVersion, ctx);
        }
    }

    /// Handles timeouts of peers and fetches.
    pub(in crate::process::control) fn tick_versions(&mut self, ctx: &mut Context<Self>) {
        self.tick_fetch(ctx);
        self.serve_if_ready();
        if self.now() < self.versions.peers_deadline {
            return;
        }
        let silent = std::mem::take(&mut self.versions.unreported_peers);
        for peer in silent.into_keys() {
            self.offer(Source::Peer(peer), Offer::Unreachable, ctx);
        }
        if self.stage == Stage::Starting && self.highest_version() > 0 {
            // The lease was acquired, so the table was reachable a moment ago. If it is unreachable
            // now, the versions of the peers are the best information available.
            self.offer(Source::Table, Offer::Unreachable, ctx);
        }
    }

    fn activate(&mut self, adopted: &Arc<Adopted>) {
        let version = adopted.version();
        let author = adopted.head().author.to_string();
        spdlog::info!("configuration in force", kv: { version, author });
        self.config = Some((version, Arc::clone(adopted.config())));
        self.blocks = Arc::clone(adopted.table());
        self.publish();
        self.request_heartbeats();
        let waiters = std::mem::take(&mut self.versions.waiters);
        for waiter in waiters {
            if waiter.version <= version {
                // The waiter may have timed out.
                let _ = waiter.done.send(());
            } else {
                self.versions.waiters.push(waiter);
            }
        }
    }

    /// Starts serving callers once the state machine has ruled out a newer known version and this
    /// entry has its share of the slots. An entry that serves before that refuses all its work.
    fn serve_if_ready(&mut self) {
        let is_ready = self.versions.adopt.as_ref().is_some_and(Adopt::is_ready);
        if self.stage == Stage::Starting && is_ready && self.shares_joined() {
            self.stage = Stage::Serving;
            spdlog::info!("serving", kv: { version = self.version() });
            self.publish();
            self.request_heartbeats();
        }
    }

    /// The version in force with its objects.
    pub(super) fn adopted(&self) -> Option<&Arc<Adopted>> {
        self.versions.adopt.as_ref()?.adopted()
    }
}

impl Handler<GetAdopted> for Control {
    type Result = MessageResult<GetAdopted>;

    fn handle(&mut self, _: GetAdopted, _ctx: &mut Self::Context) -> Self::Result {
        MessageResult(self.adopted().cloned())
    }
}

impl Handler<AwaitHead> for Control {
    type Result = ResponseFuture<Option<Arc<Adopted>>>;

    fn handle(&mut self, AwaitHead(head): AwaitHead, ctx: &mut Self::Context) -> Self::Result {
        let version = head.version;
        self.offer(Source::Table, Offer::Head(head), ctx);
        let (done, waited) = oneshot::channel();
        if self.version() < version {
            self.versions.waiters.push(Waiter { version, done });
        } else {
            drop(done);
        }
        let control = ctx.address();
        Box::pin(async move {
            // The version in force is the answer, even after a timeout.
            let _ = actix_rt::time::timeout(ADOPT_TIMEOUT, waited).await;
            control.send(GetAdopted).await.ok().flatten()
        })
    }
}

impl Handler<HeadAccepted> for Control {
    type Result = ();

    fn handle(&mut self, accepted: HeadAccepted, ctx: &mut Self::Context) {
        for (digest, bytes) in &accepted.objects {
            self.versions.object_cache.insert(*digest, bytes);
        }
        if let Some((digest, table)) = &accepted.snapshot {
            self.versions.object_cache.insert_snapshot(*digest, table);
        }
        self.offer(Source::Table, Offer::Head(accepted.head), ctx);
        // Announce the version to peers now instead of at the next tick.
        self.tick_heartbeats();
    }
}

/// Reads the row of the head.
pub(super) async fn read_head(platform: &HttpPlatform) -> Result<Option<Head>, ReadError> {
    let rows = read_heads(platform, &[RowKey::Head]).await?;
    Ok(rows.into_iter().next().flatten())
}

/// Reads rows that contain heads, in one call; a malformed row counts as absent.
pub(super) async fn read_heads(
    platform: &HttpPlatform,
    keys: &[RowKey],
) -> Result<Vec<Option<Head>>, ReadError> {
    let keys: Vec<ByteString> = keys.iter().map(|key| key.to_string().into()).collect();
    let rows = platform.read(&keys).await?;
    let parse = |row: Option<Row>| row.and_then(|row| row.value.parse().ok());
    Ok(rows.into_iter().map(parse).collect())
}
