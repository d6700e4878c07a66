//! Hits on boxes at moments that the run determines: on the owner of the cell, or on a box right
//! after it has sent an order to the machine service.

use {
    super::draw::Hit,
    crate::process::Process,
    kernel::sync::lock,
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, OnceLock},
        time::{Duration, Instant},
    },
};

/// A hit that lasts.
#[derive(Debug)]
struct Active {
    number: usize,
    hit: Hit,
    until: Instant,
}

#[derive(Debug, Default)]
struct State {
    /// Hits that wait for an order, and how long they last.
    armed: VecDeque<(Hit, Duration)>,
    active: Vec<Active>,
    /// A hit began or ended since the last step.
    has_changed: bool,
}

/// The hits of a run.
#[derive(Default)]
pub struct Hits {
    boxes: OnceLock<Vec<Arc<Mutex<Process>>>>,
    state: Mutex<State>,
}

impl Hits {
    /// Sets the boxes; only the first call has an effect.
    pub fn set_boxes(&self, boxes: Vec<Arc<Mutex<Process>>>) {
        let _ = self.boxes.set(boxes);
    }

    /// Has the box that sends the next order hit right after it.
    pub fn arm(&self, hit: Hit, time: Duration) {
        lock(&self.state).armed.push_back((hit, time));
    }

    /// Drops the hits that wait for an order.
    pub fn disarm(&self) {
        lock(&self.state).armed.clear();
    }

    /// Applies the next armed hit to a box that has sent an order.
    pub fn apply_after_order(&self, name: &str) {
        let armed = lock(&self.state).armed.pop_front();
        if let Some((hit, time)) = armed {
            self.apply(name, hit, time);
        }
    }

    /// Hits the box with this name, if there is one.
    pub fn apply(&self, name: &str, hit: Hit, time: Duration) {
        let number = name.strip_prefix('b').and_then(|text| text.parse().ok());
        let boxes = self.boxes.get().map_or(&[][..], Vec::as_slice);
        let Some((number, process)) =
            number.and_then(|number: usize| Some((number, boxes.get(number)?)))
        else {
            return;
        };
        let mut state = lock(&self.state);
        state.active.push(Active {
            number,
            hit,
            until: Instant::now() + time,
        });
        state.has_changed = true;
        drop(state);
        println!("hit: {hit:?} of {name} for {} ms", time.as_millis());
        let mut process = lock(process);
        match hit {
            Hit::Freeze => process.pause(true),
            Hit::Kill => process.kill(),
            Hit::Term => process.terminate(),
        }
    }

    /// Ends the hits that are over. Returns true if a hit began or ended since the last call.
    pub fn step(&self) -> bool {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let before = state.active.len();
        state.active.retain(|active| active.until > now);
        let has_ended = state.active.len() < before;
        std::mem::take(&mut state.has_changed) || has_ended
    }

    /// True while the box is frozen.
    pub fn is_frozen(&self, number: usize) -> bool {
        self.has(number, |hit| hit == Hit::Freeze)
    }

    /// True while a hit keeps the box from being restarted.
    pub fn keeps_down(&self, number: usize) -> bool {
        self.has(number, |hit| hit != Hit::Freeze)
    }

    /// True while the box is hit.
    pub fn is_hit(&self, number: usize) -> bool {
        self.has(number, |_| true)
    }

    /// True while any box is hit.
    pub fn is_any(&self) -> bool {
        !lock(&self.state).active.is_empty()
    }

    fn has(&self, number: usize, matches: impl Fn(Hit) -> bool) -> bool {
        let state = lock(&self.state);
        let mut own = state.active.iter();
        own.any(|active| active.number == number && matches(active.hit))
    }
}
