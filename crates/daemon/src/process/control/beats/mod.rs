//! Sessions between daemons and the heartbeats on them.
//!
//! A beat says what the sender is and carries what the receiver doesn't know yet: its region's load
//! where that changed, and a few of the instances that the receiver has no sessions to. News (a
//! leaving upstream, a new version, a planned stop) goes out at once, and so does a marked change
//! of load; all else waits for the next beat. The interval grows with the number of peers, so that
//! a large deployment's beats stay within their share of bytes.
//!
//! That a peer lives is not told by its beats but by the pongs of its session, which cost a few
//! bytes: with beats seconds apart a killed peer would else be named in look-ups for as long.
//!
//! Here are the sessions: to whom they are kept, and where their frames go. `send` says when a beat
//! goes out and with what, `telling` what its receiver knows already, `hear` what is made of one that
//! came, `wire` how an instance is written on it.

mod hear;
mod send;
mod telling;
mod wire;

pub(super) use telling::Telling;

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

/// Partners in each other region.
const PARTNERS_PER_REGION: usize = 2;
/// Seed of the choice of partners; the same everywhere.
const PARTNERS_SEED: u64 = 0;

impl Control {
    /// Opens the peers' port.
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
            // Known before silence would tell: look-ups must soon stop naming who is gone.
            reopen_timeout: settings.terms.beat_silent / 2,
            ..Options::default()
        };
        match Mesh::start(listener, identity, key, options) {
            Ok((mesh, events)) => {
                ctx.add_stream(events);
                self.mesh = Some(mesh);
            }
            Err(error) => spdlog::error!("the peers' port: {}", error),
        }
    }

    /// Chooses whom to keep sessions to.
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
            .picture
            .instances()
            .filter(|(_, facts)| facts.state != LeaseState::Left)
            .filter_map(|(_, facts)| {
                let addr = settings.dial(&facts.identity.peers_addr);
                Some((place_of(&facts.identity), addr.parse().ok()?))
            })
            .collect();
        let all: Vec<InstanceLocation> = known.iter().map(|(place, _)| place.clone()).collect();
        let chosen = partners(&me, &all, PARTNERS_PER_REGION, PARTNERS_SEED);
        // Members of one pool have to hear each other, whatever their failure domain.
        let wanted = known
            .into_iter()
            .filter(|(place, _)| place.region == me.region || chosen.contains(&place.instance))
            .map(|(place, addr)| Partner {
                instance: place.instance,
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
            // What was on its way is lost; all is news to this peer, and at the next tick.
            Event::Up(peer) | Event::Reopened(peer) => {
                self.tellings.remove(&peer.instance);
                self.beats_sent.remove(&peer.instance);
            }
            Event::Frame {
                from,
                incarnation,
                frame,
            } => self.on_frame(&from, incarnation, frame, ctx),
            Event::Down { .. } => self.publish(),
            // Counted by the mesh.
            Event::Stranger { .. } => {}
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
            Frame::Beat(beat) => self.on_beat(from, incarnation, &beat, ctx),
            Frame::Share(share) => self.on_share(from, incarnation, &share),
            Frame::ConfigWant(want) => self.on_config_want(from, &want, ctx),
            Frame::ConfigBody(part) => self.on_config_part(from, part, ctx),
            Frame::HandOver(offer) => self.on_hand_over(from, incarnation, &offer),
            Frame::HandOverAck(ack) => self.on_hand_over_ack(&ack),
            Frame::Hello(_) | Frame::Proof(_) | Frame::Note(_) | Frame::Goodbye(_) => {}
        }
    }
}

fn place_of(identity: &Identity) -> InstanceLocation {
    InstanceLocation {
        instance: identity.instance.clone(),
        region: identity.region.clone(),
        failure_domain: identity.failure_domain.clone(),
    }
}
