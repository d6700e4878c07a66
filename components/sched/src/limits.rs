//! A cell's share of the fleet-wide ceilings and quotas.
//!
//! Ceilings apply to the whole fleet, but cells place tasks independently. Each cell gets a share
//! in proportion to its capacity. The shares of all cells add up exactly to the whole, so the fleet
//! stays within its ceilings as long as the owners of the cells have the same list of boxes.

use {
    infra::{
        Size,
        boxes::{Kind, List},
    },
    std::{collections::BTreeMap, sync::Arc},
    table::{Row, Table},
};

/// A cell's interval within the fleet's capacity, with cells ordered by name: the capacity before
/// it, its own, and the total, for each resource.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CapacityShare {
    before: [u64; 3],
    own: [u64; 3],
    all: [u64; 3],
}

/// Returns the amounts by resource, in the order used by [`CapacityShare`].
fn amounts(size: Size) -> [u64; 3] {
    [
        u64::from(size.cpu),
        u64::from(size.memory),
        u64::from(size.accel),
    ]
}

impl CapacityShare {
    /// Computes the share of a cell from all listed workers.
    pub fn of(cell: &str, list: &List) -> Self {
        let mut halls: BTreeMap<&str, [u64; 3]> = BTreeMap::new();
        for item in list.of_kind(Kind::Worker) {
            let sum = halls.entry(&item.hall).or_default();
            for (total, amount) in sum.iter_mut().zip(amounts(item.size)) {
                *total += amount;
            }
        }
        let mut share = CapacityShare::default();
        for (hall, amounts) in halls {
            for (resource, amount) in amounts.into_iter().enumerate() {
                share.all[resource] += amount;
                if hall < cell {
                    share.before[resource] += amount;
                }
                if hall == cell {
                    share.own[resource] = amount;
                }
            }
        }
        share
    }

    /// Returns the cell's share of an amount, in proportion to its capacity of a resource.
    fn share_of(&self, amount: u32, resource: usize) -> u32 {
        let all = self.all[resource];
        if all == 0 {
            return 0;
        }
        let portion = |end: u64| u64::from(amount) * end / all;
        (portion(self.before[resource] + self.own[resource]) - portion(self.before[resource]))
            as u32
    }
}

/// A cell's limits for one class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassLimit {
    /// Maximum allocation of the running tasks of the class.
    pub ceiling: Size,
    /// Maximum number of running tasks of the class.
    pub running: u32,
    /// Maximum CPU allocation of the team.
    pub quota: u32,
}

/// A cell's limits, computed from the table and the list of boxes.
#[derive(Debug, Default)]
pub struct Limits {
    table: Arc<Table>,
    limits: BTreeMap<Arc<str>, ClassLimit>,
}

impl Limits {
    /// Computes the limits of a cell.
    pub fn of(cell: &str, table: Arc<Table>, list: &List) -> Self {
        let share = CapacityShare::of(cell, list);
        let limits = table
            .rows
            .iter()
            .map(|(class, row)| (class.clone(), limit(row, &share)));
        Limits {
            limits: limits.collect(),
            table,
        }
    }

    /// Returns the table that the limits were computed from.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// Returns the row of a class.
    pub fn row(&self, class: &str) -> Option<&Row> {
        self.table.rows.get(class)
    }

    /// Returns the limits for a class.
    pub fn limit(&self, class: &str) -> Option<ClassLimit> {
        self.limits.get(class).copied()
    }
}

fn limit(row: &Row, share: &CapacityShare) -> ClassLimit {
    let share_of = |limit: Option<u32>, resource| {
        limit.map_or(u32::MAX, |total| share.share_of(total, resource))
    };
    let ceiling = Size::new(
        share_of(row.cpu, 0),
        share_of(row.memory, 1),
        share_of(row.accel, 2),
    );
    ClassLimit {
        ceiling,
        running: share_of(row.running, 0),
        quota: share_of(row.quota, 0),
    }
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    fn list(sizes: &[(&str, u32)]) -> List {
        let items = sizes
            .iter()
            .enumerate()
            .map(|(n, (hall, cpu))| infra::boxes::Item {
                name: Arc::from(format!("w{n}")),
                kind: Kind::Worker,
                hall: Arc::from(*hall),
                rack: Arc::from("r"),
                state: infra::boxes::State::Live,
                services: BTreeMap::new(),
                size: Size::new(*cpu, 1, 0),
                generation: Arc::from("g"),
                class: Arc::from(""),
            });
        List {
            version: 1,
            items: items.collect(),
        }
    }

    #[test_case(1; "one")]
    #[test_case(7; "seven")]
    #[test_case(1000; "many")]
    #[test_case(0; "none")]
    fn shares_add_up(amount: u32) {
        let list = list(&[("a", 16_000), ("b", 16_000), ("c", 7_000), ("a", 16_000)]);
        let row = Row {
            running: Some(amount),
            ..Row::batch("x")
        };
        let table = Table {
            version: 1,
            rows: [(row.class.clone(), row)].into(),
        };
        let table = Arc::new(table);
        let shares = ["a", "b", "c"].map(|cell| {
            Limits::of(cell, table.clone(), &list)
                .limit("x")
                .unwrap()
                .running
        });
        assert_eq!(shares.iter().sum::<u32>(), amount);
    }

    #[test]
    fn absent_limit_is_unbounded() {
        let list = list(&[("a", 16_000)]);
        let row = Row::batch("x");
        let table = Arc::new(Table {
            version: 1,
            rows: [(row.class.clone(), row)].into(),
        });
        let limit = Limits::of("a", table, &list).limit("x").unwrap();
        assert_eq!((limit.running, limit.quota), (u32::MAX, u32::MAX));
    }
}
