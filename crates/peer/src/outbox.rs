//! Queue of outgoing frames for one peer.
//!
//! The queue belongs to the peer, not to a connection: frames queued while a lost connection is
//! reopened are sent on the next one. Configuration parts have a queue of their own with lower
//! priority, since a heartbeat delayed by a whole configuration would make its sender look silent.

use crate::{
    codec::encode,
    frame::{
        ConfigBody,
        Frame, //
    },
    mesh::{
        Options,
        SendResult, //
    }, //
};
use bytes::Bytes;
use std::{
    cell::RefCell,
    collections::VecDeque, //
};
use tokio::sync::Notify;

/// Allowance for the encoded fields of a configuration part besides head and body.
const PART_FIELDS_BYTES: usize = 256;

/// An encoded frame.
struct QueuedFrame {
    /// Whether it is a heartbeat, which may be dropped in favour of newer frames.
    is_beat: bool,
    /// The encoded frame.
    message: Bytes,
}

/// Queues of one peer.
#[derive(Default)]
struct Queues {
    /// Frames, oldest first.
    frames: VecDeque<QueuedFrame>,
    /// Configuration parts, oldest first; encoded only when they are sent, so that a body queued
    /// for many peers is held in memory once.
    parts: VecDeque<ConfigBody>,
}

/// Bounded queues of one peer, with a signal for new frames.
pub(crate) struct Outbox {
    /// The queues.
    queues: RefCell<Queues>,
    /// Wakes the session's writer.
    pub(crate) pushed: Notify,
    /// Largest frame, in bytes.
    max_frame_bytes: usize,
    /// Maximum length of `Queues::frames`.
    max_frames: usize,
    /// Maximum length of `Queues::parts`.
    max_parts: usize,
}

impl Outbox {
    /// Empty queues.
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            queues: RefCell::default(),
            pushed: Notify::new(),
            max_frame_bytes: options.max_frame_bytes,
            max_frames: options.queue_frames,
            max_parts: options.queue_config_parts,
        }
    }

    /// Queues `frame`.
    pub(crate) fn push(&self, frame: Frame) -> SendResult {
        let result = match frame {
            Frame::ConfigBody(part) => self.push_part(part),
            frame => self.push_frame(&frame),
        };
        self.pushed.notify_one();
        result
    }

    /// Queues a configuration part.
    fn push_part(&self, part: ConfigBody) -> SendResult {
        let size = part.head.len() + part.body.len() + PART_FIELDS_BYTES;
        if size > self.max_frame_bytes {
            return SendResult::TooLarge;
        }
        let parts = &mut self.queues.borrow_mut().parts;
        if parts.len() >= self.max_parts {
            return SendResult::Full;
        }
        parts.push_back(part);
        SendResult::Queued
    }

    /// Queues any other frame.
    fn push_frame(&self, frame: &Frame) -> SendResult {
        let message = match encode(frame) {
            Ok(message) if message.len() <= self.max_frame_bytes => message,
            _ => return SendResult::TooLarge,
        };
        let frames = &mut self.queues.borrow_mut().frames;
        let mut result = SendResult::Queued;
        if frames.len() >= self.max_frames {
            // A heartbeat is superseded by the next one; no other frame may be dropped here.
            let Some(oldest) = frames.iter().position(|queued| queued.is_beat) else {
                return SendResult::Full;
            };
            frames.remove(oldest);
            result = SendResult::DroppedBeat;
        }
        frames.push_back(QueuedFrame {
            is_beat: matches!(frame, Frame::Beat(_)),
            message,
        });
        result
    }

    /// Removes the next message, if there is one.
    pub(crate) fn pop(&self) -> Option<Bytes> {
        let queues = &mut *self.queues.borrow_mut();
        if let Some(queued) = queues.frames.pop_front() {
            return Some(queued.message);
        }
        let part = queues.parts.pop_front()?;
        Some(encode(&Frame::ConfigBody(part)).expect("a configuration part can always be encoded"))
    }
}
