//! Reads and writes the table as a CSV sheet, and checks each cell.

use {
    crate::row::{Kind, Row},
    displaydoc::Display,
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
    },
};

/// Names of the columns, in order.
pub const COLUMNS: [&str; 12] = [
    "class",
    "team",
    "kind",
    "priority",
    "weight",
    "max_processors",
    "max_memory_gb",
    "max_accelerators",
    "max_running",
    "generations",
    "target_ms",
    "team_processors",
];

/// row {row}, column {column}: '{value}' is invalid; expected {rule}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct CellError {
    /// Line of the sheet; the header is line 1. 0 for errors that concern several rows.
    pub row: u64,
    /// Name of the column.
    pub column: String,
    /// Value of the cell.
    pub value: String,
    /// Values that are valid.
    pub rule: String,
}

/// Parses a sheet.
///
/// # Errors
///
/// All errors in the sheet. A sheet with any error is refused as a whole.
pub fn parse(text: &str) -> Result<Vec<Row>, Vec<CellError>> {
    let mut reader = csv::ReaderBuilder::new()
        .flexible(true)
        .from_reader(text.as_bytes());
    let header: Vec<String> = match reader.headers() {
        // Some spreadsheet programs write a byte order mark, which is not part of the first name.
        Ok(header) => header
            .iter()
            .map(|h| h.trim_start_matches('\u{feff}').to_owned())
            .collect(),
        Err(e) => return Err(vec![cell_error(1, "header", "", &e.to_string())]),
    };
    let mut errors = check_header(&header);
    if !errors.is_empty() {
        return Err(errors);
    }
    let mut rows = Vec::new();
    let mut classes = BTreeSet::new();
    for (number, record) in reader.records().enumerate() {
        let line = number as u64 + 2;
        let record = match record {
            Ok(record) => record,
            Err(e) => {
                errors.push(cell_error(line, "row", "", &format!("valid CSV: {e}")));
                continue;
            }
        };
        let cells: BTreeMap<&str, &str> = header
            .iter()
            .map(String::as_str)
            .zip(record.iter().map(str::trim))
            .collect();
        if record.len() > header.len() {
            errors.push(cell_error(
                line,
                "row",
                &record.len().to_string(),
                "as many cells as columns",
            ));
        }
        let mut cells = Cells {
            line,
            cells,
            errors: &mut errors,
        };
        let row = cells.row();
        if !classes.insert(row.class.clone()) {
            let rule = "a class that no other row has";
            errors.push(cell_error(line, "class", &row.class, rule));
        }
        rows.push(row);
    }
    for rule in check_team_quotas(&rows) {
        errors.push(cell_error(0, "team_processors", "", &rule));
    }
    if errors.is_empty() {
        Ok(rows)
    } else {
        Err(errors)
    }
}

fn cell_error(row: u64, column: &str, value: &str, rule: &str) -> CellError {
    let (column, value, rule) = (column.to_owned(), value.to_owned(), rule.to_owned());
    CellError {
        row,
        column,
        value,
        rule,
    }
}

fn check_header(header: &[String]) -> Vec<CellError> {
    let mut errors = Vec::new();
    for name in header {
        if !COLUMNS.contains(&name.as_str()) {
            let rule = format!("one of {}", COLUMNS.join(", "));
            errors.push(cell_error(1, "header", name, &rule));
        }
    }
    for name in COLUMNS {
        if header.iter().filter(|h| *h == name).count() != 1 {
            errors.push(cell_error(1, "header", name, "each column once"));
        }
    }
    errors
}

/// Cells of one line, by column.
struct Cells<'a> {
    line: u64,
    cells: BTreeMap<&'a str, &'a str>,
    errors: &'a mut Vec<CellError>,
}

