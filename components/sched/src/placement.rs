//! Policies that choose a worker for a task. They register themselves and are chosen by name.

use {
    crate::fleet::Fleet,
    infra::Size,
    kernel::{
        Failure,
        plugin::{self, Entry},
    },
    std::{any::Any, time::Instant},
    table::{Kind, Row},
};

/// The kind under which placement policies register.
pub const KIND: &str = "placement";

/// What a task needs.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// Its size.
    pub size: Size,
    /// Its class's row.
    pub row: &'a Row,
    /// The time.
    pub now: Instant,
}

/// A policy.
pub trait Placement: Send {
    /// The place of the worker to start the task on; `None` when it fits on none.
    fn choose(&mut self, need: &Demand<'_>, fleet: &Fleet) -> Option<usize>;
}

/// Makes the policy of this name.
///
/// # Errors
///
/// No policy has this name; the failure lists those that there are.
pub fn create(name: &str) -> Result<Box<dyn Placement>, Failure> {
    plugin::make(KIND, name)
}

/// True when the task may and can run on the worker.
pub fn fits(need: &Demand<'_>, fleet: &Fleet, at: usize) -> bool {
    let slot = fleet.worker(at);
    need.size.fits(slot.free) && need.row.admits(&slot.generation) && slot.is_schedulable(need.now)
}

/// The worker that has the least room left and still fits.
struct Packing;

impl Placement for Packing {
    fn choose(&mut self, need: &Demand<'_>, fleet: &Fleet) -> Option<usize> {
        fleet
            .by_least_free(need.size.cpu)
            .find(|at| fits(need, fleet, *at))
    }
}

/// The worker that has the most room.
struct Spread;

impl Placement for Spread {
    fn choose(&mut self, need: &Demand<'_>, fleet: &Fleet) -> Option<usize> {
        fleet
            .by_most_free(need.size.cpu)
            .find(|at| fits(need, fleet, *at))
    }
}

/// The first worker in the order of the list.
struct FirstFit;

impl Placement for FirstFit {
    fn choose(&mut self, need: &Demand<'_>, fleet: &Fleet) -> Option<usize> {
        (0..fleet.workers().len()).find(|at| fits(need, fleet, *at))
    }
}

/// Any worker that fits, each with the same chance.
struct Random(fastrand::Rng);

impl Placement for Random {
    fn choose(&mut self, need: &Demand<'_>, fleet: &Fleet) -> Option<usize> {
        let mut found = None;
        for (seen, at) in fleet.by_least_free(need.size.cpu).enumerate() {
            if !fits(need, fleet, at) {
                continue;
            }
            if found.is_none() || self.0.usize(..=seen) == 0 {
                found = Some(at);
            }
        }
        found
    }
}

/// Services where the most room is, so that they keep away from others; the rest packed.
struct Mixed;

impl Placement for Mixed {
    fn choose(&mut self, need: &Demand<'_>, fleet: &Fleet) -> Option<usize> {
        match need.row.kind {
            Kind::Service => Spread.choose(need, fleet),
            Kind::Batch | Kind::Standing => Packing.choose(need, fleet),
        }
    }
}

fn boxed(policy: impl Placement + 'static) -> Box<dyn Any> {
    Box::new(Box::new(policy) as Box<dyn Placement>)
}

plugin::submit! {
    Entry {
        kind: KIND,
        name: "packing",
        about: "The worker with the least room that fits.",
        make: || boxed(Packing),
    }
}

plugin::submit! {
    Entry {
        kind: KIND,
        name: "spread",
        about: "The worker with the most room.",
        make: || boxed(Spread),
    }
}

plugin::submit! {
    Entry {
        kind: KIND,
        name: "first-fit",
        about: "The first worker of the list that fits.",
        make: || boxed(FirstFit),
    }
}

plugin::submit! {
    Entry {
        kind: KIND,
        name: "random",
        about: "Any worker that fits.",
        make: || boxed(Random(fastrand::Rng::with_seed(1))),
    }
}

plugin::submit! {
    Entry {
        kind: KIND,
        name: "mixed",
        about: "Services where the most room is, the rest packed.",
        make: || boxed(Mixed),
    }
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    #[test_case("packing"; "packing")]
    #[test_case("spread"; "spread")]
    #[test_case("first-fit"; "first fit")]
    #[test_case("random"; "random")]
    #[test_case("mixed"; "mixed")]
    fn make_finds(name: &str) {
        let mut policy = create(name).unwrap();
        let row = Row::batch("b");
        let need = Demand {
            size: Size::new(1, 1, 0),
            row: &row,
            now: Instant::now(),
        };
        assert_eq!(policy.choose(&need, &Fleet::default()), None);
    }
}
