//! Frames that wait for one peer.
//!
//! The queue belongs to the peer, not to a connection: what waits while a lost connection is
//! reopened goes out on the next one. Configuration parts wait apart and go last, since a beat
//! behind a whole configuration would make its sender look silent.

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

/// Room in a frame for a configuration part's fields besides head and body.
const PART_FIELDS_BYTES: usize = 256;

/// A frame ready for the wire.
struct Waiting {
    /// Whether a newer beat may take its place.
    is_beat: bool,
    /// The message.
    message: Bytes,
}

/// Queues of one peer.
#[derive(Default)]
struct Queues {
    /// Frames, oldest first.
    frames: VecDeque<Waiting>,
    /// Configuration parts, oldest first; encoded when their turn comes, so that a body waiting
    /// for many peers is held once.
    parts: VecDeque<ConfigBody>,
}

/// Bounded queues of one peer and the signal that something came.
pub(crate) struct Outbox {
    /// The queues.
    queues: RefCell<Queues>,
    /// Wakes the session that writes.
    pub(crate) filled: Notify,
    /// Largest frame, in bytes.
    max_frame_bytes: usize,
    /// Limit of `frames`.
    max_frames: usize,
    /// Limit of `parts`.
    max_parts: usize,
}

impl Outbox {
    /// Empty queues.
    pub(crate) fn new(options: &Options) -> Self {
        Self {
            queues: RefCell::default(),
            filled: Notify::new(),
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
        self.filled.notify_one();
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
            // A beat only matters until the next one; anything else is not ours to drop.
            let Some(oldest) = frames.iter().position(|waiting| waiting.is_beat) else {
                return SendResult::Full;
            };
            frames.remove(oldest);
            result = SendResult::DroppedBeat;
        }
        frames.push_back(Waiting {
            is_beat: matches!(frame, Frame::Beat(_)),
            message,
        });
        result
    }

    /// Next message, if any waits.
    pub(crate) fn pop(&self) -> Option<Bytes> {
        let queues = &mut *self.queues.borrow_mut();
        if let Some(waiting) = queues.frames.pop_front() {
            return Some(waiting.message);
        }
        let part = queues.parts.pop_front()?;
        Some(encode(&Frame::ConfigBody(part)).expect("a part holds plain fields only"))
    }
}