impl Cells<'_> {
    fn text(&self, column: &str) -> &str {
        self.cells.get(column).copied().unwrap_or_default()
    }

    fn reject(&mut self, column: &str, rule: &str) {
        let value = self.text(column).to_owned();
        self.errors
            .push(cell_error(self.line, column, &value, rule));
    }

    fn name(&mut self, column: &str) -> Arc<str> {
        let name = Arc::from(self.text(column));
        if !kernel::settings::is_name(&name) {
            self.reject(
                column,
                "a name of 1 to 64 letters, digits, dots, dashes, underscores",
            );
        }
        name
    }

    fn number(&mut self, column: &str, low: u32, high: u32) -> u32 {
        match self.text(column).parse() {
            Ok(number) if (low..=high).contains(&number) => number,
            _ => {
                self.reject(column, &format!("a whole number from {low} to {high}"));
                low
            }
        }
    }

    /// Parses a limit and multiplies it by `factor`. An empty cell means no limit.
    fn limit(&mut self, column: &str, factor: f64) -> Option<u32> {
        let text = self.text(column);
        if text.is_empty() {
            return None;
        }
        match text.parse::<f64>() {
            Ok(number) if number >= 0.0 && number * factor <= f64::from(u32::MAX) => {
                Some((number * factor).round() as u32)
            }
            _ => {
                self.reject(column, "a number from 0 up, or nothing for no limit");
                None
            }
        }
    }

    fn optional_integer(&mut self, column: &str) -> Option<u32> {
        if self.text(column).is_empty() {
            return None;
        }
        Some(self.number(column, 0, u32::MAX))
    }

    fn kind(&mut self) -> Kind {
        self.text("kind").parse().unwrap_or_else(|()| {
            self.reject("kind", "service, batch or standing");
            Kind::Batch
        })
    }

    fn generations(&mut self) -> Vec<Arc<str>> {
        let text = self.text("generations").to_owned();
        let mut names = Vec::new();
        for name in text.split_whitespace() {
            if !kernel::settings::is_name(name) {
                self.reject(
                    "generations",
                    "names with spaces between them, or nothing for all",
                );
                break;
            }
            names.push(Arc::from(name));
        }
        names
    }

    fn row(&mut self) -> Row {
        let kind = self.kind();
        let row = Row {
            class: self.name("class"),
            team: self.name("team"),
            kind,
            priority: self.number("priority", 0, 9) as u8,
            weight: self.number("weight", 1, 1000),
            cpu: self.limit("max_processors", 1000.0),
            memory: self.limit("max_memory_gb", 1000.0),
            accel: self.optional_integer("max_accelerators"),
            running: self.optional_integer("max_running"),
            generations: self.generations(),
            target: self.optional_integer("target_ms"),
            quota: self.limit("team_processors", 1000.0),
            revision: 0,
        };
        if (kind == Kind::Service) != row.target.is_some() {
            self.reject(
                "target_ms",
                "a target for a service, and nothing for any other kind",
            );
        }
        if row.target == Some(0) {
            self.reject("target_ms", "a whole number from 1 up");
        }
        row
    }
}

/// Checks that all rows of a team have the same quota. Returns the violated rules.
fn check_team_quotas(rows: &[Row]) -> Vec<String> {
    let mut quotas: BTreeMap<Arc<str>, Option<u32>> = BTreeMap::new();
    let mut violations = Vec::new();
    for row in rows {
        let quota = quotas.entry(row.team.clone()).or_insert(row.quota);
        if *quota != row.quota {
            violations.push(format!(
                "the same team_processors in every row of team {}",
                row.team
            ));
        }
    }
    violations.dedup();
    violations
}

/// Checks rows that were not read from a sheet, by the same rules. Returns the violations.
pub fn validate_rows(rows: &[Row]) -> Vec<String> {
    match parse(&render(rows)) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.iter().map(CellError::to_string).collect(),
    }
}

