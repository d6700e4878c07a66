//! The `table` commands: prints, checks, compares and edits the operators' table.

use {
    crate::{
        cli::{TableApply, TableCommand},
        context::Context,
        exit::Error,
        show,
    },
    std::{collections::BTreeMap, env, fs, sync::Arc},
    table::{
        Change, Edit, Refusal, Row, RowEdit,
        message::{Current, Outcome, Submit},
        sheet,
    },
};

/// Runs a `table` command.
pub fn run(context: &Context, command: TableCommand) -> Result<(), Error> {
    match command {
        TableCommand::Get(command) => get(context, command.json),
        TableCommand::Check(command) => {
            let rows = read(&command.file)?;
            show::out(&format!("{} rows are valid", rows.len()));
            Ok(())
        }
        TableCommand::Diff(command) => diff(context, &command.file, command.json),
        TableCommand::Apply(command) => apply(context, &command),
        TableCommand::History(command) => history(context, command.json),
    }
}

fn current(context: &Context) -> Result<Current, Error> {
    context.table("/table/current", &())
}

/// Reads a sheet from a file. The error lists every invalid cell.
fn read(file: &str) -> Result<Vec<Row>, Error> {
    let text = fs::read_to_string(file).map_err(|e| Error::Input(format!("{file}: {e}")))?;
    sheet::parse(&text).map_err(|errors| {
        let lines: Vec<String> = errors
            .iter()
            .map(|error| format!("{file}: {error}"))
            .collect();
        Error::Input(lines.join("\n"))
    })
}

fn get(context: &Context, json: bool) -> Result<(), Error> {
    let current = current(context)?;
    if json {
        show::json(&current.table);
        return Ok(());
    }
    let rows: Vec<Row> = current.table.rows.values().cloned().collect();
    show::out(sheet::render(&rows).trim_end());
    eprintln!("version {}", current.table.version);
    Ok(())
}

fn cells(row: &Option<Row>) -> String {
    row.as_ref()
        .map_or_else(|| "no row".to_owned(), |row| sheet::cells(row).join(","))
}

fn diff(context: &Context, file: &str, json: bool) -> Result<(), Error> {
    let current = current(context)?;
    let edits = table::diff::diff(&current.table, &read(file)?);
    if json {
        show::json(&edits);
        return Ok(());
    }
    for edit in &edits {
        println!("- {}", cells(&current.table.rows.get(&edit.class).cloned()));
        show::out(&format!("+ {}", cells(&edit.row)));
    }
    eprintln!(
        "{} rows differ from version {}",
        edits.len(),
        current.table.version
    );
    Ok(())
}

fn apply(context: &Context, command: &TableApply) -> Result<(), Error> {
    let current = current(context)?;
    let wanted = read(&command.file)?;
    let mut rows = table::diff::diff(&current.table, &wanted);
    if let Some(from) = command.from {
        rebase(&mut rows, &current, from)?;
    }
    if rows.is_empty() {
        show::out(&format!(
            "no differences from version {}",
            current.table.version
        ));
        return Ok(());
    }
    let who = command.who.clone().or_else(|| env::var("USER").ok());
    let who: Arc<str> = Arc::from(who.unwrap_or_else(|| "unknown".to_owned()));
    let edit = Edit {
        id: fastrand::u64(..),
        who,
        rows,
    };
    let outcome: Outcome = context.table("/table/edit", &Submit { edit })?;
    match outcome {
        Outcome::Accepted(version) if command.json => show::json(&version),
        Outcome::Accepted(version) => show::out(&format!("accepted as version {version}")),
        Outcome::Refused(refusal) => return Err(Error::Refused(explain(&refusal))),
    }
    Ok(())
}

/// Rebases the edits on the table at version `from`, on which the sheet is based, using the
/// history. A row that the operator did not change keeps the changes of others since then; a row
/// that both changed becomes a conflict. Fails if the history does not reach back to `from`.
fn rebase(rows: &mut Vec<RowEdit>, current: &Current, from: u64) -> Result<(), Error> {
    let in_history = current
        .history
        .first()
        .is_none_or(|change| change.version <= from + 1);
    if from > current.table.version || !in_history {
        return Err(Error::Refused(format!(
            "the history does not reach back to version {from}"
        )));
    }
    let mut before: BTreeMap<Arc<str>, Option<Row>> = BTreeMap::new();
    for change in current
        .history
        .iter()
        .filter(|change| change.version > from)
    {
        for altered in &change.rows {
            before
                .entry(altered.class.clone())
                .or_insert_with(|| altered.before.clone());
        }
    }
    rows.retain_mut(|edit| {
        let Some(old_row) = before.get(&edit.class) else {
            return true;
        };
        let revision = old_row.as_ref().map_or(0, |row| row.revision);
        edit.revision = revision;
        let without_revision = |row: &Row| Row {
            revision: 0,
            ..row.clone()
        };
        old_row.as_ref().map(without_revision) != edit.row.as_ref().map(without_revision)
    });
    Ok(())
}

fn explain(refusal: &Refusal) -> String {
    match refusal {
        Refusal::Invalid(violations) => violations.join("\n"),
        Refusal::Conflicts(conflicts) => {
            let mut lines = vec!["others have changed the same rows".to_owned()];
            for conflict in conflicts {
                lines.push(format!(
                    "{}: your row is {}",
                    conflict.class,
                    cells(&conflict.wanted)
                ));
                lines.push(format!(
                    "{}: the current row is {}",
                    conflict.class,
                    cells(&conflict.present)
                ));
            }
            lines.join("\n")
        }
    }
}

fn history(context: &Context, json: bool) -> Result<(), Error> {
    let current = current(context)?;
    if json {
        show::json(&current.history);
        return Ok(());
    }
    for change in &current.history {
        let Change {
            version, who, at, ..
        } = change;
        show::out(&format!("version {version} by {who} at {at} ms since 1970"));
        for altered in &change.rows {
            show::out(&format!("  - {}", cells(&altered.before)));
            show::out(&format!("  + {}", cells(&altered.after)));
        }
    }
    Ok(())
}
