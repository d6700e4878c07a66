//! Selects the cell for a new job, and checks whether the job can ever run.

use {
    crate::{directory::Directory, limits::Limits, spec::Spec},
    infra::{
        Size,
        boxes::{Kind, List, State},
    },
    kernel::{Failure, verdict::Cause},
    std::{collections::BTreeSet, sync::Arc},
    table::{Row, Table},
};

/// Returns the cells: the data halls that have workers.
pub fn cells(list: &List) -> Vec<Arc<str>> {
    let halls: BTreeSet<Arc<str>> = list
        .of_kind(Kind::Worker)
        .map(|item| item.hall.clone())
        .collect();
    halls.into_iter().collect()
}

/// Checks that a cell's share of the limits admits one task.
///
/// # Errors
///
/// Returns `Refused` with the limit that excludes the task.
pub fn check_limits(cell: &str, limits: &Limits, row: &Row, spec: &Spec) -> Result<(), Failure> {
    let refused = |text: String| Err(Failure::not_run(Cause::Refused, text));
    let class = &row.class;
    let Some(limit) = limits.limit(class) else {
        return refused(format!("no row of the table is named '{class}'"));
    };
    if limit.running == 0 {
        return refused(format!(
            "max_running of class {class} leaves none to hall {cell}"
        ));
    }
    if let Some(kind) = spec.size.shortage(limit.ceiling) {
        return refused(format!(
            "the ceiling of class {class} leaves too little {kind} to {cell}"
        ));
    }
    if spec.size.cpu > limit.quota {
        return refused(format!(
            "team_processors of team {} leaves too little to {cell}",
            row.team
        ));
    }
    Ok(())
}

/// Checks that some worker of the cell could run one task if it were idle.
///
/// # Errors
///
/// Returns `Refused` with the generation or the resource that excludes the task.
pub fn check_workers(cell: &str, list: &List, row: &Row, spec: &Spec) -> Result<(), Failure> {
    let mut largest = Size::default();
    let mut admits = false;
    for item in list.of_kind(Kind::Worker) {
        if *item.hall != *cell || item.state != State::Live || !row.admits(&item.generation) {
            continue;
        }
        if spec.size.fits(item.size) {
            return Ok(());
        }
        admits = true;
        let Size { cpu, memory, accel } = item.size;
        largest = Size::new(
            largest.cpu.max(cpu),
            largest.memory.max(memory),
            largest.accel.max(accel),
        );
    }
    let text = if admits {
        let kind = spec.size.shortage(largest).unwrap_or("of all at once");
        format!(
            "no worker of hall {cell} has enough {kind} ({}); the most is {largest}",
            spec.size
        )
    } else {
        let generations = row.generations.join(" ");
        format!("no worker of hall {cell} is of a generation that the class uses ({generations})")
    };
    Err(Failure::not_run(Cause::Refused, text))
}

/// Selects the cell for a job: of those where it can run, the least loaded in proportion to its
/// size. Cells without an active owner come last.
///
/// # Errors
///
/// Returns `Invalid` when the specification is invalid, and `Refused` with the reason of each cell
/// when the job can run in no cell.
pub fn select(
    spec: &Spec,
    table: &Arc<Table>,
    list: &List,
    directory: &Directory,
) -> Result<Arc<str>, Failure> {
    let row = table.rows.get(&spec.class);
    spec.validate(row)?;
    let Some(row) = row else {
        return Err(Failure::not_run(Cause::Invalid, "no row"));
    };
    let mut best: Option<((bool, u64, u64), Arc<str>)> = None;
    let mut reasons = Vec::new();
    for cell in cells(list) {
        if spec.hall.as_ref().is_some_and(|hall| *hall != cell) {
            continue;
        }
        let limits = Limits::of(&cell, table.clone(), list);
        let checked = check_limits(&cell, &limits, row, spec)
            .and_then(|()| check_workers(&cell, list, row, spec));
        if let Err(failure) = checked {
            reasons.push(failure.text);
            continue;
        }
        let order = load(directory, &cell);
        if best.as_ref().is_none_or(|(other, _)| order < *other) {
            best = Some((order, cell));
        }
    }
    match best {
        Some((_, cell)) => Ok(cell),
        None if reasons.is_empty() => Err(Failure::not_run(
            Cause::Refused,
            "no data hall of that name has workers",
        )),
        None => Err(Failure::not_run(Cause::Refused, reasons.join("; "))),
    }
}

/// Returns the sort key of a cell: without an active owner, load (waiting tasks per worker, then
/// the share in use), and a random value that breaks ties.
fn load(directory: &Directory, cell: &str) -> (bool, u64, u64) {
    let tie_breaker = fastrand::u64(..64);
    let Some(summary) = directory.get(cell) else {
        return (true, 0, tie_breaker);
    };
    let workers = u64::from(summary.workers.max(1));
    let waiting = u64::from(summary.queued) / workers;
    let used = summary.total.minus(summary.free).share(summary.total, 1000);
    (!summary.holding, waiting * 1000 + used, tie_breaker)
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    fn list() -> List {
        let item = |name: &str, hall: &str, cpu, generation: &str| infra::boxes::Item {
            name: Arc::from(name),
            kind: Kind::Worker,
            hall: Arc::from(hall),
            rack: Arc::from("r"),
            state: State::Live,
            services: std::collections::BTreeMap::new(),
            size: Size::new(cpu, 60_000, 0),
            generation: Arc::from(generation),
            class: Arc::from(""),
        };
        let items = vec![
            item("a", "h1", 16_000, "old"),
            item("b", "h2", 64_000, "new"),
        ];
        List { version: 1, items }
    }

    fn table(row: Row) -> Arc<Table> {
        Arc::new(Table {
            version: 1,
            rows: [(row.class.clone(), row)].into(),
        })
    }

    fn spec(cpu: u32, accel: u32) -> Spec {
        let (class, size) = (Arc::from("b"), Size::new(cpu, 100, accel));
        Spec {
            class,
            count: 1,
            size,
            length: 10,
            once: false,
            hall: None,
        }
    }

    #[test_case(spec(20_000, 0), Row::batch("b"), Ok("h2"); "the only large enough")]
    #[test_case(spec(1000, 0), Row { generations: vec![Arc::from("old")], ..Row::batch("b") },
        Ok("h1"); "the only generation")]
    #[test_case(spec(65_000, 0), Row::batch("b"), Err("processors"); "too large")]
    #[test_case(spec(1000, 1), Row::batch("b"), Err("accelerators"); "no accelerators")]
    #[test_case(spec(1000, 0), Row { generations: vec![Arc::from("x")], ..Row::batch("b") },
        Err("generation"); "lost generation")]
    #[test_case(spec(1000, 0), Row { running: Some(0), ..Row::batch("b") },
        Err("max_running"); "a ceiling of none")]
    #[test_case(spec(3000, 0), Row { quota: Some(2000), ..Row::batch("b") },
        Err("team_processors"); "above the quota")]
    #[test_case(Spec { hall: Some(Arc::from("h9")), ..spec(1, 0) }, Row::batch("b"),
        Err("no data hall"); "unknown hall")]
    fn select_cell(spec: Spec, row: Row, expected: Result<&str, &str>) {
        let selected = select(&spec, &table(row), &list(), &Directory::default());
        match (selected, expected) {
            (Ok(cell), Ok(name)) => assert_eq!(&*cell, name),
            (Err(failure), Err(part)) => assert!(failure.text.contains(part), "{failure}"),
            (selected, _) => panic!("{selected:?}"),
        }
    }
}
