//! Exchange of the demand of organisations with the other entries, through the hubs.

use crate::{
    control::{
        Control,
        ControlState, //
    },
    message::Message,
    rows::RowReader, //
};
use base::{
    FastMap,
    InstanceId,
    Now, //
};
use org::{
    DemandMessage,
    DemandSender,
    DemandSum,
    Demands,
    Exchange, //
};
use plat::{
    Feed,
    Table as StoreTable, //
};

/// Demand of organisations as far as this entry knows it, and what was sent of it.
#[derive(Debug, Default)]
pub(super) struct QuotaState {
    exchange: Exchange,
    /// What was sent on each session.
    senders: FastMap<InstanceId, DemandSender>,
    /// Hub that this leaf reports to.
    hub: Option<InstanceId>,
}

impl QuotaState {
    /// Forgets what was sent to an entry whose session is new or has ended.
    pub(super) fn forget_session(&mut self, instance: &InstanceId) {
        self.senders.remove(instance);
    }

    /// Records a message of a hub.
    pub(super) fn note_contact(&mut self, from: &InstanceId, now: Now) {
        if self.hub.as_ref() == Some(from) {
            self.exchange.note_contact(now);
        }
    }

    /// Sets the hub that this leaf reports to.
    fn set_hub(&mut self, hub: Option<&InstanceId>) {
        if self.hub.as_ref() != hub {
            self.hub = hub.cloned();
            self.exchange.forget_fleet();
            if let Some(hub) = hub {
                self.senders.remove(hub);
            }
        }
    }

    /// Returns the message about a sum for an entry, if there is anything to send.
    fn message(&mut self, to: &InstanceId, sum: &DemandSum) -> Option<DemandMessage> {
        self.senders.entry(to.clone()).or_default().next(sum)
    }
}

impl<S: Feed + StoreTable + 'static, W: RowReader> Control<S, W> {
    /// Sends this entry's demand and, if it is a hub, that of others, and publishes the parts of the quotas to traffic.
    pub(super) fn exchange_demands(&self, now: Now) {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let organisations = state.view.routes().map(|routes| &routes.organisations);
        if organisations.is_none_or(Option::is_none) {
            return;
        }
        let exchange = &mut state.quotas.exchange;
        let own = self.channels.quotas.demands.load();
        exchange.set_own(Demands::clone(&own));
        exchange.set_entries(state.overlay.sender_count());
        let overlay = &state.overlay;
        exchange.sweep(
            |instance| overlay.is_connected(instance) || overlay.live().contains_key(instance),
            |leaf| state.load_sums.reporting_leaves(now).any(|one| one == leaf),
            |hub| overlay.other_hubs().any(|one| one == hub),
            now,
        );
        let is_hub = state.overlay.is_hub(now);
        let messages = if is_hub {
            state.quotas.set_hub(None);
            hub_messages(state, now)
        } else {
            let hub = state.overlay.primary_hub(now).cloned();
            state.quotas.set_hub(hub.as_ref());
            leaf_message(state).into_iter().collect()
        };
        let parts = state.quotas.exchange.parts(is_hub, now);
        drop(guard);
        for (to, message) in messages {
            self.send(&to, &message);
        }
        self.channels.quotas.set_parts(parts);
    }

    /// Handles a leaf's demand.
    pub(super) fn on_demands(&self, from: &InstanceId, message: &DemandMessage) {
        let mut state = self.state.borrow_mut();
        state.quotas.exchange.on_leaf(from, message);
    }

    /// Handles the demand of another hub and its leaves.
    pub(super) fn on_domain_demands(&self, from: &InstanceId, message: &DemandMessage) {
        let mut state = self.state.borrow_mut();
        state.quotas.exchange.on_hub(from, message);
    }

    /// Handles the demand of all entries, as this leaf's hub sends it.
    pub(super) fn on_fleet_demands(&self, from: &InstanceId, message: &DemandMessage, now: Now) {
        let mut state = self.state.borrow_mut();
        if state.quotas.hub.as_ref() == Some(from) {
            state.quotas.exchange.on_fleet(message, now);
        }
    }
}

/// Returns the message of a leaf to its hub.
fn leaf_message(state: &mut ControlState) -> Option<(InstanceId, Message)> {
    let hub = state.quotas.hub.clone()?;
    let own = state.quotas.exchange.own_sum();
    let message = state.quotas.message(&hub, &own)?;
    Some((hub, Message::Demands(message)))
}

/// Returns the messages of a hub to the other hubs and to its leaves.
fn hub_messages(state: &mut ControlState, now: Now) -> Vec<(InstanceId, Message)> {
    let mut messages = Vec::new();
    let domain = state.quotas.exchange.domain_sum();
    for hub in state.overlay.other_hubs() {
        if let Some(message) = state.quotas.message(hub, &domain) {
            messages.push((hub.clone(), Message::DomainDemands(message)));
        }
    }
    let fleet = state.quotas.exchange.fleet_sum();
    for leaf in state.load_sums.reporting_leaves(now) {
        if let Some(message) = state.quotas.message(leaf, &fleet) {
            messages.push((leaf.clone(), Message::FleetDemands(message)));
        }
    }
    messages
}