/// Formats rows as a sheet.
pub fn render(rows: &[Row]) -> String {
    let mut writer = csv::Writer::from_writer(Vec::new());
    let mut write = |record: &[String]| writer.write_record(record).is_ok();
    write(&COLUMNS.map(str::to_owned));
    for row in rows {
        write(&cells(row));
    }
    let bytes = writer.into_inner().unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Returns the cells of a row in the order of [`COLUMNS`].
pub fn cells(row: &Row) -> [String; 12] {
    let integer = |n: Option<u32>| n.map(|n| n.to_string()).unwrap_or_default();
    let thousandths = |n: Option<u32>| {
        n.map(|n| (f64::from(n) / 1000.0).to_string())
            .unwrap_or_default()
    };
    [
        row.class.to_string(),
        row.team.to_string(),
        row.kind.to_string(),
        row.priority.to_string(),
        row.weight.to_string(),
        thousandths(row.cpu),
        thousandths(row.memory),
        integer(row.accel),
        integer(row.running),
        row.generations.join(" "),
        integer(row.target),
        thousandths(row.quota),
    ]
}

#[cfg(test)]
mod tests {
    use {super::*, proptest::prelude::*, test_case::test_case};

    const HEADER: &str = "class,team,kind,priority,weight,max_processors,max_memory_gb,\
        max_accelerators,max_running,generations,target_ms,team_processors";

    #[test_case("a,t,batch,3,100,,,,,,,", "", "", ""; "valid")]
    #[test_case("a b,t,batch,3,100,,,,,,,", "class", "a b", "a name"; "class")]
    #[test_case("a,t,batsh,3,100,,,,,,,", "kind", "batsh", "service, batch or"; "kind")]
    #[test_case("a,t,batch,12,100,,,,,,,", "priority", "12", "from 0 to 9"; "priority")]
    #[test_case("a,t,batch,3,0,,,,,,,", "weight", "0", "from 1 to 1000"; "weight")]
    #[test_case("a,t,batch,3,1,-4,,,,,,", "max_processors", "-4", "from 0 up"; "negative")]
    #[test_case("a,t,batch,3,1,,x,,,,,", "max_memory_gb", "x", "a number"; "no number")]
    #[test_case("a,t,service,3,1,,,,,,,", "target_ms", "", "a target for"; "no target")]
    #[test_case("a,t,batch,3,1,,,,,,9,", "target_ms", "9", "a target for"; "needless target")]
    #[test_case("a,t,batch,3,1,,,,,,,,z", "row", "13", "as many cells"; "too many cells")]
    #[test_case("a,t,batch,3,1,,,,,,,\na,t,batch,3,1,,,,,,,", "class", "a", "no other"; "twice")]
    fn parse_cell(line: &str, column: &str, value: &str, rule: &str) {
        let parsed = parse(&format!("{HEADER}\n{line}\n"));
        if column.is_empty() {
            assert_eq!(parsed.unwrap().len(), 1);
            return;
        }
        let errors = parsed.unwrap_err();
        assert_eq!(
            (errors[0].column.as_str(), errors[0].value.as_str()),
            (column, value)
        );
        assert!(errors[0].rule.contains(rule), "{}", errors[0]);
    }

    #[test]
    fn parse_quota_of_team() {
        let text = format!("{HEADER}\na,t,batch,3,1,,,,,,,5\nb,t,batch,3,1,,,,,,,6\n");
        assert!(parse(&text).unwrap_err()[0].rule.contains("team t"));
    }

    #[test]
    fn parse_unknown_column() {
        let errors = parse("class,team,speed\n").unwrap_err();
        assert_eq!(errors[0].value, "speed");
    }

    proptest! {
        #[test]
        fn parse_never_panics(text in "\\PC{0,200}") {
            let _ = parse(&text);
            let _ = parse(&format!("{HEADER}\n{text}"));
        }

        #[test]
        fn parse_reads_rendered(weight in 1_u32..=1000, cpu in 0_u32..=4_000_000, prio in 0_u8..=9) {
            let row = Row { weight, cpu: Some(cpu), priority: prio, ..Row::batch("a") };
            prop_assert_eq!(parse(&render(std::slice::from_ref(&row))).unwrap(), vec![row]);
        }
    }
}
