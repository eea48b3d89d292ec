//! Serves heads and objects to peers.

use crate::process::control::Control;
use actix::{
    ActorFutureExt,
    AsyncContext,
    Context,
    WrapFuture, //
};
use base::InstanceId;
use blocks::Table;
use bytes::Bytes;
use peer::{
    split_config,
    ConfigWant,
    Frame,
    SendResult, //
};
use spec::{
    BlockObject,
    Body,
    Digest, //
};
use std::sync::Arc;

impl Control {
    /// Answers a peer's request for the body in force, or for an object.
    pub(in crate::process::control) fn on_config_want(
        &mut self,
        from: &InstanceId,
        want: &ConfigWant,
        ctx: &mut Context<Self>,
    ) {
        let Some(object) = &want.object else {
            if let Some(body) = self.body_in_force() {
                self.send_object(from, &body);
            }
            return;
        };
        let digest = object.parse::<Digest>().ok();
        if let Some(bytes) = digest.and_then(|digest| self.versions.object_cache.get(&digest)) {
            self.send_object(from, &bytes);
            return;
        }
        let snapshot = digest.and_then(|digest| self.versions.object_cache.snapshot(&digest));
        match snapshot {
            // Limited to one at a time: each needs memory for the whole serialised table.
            Some(table) if !self.versions.is_serializing_snapshot => {
                self.send_snapshot(from.clone(), table, ctx);
            }
            _ => self.send_object(from, &Bytes::new()),
        }
    }

    /// Serialised body in force.
    fn body_in_force(&self) -> Option<Bytes> {
        let adopted = self.adopted()?;
        let cached = self.versions.object_cache.get(adopted.body());
        Some(cached.unwrap_or_else(|| {
            let body = Body {
                config: Arc::clone(adopted.config()),
                blocks: adopted.block_object(),
            };
            body.to_bytes()
        }))
    }

    /// Sends an object in parts; an empty object means that it is not available.
    fn send_object(&self, to: &InstanceId, bytes: &Bytes) {
        let (Some(mesh), Some(adopted)) = (&self.mesh, self.adopted()) else {
            return;
        };
        let head = adopted.head().to_string().into();
        for part in split_config(adopted.version(), &head, bytes) {
            // If one part can't be queued, the rest is useless: the receiver requests the object
            // again.
            if mesh.send(to, Frame::ConfigBody(part)) != SendResult::Queued {
                return;
            }
        }
    }

    /// Serialises a snapshot on another thread and sends it.
    fn send_snapshot(&mut self, to: InstanceId, table: Arc<Table>, ctx: &mut Context<Self>) {
        self.versions.is_serializing_snapshot = true;
        let write = actix_rt::task::spawn_blocking(move || BlockObject::Snapshot(table).to_bytes());
        ctx.spawn(write.into_actor(self).map(move |bytes, control, _| {
            control.versions.is_serializing_snapshot = false;
            control.send_object(&to, &bytes.unwrap_or_default());
        }));
    }
}
