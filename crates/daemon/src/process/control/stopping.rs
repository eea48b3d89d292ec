//! The planned stop, one type for each of its stages.
//!
//! [`Withdrawn`] is out of look-up answers and waits until callers have forgotten the older ones.
//! [`Draining`] answers new work `not-run` and finishes what is in flight. [`HandingOver`] gives
//! the records of filings to a successor. [`Releasing`] gives tokens and lease back; then only the
//! goodbyes to other daemons are left ([`Stopping::Closing`]). Each stage can
//! only become the next one, so no request is cut because a step came too early. A second signal
//! changes nothing; the limit of the whole stop is a setting, and running into it is reported.

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

/// Time beyond the look-up's time to live for answers that are under way.
const ANSWERS_UNDER_WAY: Duration = Duration::from_millis(500);
/// Longest wait for tokens and lease to be taken back; the platform may be down.
const RELEASE_LIMIT: Duration = Duration::from_secs(5);
/// Longest wait for a successor's acknowledgement.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(3);
/// Time for what is queued to other daemons to go out.
const GOODBYE_LIMIT: Duration = Duration::from_millis(500);

/// Asks for a planned stop.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "()")]
pub(crate) struct Stop;

/// Out of look-up answers; still takes work.
#[derive(Clone, Copy, Debug)]
pub(super) struct Withdrawn {
    until: Now,
    limit: Now,
}

/// Takes no new work; finishes what is in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct Draining {
    limit: Now,
}

/// Nothing is in flight; a successor takes the records of filings.
#[derive(Clone, Copy, Debug)]
pub(super) struct HandingOver {
    limit: Now,
}

/// Gives tokens, then the lease, back.
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
    /// All is given back; other daemons are told.
    ///
    /// A tick that released again would end the process before the goodbyes are out, and log the
    /// end twice. Others would then hear of it only by their own dials that fail.
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
            // Nothing was ever served.
            ctx.stop();
            return;
        };
        held.holder.leave();
        let now = self.now();
        let terms = &self.shared.settings.terms;
        self.stopping = Some(Stopping::Withdrawn(Withdrawn {
            until: now + terms.lookup_ttl + ANSWERS_UNDER_WAY,
            limit: now + terms.stop,
        }));
        self.enter(Stage::Withdrawn);
    }
}

impl Control {
    /// Whether the process is on its way out.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.is_some()
    }

    fn enter(&mut self, stage: Stage) {
        spdlog::info!("planned stop", kv: { stage = format!("{stage:?}") });
        self.stage = stage;
        self.publish();
        self.beat_soon();
    }

    /// Moves the planned stop on.
    pub(super) fn tick_stopping(&mut self, ctx: &mut Context<Self>) {
        let now = self.now();
        self.stopping = match self.stopping {
            None => None,
            Some(Stopping::Withdrawn(stage)) if now < stage.until => self.stopping,
            Some(Stopping::Withdrawn(stage)) => {
                self.stop_filings();
                self.enter(Stage::Refusing);
                Some(Stopping::Draining(stage.drain()))
            }
            Some(Stopping::Draining(stage)) => Some(self.tick_draining(stage, now)),
            Some(Stopping::HandingOver(stage)) => {
                if self.filings_handed_over() || now >= stage.limit {
                    Some(Stopping::Releasing(stage.release(now)))
                } else {
                    self.repeat_offer();
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
        self.hand_filings_over();
        Stopping::HandingOver(stage.hand_over(now))
    }

    fn tick_releasing(&mut self, stage: Releasing, now: Now, ctx: &mut Context<Self>) -> Stopping {
        let over = now >= stage.limit;
        if !self.shares_released() && !over {
            return Stopping::Releasing(stage);
        }
        let Lease::Held(held) = &mut self.lease else {
            return Stopping::Releasing(stage);
        };
        held.holder.release();
        if !held.holder.is_released() && !over {
            return Stopping::Releasing(stage);
        }
        let released = held.holder.is_released();
        spdlog::info!("stopped", kv: { released });
        self.beat_soon();
        self.tick_beats();
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
