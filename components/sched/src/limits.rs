//! A cell's share of the fleet's ceilings and quotas.
//!
//! Ceilings hold for the whole fleet, cells place on their own. Each cell takes its part by its
//! capacity, and the parts of all cells add up to the whole exactly, so the fleet stays inside as
//! far as the cells' owners have the same list of boxes.

use {
    infra::{
        Size,
        boxes::{Kind, List},
    },
    std::{collections::BTreeMap, sync::Arc},
    table::{Row, Table},
};

/// Where a cell lies in the fleet's capacity: what comes before it, its own, and all.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CapacityShare {
    before: [u64; 3],
    own: [u64; 3],
    all: [u64; 3],
}

/// The kinds of an amount, in the order of a span's fields.
fn amounts(size: Size) -> [u64; 3] {
    [
        u64::from(size.cpu),
        u64::from(size.memory),
        u64::from(size.accel),
    ]
}

impl CapacityShare {
    /// The span of a cell among all workers in the list.
    pub fn of(cell: &str, list: &List) -> Self {
        let mut halls: BTreeMap<&str, [u64; 3]> = BTreeMap::new();
        for item in list.of_kind(Kind::Worker) {
            let sum = halls.entry(&item.hall).or_default();
            for (part, amount) in sum.iter_mut().zip(amounts(item.size)) {
                *part += amount;
            }
        }
        let mut span = CapacityShare::default();
        for (hall, amounts) in halls {
            for (kind, amount) in amounts.into_iter().enumerate() {
                span.all[kind] += amount;
                if hall < cell {
                    span.before[kind] += amount;
                }
                if hall == cell {
                    span.own[kind] = amount;
                }
            }
        }
        span
    }

    /// The cell's part of an amount, by the capacity of a kind.
    fn share_of(&self, amount: u32, kind: usize) -> u32 {
        let all = self.all[kind];
        if all == 0 {
            return 0;
        }
        let upto = |end: u64| u64::from(amount) * end / all;
        (upto(self.before[kind] + self.own[kind]) - upto(self.before[kind])) as u32
    }
}

/// A cell's limits on one class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClassLimit {
    /// What its running tasks may be committed.
    pub ceiling: Size,
    /// How many of its tasks may run.
    pub running: u32,
    /// What its team may use of processors.
    pub quota: u32,
}

/// A cell's limits, worked out from the table and the list.
#[derive(Debug, Default)]
pub struct Limits {
    table: Arc<Table>,
    limits: BTreeMap<Arc<str>, ClassLimit>,
}

impl Limits {
    /// The limits of a cell.
    pub fn of(cell: &str, table: Arc<Table>, list: &List) -> Self {
        let span = CapacityShare::of(cell, list);
        let limits = table
            .rows
            .iter()
            .map(|(class, row)| (class.clone(), limit(row, &span)));
        Limits {
            limits: limits.collect(),
            table,
        }
    }

    /// The table behind them.
    pub fn table(&self) -> &Arc<Table> {
        &self.table
    }

    /// A class's row.
    pub fn row(&self, class: &str) -> Option<&Row> {
        self.table.rows.get(class)
    }

    /// The limits on a class.
    pub fn limit(&self, class: &str) -> Option<ClassLimit> {
        self.limits.get(class).copied()
    }
}

fn limit(row: &Row, span: &CapacityShare) -> ClassLimit {
    let part = |limit: Option<u32>, kind| limit.map_or(u32::MAX, |most| span.share_of(most, kind));
    let ceiling = Size::new(part(row.cpu, 0), part(row.memory, 1), part(row.accel, 2));
    ClassLimit {
        ceiling,
        running: part(row.running, 0),
        quota: part(row.quota, 0),
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
    fn part_adds_up(amount: u32) {
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
        let parts = ["a", "b", "c"].map(|cell| {
            Limits::of(cell, table.clone(), &list)
                .limit("x")
                .unwrap()
                .running
        });
        assert_eq!(parts.iter().sum::<u32>(), amount);
    }

    #[test]
    fn limit_absent_is_open() {
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
