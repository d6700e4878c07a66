//! Placement policies, which choose a worker for a task. They are plug-ins selected by name.

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

/// The plug-in kind of placement policies.
pub const KIND: &str = "placement";

/// The demand of a task.
#[derive(Debug, Clone, Copy)]
pub struct Demand<'a> {
    /// The size of the task.
    pub size: Size,
    /// The row of its class.
    pub row: &'a Row,
    /// The current time.
    pub now: Instant,
}

/// A placement policy.
pub trait Placement: Send {
    /// Returns the index of the worker to start the task on; `None` when the task fits on no
    /// worker.
    fn choose(&mut self, demand: &Demand<'_>, fleet: &Fleet) -> Option<usize>;
}

/// Creates the policy with this name.
///
/// # Errors
///
/// Fails if no policy has this name; the error lists the known names.
pub fn create(name: &str) -> Result<Box<dyn Placement>, Failure> {
    plugin::make(KIND, name)
}

/// Returns true when the worker is schedulable, of an admitted generation, and has enough free
/// capacity.
pub fn fits(demand: &Demand<'_>, fleet: &Fleet, index: usize) -> bool {
    let worker = fleet.worker(index);
    demand.size.fits(worker.free)
        && demand.row.admits(&worker.generation)
        && worker.is_schedulable(demand.now)
}

/// Chooses the fitting worker with the least free CPU.
struct Packing;

impl Placement for Packing {
    fn choose(&mut self, demand: &Demand<'_>, fleet: &Fleet) -> Option<usize> {
        fleet
            .by_least_free(demand.size.cpu)
            .find(|index| fits(demand, fleet, *index))
    }
}

/// Chooses the fitting worker with the most free CPU.
struct Spread;

impl Placement for Spread {
    fn choose(&mut self, demand: &Demand<'_>, fleet: &Fleet) -> Option<usize> {
        fleet
            .by_most_free(demand.size.cpu)
            .find(|index| fits(demand, fleet, *index))
    }
}

/// Chooses the first fitting worker in the order of the list.
struct FirstFit;

impl Placement for FirstFit {
    fn choose(&mut self, demand: &Demand<'_>, fleet: &Fleet) -> Option<usize> {
        (0..fleet.workers().len()).find(|index| fits(demand, fleet, *index))
    }
}

/// Chooses a random worker that fits.
struct Random(fastrand::Rng);

impl Placement for Random {
    fn choose(&mut self, demand: &Demand<'_>, fleet: &Fleet) -> Option<usize> {
        let mut found = None;
        for (seen, index) in fleet.by_least_free(demand.size.cpu).enumerate() {
            if !fits(demand, fleet, index) {
                continue;
            }
            if found.is_none() || self.0.usize(..=seen) == 0 {
                found = Some(index);
            }
        }
        found
    }
}

/// Spreads services, which keeps them apart from other work, and packs everything else.
struct Mixed;

impl Placement for Mixed {
    fn choose(&mut self, demand: &Demand<'_>, fleet: &Fleet) -> Option<usize> {
        match demand.row.kind {
            Kind::Service => Spread.choose(demand, fleet),
            Kind::Batch | Kind::Standing => Packing.choose(demand, fleet),
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
        about: "The fitting worker with the least free CPU.",
        make: || boxed(Packing),
    }
}

plugin::submit! {
    Entry {
        kind: KIND,
        name: "spread",
        about: "The fitting worker with the most free CPU.",
        make: || boxed(Spread),
    }
}

plugin::submit! {
    Entry {
        kind: KIND,
        name: "first-fit",
        about: "The first fitting worker of the list.",
        make: || boxed(FirstFit),
    }
}

plugin::submit! {
    Entry {
        kind: KIND,
        name: "random",
        about: "A random worker that fits.",
        make: || boxed(Random(fastrand::Rng::with_seed(1))),
    }
}

plugin::submit! {
    Entry {
        kind: KIND,
        name: "mixed",
        about: "Spreads services and packs everything else.",
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
    fn create_by_name(name: &str) {
        let mut policy = create(name).unwrap();
        let row = Row::batch("b");
        let demand = Demand {
            size: Size::new(1, 1, 0),
            row: &row,
            now: Instant::now(),
        };
        assert_eq!(policy.choose(&demand, &Fleet::default()), None);
    }
}
