//! Heads: who tells of them, and putting one in force.

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

/// Time between two daemons' reads of the head, on average: a hundred reads a second in all.
///
/// The table gives about two thousand reads a second. Without this, the reads of a large
/// deployment would grow with it until they crowd out those of leases and shares.
const HEAD_READ_SPACING: Duration = Duration::from_millis(10);
/// Longest wait of an accept until the version that it builds on is in force here.
const ADOPT_LIMIT: Duration = Duration::from_secs(3);

/// Someone who waits until a version is in force here.
pub(super) struct Waiter {
    version: Version,
    done: oneshot::Sender<()>,
}

/// Asks for the version in force.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Option<Arc<Adopted>>")]
pub(super) struct GetAdopted;

/// Tells of a head; answered once it is in force here, or could not be made so in time.
#[derive(Clone, Debug, Message)]
#[rtype(result = "Option<Arc<Adopted>>")]
pub(super) struct Observe(pub(super) Head);

/// Tells of a head that was accepted here, with its objects.
#[derive(Clone, Debug, Message)]
#[rtype(result = "()")]
pub(super) struct Learn {
    pub(super) head: Head,
    pub(super) objects: Vec<(Digest, Bytes)>,
    /// The block table that one of them is a snapshot of, so that it needn't be read back.
    pub(super) snapshot: Option<(Digest, Arc<blocks::Table>)>,
}

impl Control {
    /// Starts to ask the table and the partners for the version in force.
    ///
    /// Called once the platform's list was read, or could not be, so that it is known whom to ask.
    pub(in crate::process::control) fn begin_adoption(&mut self, ctx: &mut Context<Self>) {
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
        self.versions.unheard = peers.into_iter().map(|peer| (peer, None)).collect();
        self.versions.give_up_at = self.now() + self.shared.settings.terms.beat_silent;
        self.read_head(ctx);
    }

    /// Reads the head now and again after its interval.
    fn read_head(&mut self, ctx: &mut Context<Self>) {
        let platform = Rc::clone(&self.platform);
        let read = async move { read_head(&platform).await };
        ctx.spawn(read.into_actor(self).map(|read, control, ctx| {
            control.note_call("head", read.is_ok());
            match read {
                Ok(Some(head)) => control.offer(Source::Table, Offer::Head(head), ctx),
                Ok(None) => control.offer(Source::Table, Offer::Nothing, ctx),
                // Tried again; whether the table is given up is for the tick to say.
                Err(_) => {}
            }
            let interval = control.head_interval();
            ctx.run_later(interval, Self::read_head);
        }));
    }

    /// Time to the next read of the head, which grows with the number of daemons that read it.
    fn head_interval(&mut self) -> Duration {
        let interval = self.spaced(self.shared.settings.terms.head, HEAD_READ_SPACING);
        self.jittered(interval)
    }

    /// Takes another daemon's word that it has `version` in force; asks it for a higher one.
    pub(in crate::process::control) fn offer_version(
        &mut self,
        from: &InstanceId,
        version: Version,
        ctx: &mut Context<Self>,
    ) {
        if self.versions.adopt.is_none() {
            return;
        }
        if let Some(told) = self.versions.unheard.get_mut(from) {
            *told = Some(version);
        }
        if version > self.highest_version() {
            self.want_head(from, version);
        } else {
            self.settle_heard(ctx);
        }
    }

    /// Highest version that is in force here or on its way; zero before the first.
    pub(in crate::process::control) fn highest_version(&self) -> Version {
        let adopt = self.versions.adopt.as_ref();
        adopt
            .and_then(Adopt::highest)
            .map_or(0, |head| head.version)
    }

    pub(super) fn offer(&mut self, source: Source, offer: Offer, ctx: &mut Context<Self>) {
        self.run_adopt(AdoptEvent::Offered { source, offer }, ctx);
    }

    /// Feeds the state machine and carries out what it asks for.
    pub(super) fn run_adopt(&mut self, event: AdoptEvent, ctx: &mut Context<Self>) {
        let Some(adopt) = &mut self.versions.adopt else {
            return;
        };
        for action in adopt.handle(event) {
            match action {
                AdoptAction::Fetch { digest, failures } => self.fetch(digest, failures, ctx),
                AdoptAction::Adopt(adopted) => self.put_in_force(&adopted),
            }
        }
        self.settle_heard(ctx);
        self.serve_if_ready();
    }

