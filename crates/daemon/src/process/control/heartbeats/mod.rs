//! Sessions between daemons and the heartbeats sent over them.
//!
//! A heartbeat states the sender's own state and carries what the receiver doesn't know yet: the
//! load of the sender's region where it changed, and a few of the instances to which the receiver
//! has no sessions. Urgent changes (a leaving upstream, a new version, a planned stop) are sent at
//! once, and so is a significant change of load; everything else waits for the next heartbeat. The
//! interval grows with the number of peers, so that heartbeats of a large deployment stay within
//! their share of the bandwidth.
//!
//! Liveness of a peer is derived from the pongs of its session, not from its heartbeats. Pongs cost
//! only a few bytes; with heartbeats seconds apart, look-ups would otherwise return a killed peer
//! for that long.
//!
//! This module maintains the sessions and dispatches their frames. `send` decides when a heartbeat
//! is sent and with which content, `sent_state` tracks what each receiver already knows, `receive`
//! processes received heartbeats, and `wire` converts instance summaries to and from the wire
//! format.

mod receive;
mod send;
mod sent_state;
mod wire;

pub(super) use sent_state::SentState;

use crate::process::control::Control;
use actix::{
    AsyncContext,
    Context,
    StreamHandler, //
};
use base::{
    Incarnation,
    InstanceId, //
};
use member::{
    partners,
    Identity,
    InstanceLocation, //
    LeaseState,
};
use peer::{
    Event,
    Frame,
    Key,
    Mesh,
    Options,
    Partner, //
};
use std::net::SocketAddr;

/// Number of partners in each other region.
const PARTNERS_PER_REGION: usize = 2;
/// Seed of the partner selection; identical on all daemons.
const PARTNERS_SEED: u64 = 0;

impl Control {
    /// Starts accepting peer sessions.
    pub(super) fn start_mesh(&mut self, ctx: &mut Context<Self>) {
        let Some(listener) = self.peers_listener.take() else {
            return;
        };
        let settings = &self.shared.settings;
        let identity = peer::Identity {
            instance: settings.instance.clone(),
            incarnation: self.shared.incarnation(),
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
        };
        let key = Key::from_text(settings.peer_key.expose());
        let options = Options {
            seed: rand::random(),
            // Shorter than the silence timeout, so that look-ups stop returning a dead peer early.
            reopen_timeout: settings.terms.beat_silent / 2,
            ..Options::default()
        };
        match Mesh::start(listener, identity, key, options) {
            Ok((mesh, events)) => {
                ctx.add_stream(events);
                self.mesh = Some(mesh);
            }
            Err(error) => spdlog::error!("peer sessions can't be started: {}", error),
        }
    }

    /// Selects the instances to keep sessions with.
    pub(super) fn set_partners(&mut self) {
        let Some(mesh) = &self.mesh else {
            return;
        };
        let settings = &self.shared.settings;
        let me = InstanceLocation {
            instance: settings.instance.clone(),
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
        };
        let known: Vec<(InstanceLocation, SocketAddr)> = self
            .membership_view
            .instances()
            .filter(|(_, facts)| facts.state != LeaseState::Left)
            .filter_map(|(_, facts)| {
                let addr = settings.dial_addr(&facts.identity.peers_addr);
                Some((location_of(&facts.identity), addr.parse().ok()?))
            })
            .collect();
        let all: Vec<InstanceLocation> =
            known.iter().map(|(location, _)| location.clone()).collect();
        let chosen = partners(&me, &all, PARTNERS_PER_REGION, PARTNERS_SEED);
        // Members of one pool must exchange heartbeats, whatever their failure domain.
        let wanted = known
            .into_iter()
            .filter(|(location, _)| {
                location.region == me.region || chosen.contains(&location.instance)
            })
            .map(|(location, addr)| Partner {
                instance: location.instance,
                addr,
            });
        let wanted: Vec<Partner> = wanted.collect();
        self.partners = wanted.iter().map(|to| to.instance.clone()).collect();
        mesh.set_partners(wanted);
    }
}

impl StreamHandler<Event> for Control {
    fn handle(&mut self, event: Event, ctx: &mut Context<Self>) {
        match event {
            // Frames in flight are lost, so the next heartbeat to this peer carries the full state.
            Event::Up(peer) | Event::Reopened(peer) => {
                self.sent_states.remove(&peer.instance);
                self.sent_member_heartbeats.remove(&peer.instance);
            }
            Event::Frame {
                from,
                incarnation,
                frame,
            } => self.on_frame(&from, incarnation, frame, ctx),
            Event::Down { .. } => self.publish(),
            // The mesh counts these.
            Event::Refused { .. } => {}
        }
    }

    fn finished(&mut self, _: &mut Context<Self>) {}
}

impl Control {
    fn on_frame(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        frame: Frame,
        ctx: &mut Context<Self>,
    ) {
        match frame {
            Frame::Beat(beat) => self.on_heartbeat(from, incarnation, &beat, ctx),
            Frame::Share(share) => self.on_share(from, incarnation, &share),
            Frame::ConfigWant(want) => self.on_config_want(from, &want, ctx),
            Frame::ConfigBody(part) => self.on_config_part(from, part, ctx),
            Frame::HandOver(offer) => self.on_hand_over(from, incarnation, &offer),
            Frame::HandOverAck(ack) => self.on_hand_over_ack(&ack),
            Frame::Hello(_) | Frame::Proof(_) | Frame::Note(_) | Frame::Goodbye(_) => {}
        }
    }
}

fn location_of(identity: &Identity) -> InstanceLocation {
    InstanceLocation {
        instance: identity.instance.clone(),
        region: identity.region.clone(),
        failure_domain: identity.failure_domain.clone(),
    }
}
