//! Frames for one peer that wait to be sent, by class. A class is bounded in bytes and in frames when
//! a frame is added, and in time when one is taken. What does not fit, or has waited for too long, is
//! dropped: the protocols above repeat what gets no answer. They would repeat a frame that never fits
//! for ever, so an empty class takes any frame.

use {super::*, std::collections::VecDeque};

/// Frames for one peer that wait to be sent.
#[derive(Debug, Default)]
pub struct Queue {
    urgent: Lane,
    bulk: Lane,
}

/// Frames of one class.
#[derive(Debug, Default)]
struct Lane {
    frames: VecDeque<(Duration, Vec<u8>)>,
    /// Total size of the frames.
    bytes: usize,
    /// Whether the frame that was popped last is still being written.
    writing: bool,
}

/// Frames that were dropped since they had waited for too long.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Expired {
    /// Number of frames.
    pub frames: u64,
    /// Their total size.
    pub bytes: u64,
}

impl std::ops::AddAssign for Expired {
    fn add_assign(&mut self, more: Self) {
        self.frames += more.frames;
        self.bytes += more.bytes;
    }
}

impl Queue {
    /// Maximum number of frames of a class.
    const MAX_FRAMES: usize = 4096;

    /// Maximum size of the frames of a class, in bytes, unless it is a single one.
    pub fn max_bytes(class: Class) -> usize {
        match class {
            Class::Urgent => 1024 * 1024,
            Class::Bulk => model::MAX_REQUEST_BYTES,
        }
    }

    /// How long a frame of a class may wait.
    pub fn max_wait(class: Class) -> Duration {
        match class {
            Class::Urgent => Duration::from_secs(2),
            Class::Bulk => Duration::from_secs(5),
        }
    }

    /// Adds a frame; returns false and drops it if its class is full.
    pub fn push(&mut self, now: Duration, class: Class, body: Vec<u8>) -> bool {
        let lane = self.lane_mut(class);
        let bytes = lane.bytes + body.len();
        let is_empty = lane.frames.is_empty();
        let has_room = bytes <= Self::max_bytes(class) && lane.frames.len() < Self::MAX_FRAMES;
        let fits = is_empty || has_room;
        if fits {
            lane.bytes = bytes;
            lane.frames.push_back((now, body));
        }
        fits
    }

    /// Takes the next frame of a class, which is being written until [`Queue::written`]. Adds the
    /// frames before it that have waited for too long to `expired`.
    pub fn pop(&mut self, now: Duration, class: Class, expired: &mut Expired) -> Option<Vec<u8>> {
        let lane = self.lane_mut(class);
        while let Some((since, body)) = lane.frames.pop_front() {
            lane.bytes -= body.len();
            if now <= since + Self::max_wait(class) {
                lane.writing = true;
                return Some(body);
            }
            expired.frames += 1;
            expired.bytes += body.len() as u64;
        }
        None
    }

    /// The transport has taken all of the frame of a class that was popped last.
    pub fn written(&mut self, class: Class) {
        self.lane_mut(class).writing = false;
    }

    /// Whether no frame of a class waits or is being written.
    pub fn is_idle(&self, class: Class) -> bool {
        let lane = match class {
            Class::Urgent => &self.urgent,
            Class::Bulk => &self.bulk,
        };
        lane.frames.is_empty() && !lane.writing
    }

    fn lane_mut(&mut self, class: Class) -> &mut Lane {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Bulk => &mut self.bulk,
        }
    }
}