    /// Crosses off the peers whose version is known by now.
    fn settle_heard(&mut self, ctx: &mut Context<Self>) {
        let highest = self.highest_version();
        let is_known = |told: &Option<Version>| told.is_some_and(|version| version <= highest);
        let known = self.versions.unheard.iter();
        let known: Vec<InstanceId> = known
            .filter(|(_, told)| is_known(told))
            .map(|(peer, _)| peer.clone())
            .collect();
        for peer in known {
            self.versions.unheard.remove(&peer);
            self.offer(Source::Peer(peer), Offer::Nothing, ctx);
        }
    }

    /// Lets time pass: gives up what was not heard and what was not answered.
    pub(in crate::process::control) fn tick_versions(&mut self, ctx: &mut Context<Self>) {
        self.tick_fetch(ctx);
        self.serve_if_ready();
        if self.now() < self.versions.give_up_at {
            return;
        }
        let silent = std::mem::take(&mut self.versions.unheard);
        for peer in silent.into_keys() {
            self.offer(Source::Peer(peer), Offer::Unreachable, ctx);
        }
        if self.stage == Stage::Starting && self.highest_version() > 0 {
            // The lease was taken, so the table answered a moment ago. If it doesn't now, what
            // the peers have in force is all that can be known.
            self.offer(Source::Table, Offer::Unreachable, ctx);
        }
    }

    fn put_in_force(&mut self, adopted: &Arc<Adopted>) {
        let version = adopted.version();
        let author = adopted.head().author.to_string();
        spdlog::info!("configuration in force", kv: { version, author });
        self.config = Some((version, Arc::clone(adopted.config())));
        self.blocks = Arc::clone(adopted.table());
        self.publish();
        self.beat_soon();
        let waiters = std::mem::take(&mut self.versions.waiters);
        for waiter in waiters {
            if waiter.version <= version {
                // Whoever stopped waiting is gone.
                let _ = waiter.done.send(());
            } else {
                self.versions.waiters.push(waiter);
            }
        }
    }

    /// Begins to answer callers once the state machine says that nothing newer may be known and
    /// this entry has its part of the slots: one that serves before that refuses all it gets.
    fn serve_if_ready(&mut self) {
        let is_ready = self.versions.adopt.as_ref().is_some_and(Adopt::is_ready);
        if self.stage == Stage::Starting && is_ready && self.shares_joined() {
            self.stage = Stage::Serving;
            spdlog::info!("serving", kv: { version = self.version() });
            self.publish();
            self.beat_soon();
        }
    }

    /// Version in force with all that belongs to it.
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

impl Handler<Observe> for Control {
    type Result = ResponseFuture<Option<Arc<Adopted>>>;

    fn handle(&mut self, Observe(head): Observe, ctx: &mut Self::Context) -> Self::Result {
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
            // Late or not, what is in force by then is the answer.
            let _ = actix_rt::time::timeout(ADOPT_LIMIT, waited).await;
            control.send(GetAdopted).await.ok().flatten()
        })
    }
}

impl Handler<Learn> for Control {
    type Result = ();

    fn handle(&mut self, learn: Learn, ctx: &mut Self::Context) {
        for (digest, bytes) in &learn.objects {
            self.versions.objects.keep(*digest, bytes);
        }
        if let Some((digest, table)) = &learn.snapshot {
            self.versions.objects.keep_snapshot(*digest, table);
        }
        self.offer(Source::Table, Offer::Head(learn.head), ctx);
        // Others should hear of it now, not at the next tick.
        self.tick_beats();
    }
}

/// Reads the head's row.
pub(super) async fn read_head(platform: &HttpPlatform) -> Result<Option<Head>, ReadError> {
    let rows = read_heads(platform, &[RowKey::Head]).await?;
    Ok(rows.into_iter().next().flatten())
}

/// Reads rows that hold heads, at one time; one that holds none counts as absent.
pub(super) async fn read_heads(
    platform: &HttpPlatform,
    keys: &[RowKey],
) -> Result<Vec<Option<Head>>, ReadError> {
    let keys: Vec<ByteString> = keys.iter().map(|key| key.to_string().into()).collect();
    let rows = platform.read(&keys).await?;
    let parse = |row: Option<Row>| row.and_then(|row| row.value.parse().ok());
    Ok(rows.into_iter().map(parse).collect())
}
