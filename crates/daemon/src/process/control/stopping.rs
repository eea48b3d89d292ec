//! The planned stop, with one type per stage.
//!
//! [`Withdrawn`] is no longer returned by look-ups and waits until cached look-up answers have
//! expired. [`Draining`] answers new work with `not-run` and completes requests in flight.
//! [`HandingOver`] transfers filing records to a successor. [`Releasing`] releases tokens and the
//! lease; then only the goodbye frames to other daemons remain ([`Stopping::Closing`]). Each stage
//! can only become the next one, so no request is cut off by a step taken too early. A repeated
//! stop signal has no effect. The time limit of the whole stop is a setting, and exceeding it is
//! logged.

use crate::process::{
    control::{
        lease::Lease,
        Control, //
    },
    stop::Stage,
};
use actix::{
    ActorContext,
    ActorFutureExt,
    AsyncContext,
    Context,
    Handler,
    Message,
    WrapFuture, //
};
use base::Now;
use std::time::Duration;

/// Time allowed beyond the look-up TTL for answers still in flight.
const LOOKUP_ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Maximum wait for tokens and lease to be released; the platform may be down.
const RELEASE_LIMIT: Duration = Duration::from_secs(5);
/// Maximum wait for a successor's acknowledgement.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(3);
/// Time to flush frames queued to other daemons.
const GOODBYE_LIMIT: Duration = Duration::from_millis(500);

/// Requests a planned stop.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Stop;

/// No longer returned by look-ups; still accepts work.
#[derive(Clone, Copy, Debug)]
pub(super) struct Withdrawn {
    until: Now,
    limit: Now,
}

/// Accepts no new work; completes requests in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct Draining {
    limit: Now,
}

/// Nothing is in flight; filing records are offered to a successor.
#[derive(Clone, Copy, Debug)]
pub(super) struct HandingOver {
    limit: Now,
}

/// Releases the tokens, then the lease.
#[derive(Clone, Copy, Debug)]
pub(super) struct Releasing {
    limit: Now,
}

/// Stage of a planned stop.
#[derive(Clone, Copy, Debug)]
pub(super) enum Stopping {
    Withdrawn(Withdrawn),
    Draining(Draining),
    HandingOver(HandingOver),
    Releasing(Releasing),
    /// Everything is released; goodbye frames are being sent.
    ///
    /// This is a stage of its own because a tick that repeated the release would end the process
    /// before the goodbyes are sent, and log the end twice. Peers would then notice the stop only
    /// by failed connection attempts.
    Closing,
}

impl Withdrawn {
    fn drain(self) -> Draining {
        Draining { limit: self.limit }
    }
}

impl Draining {
    fn hand_over(self, now: Now) -> HandingOver {
        HandingOver {
            limit: now + HAND_OVER_LIMIT,
        }
    }
}

impl HandingOver {
    fn release(self, now: Now) -> Releasing {
        Releasing {
            limit: now + RELEASE_LIMIT,
        }
    }
}

impl Handler<Stop> for Control {
    type Result = ();

    fn handle(&mut self, _: Stop, ctx: &mut Self::Context) {
        if self.stopping.is_some() {
            return;
        }
        let Lease::Held(held) = &mut self.lease else {
            // Nothing was served yet.
            ctx.stop();
            return;
        };
        held.holder.leave();
        let now = self.now();
        let terms = &self.shared.settings.terms;
        self.stopping = Some(Stopping::Withdrawn(Withdrawn {
            until: now + terms.lookup_ttl + LOOKUP_ANSWER_MARGIN,
            limit: now + terms.stop,
        }));
        self.enter_stage(Stage::Withdrawn);
    }
}

impl Control {
    /// Whether a planned stop is in progress.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.is_some()
    }

    fn enter_stage(&mut self, stage: Stage) {
        spdlog::info!("planned stop", kv: { stage = format!("{stage:?}") });
        self.stage = stage;
        self.publish();
        self.request_heartbeats();
    }

    /// Advances the planned stop.
    pub(super) fn tick_stopping(&mut self, ctx: &mut Context<Self>) {
        let now = self.now();
        self.stopping = match self.stopping {
            None => None,
            Some(Stopping::Withdrawn(stage)) if now < stage.until => self.stopping,
            Some(Stopping::Withdrawn(stage)) => {
                self.stop_filings();
                self.enter_stage(Stage::Refusing);
                Some(Stopping::Draining(stage.drain()))
            }
            Some(Stopping::Draining(stage)) => Some(self.tick_draining(stage, now)),
            Some(Stopping::HandingOver(stage)) => {
                if self.is_hand_over_complete() || now >= stage.limit {
                    Some(Stopping::Releasing(stage.release(now)))
                } else {
                    self.send_offer();
                    self.stopping
                }
            }
            Some(Stopping::Releasing(stage)) => Some(self.tick_releasing(stage, now, ctx)),
            Some(Stopping::Closing) => self.stopping,
        };
    }

    fn tick_draining(&mut self, stage: Draining, now: Now) -> Stopping {
        let active = self.shared.active.count();
        if active > 0 && now < stage.limit {
            return Stopping::Draining(stage);
        }
        if active > 0 {
            spdlog::error!("planned stop: the limit cuts requests", kv: { active });
        }
        self.offer_filings();
        Stopping::HandingOver(stage.hand_over(now))
    }

    fn tick_releasing(&mut self, stage: Releasing, now: Now, ctx: &mut Context<Self>) -> Stopping {
        let timed_out = now >= stage.limit;
        if !self.shares_released() && !timed_out {
            return Stopping::Releasing(stage);
        }
        let Lease::Held(held) = &mut self.lease else {
            return Stopping::Releasing(stage);
        };
        held.holder.release();
        if !held.holder.is_released() && !timed_out {
            return Stopping::Releasing(stage);
        }
        let released = held.holder.is_released();
        spdlog::info!("stopped", kv: { released });
        self.request_heartbeats();
        self.tick_heartbeats();
        match self.mesh.take() {
            Some(mesh) => {
                let closed = mesh.close(GOODBYE_LIMIT).into_actor(self);
                ctx.spawn(closed.map(|(), _, ctx| ctx.stop()));
            }
            None => ctx.stop(),
        }
        Stopping::Closing
    }
}
