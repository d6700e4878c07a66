//! Checks that the benchmark days in `bench/days` use the fault kinds of `bench/kinds.toml`, and cover
//! each variant and each added word.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use {
    std::{
        collections::{BTreeMap, BTreeSet},
        fs,
        path::{Path, PathBuf},
    },
    toml_edit::{DocumentMut, Table},
};

/// Minimum number of occurrences of a variant in the day that covers it.
const TIMES: usize = 2;
/// The list of faults that occur once, at the end of a day.
const CLOSING: &str = "closing";

/// The words of `how`, in any order.
type Words = BTreeSet<String>;

struct Kind {
    place: String,
    variants: Vec<Words>,
}

struct List {
    kinds: BTreeMap<String, Kind>,
    /// The kinds to which a word may be added.
    added: BTreeMap<String, Words>,
}

struct Trouble {
    place: &'static str,
    kind: String,
    how: Words,
}

struct Day {
    name: String,
    troubles: Vec<Trouble>,
}

fn bench() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../bench")
}

fn read(path: &Path) -> DocumentMut {
    let text = fs::read_to_string(path).unwrap();
    text.parse()
        .unwrap_or_else(|e| panic!("{}: {e}", path.display()))
}

fn words(text: &str) -> Words {
    text.split_whitespace().map(str::to_owned).collect()
}

fn texts<'a>(table: &'a Table, field: &str) -> impl Iterator<Item = &'a str> {
    let rows = table[field].as_array().unwrap().iter();
    rows.map(|row| row.as_str().unwrap())
}

fn list() -> List {
    let read = read(&bench().join("kinds.toml"));
    let mut kinds = BTreeMap::new();
    for (name, item) in read["kind"].as_table().unwrap() {
        let table = item.as_table().unwrap();
        let kind = Kind {
            place: table["where"].as_str().unwrap().to_owned(),
            variants: texts(table, "how").map(words).collect(),
        };
        kinds.insert(name.to_owned(), kind);
    }
    let mut added = BTreeMap::new();
    for (name, item) in read["word"].as_table().unwrap() {
        let fit = texts(item.as_table().unwrap(), "kinds").map(str::to_owned);
        added.insert(name.to_owned(), fit.collect());
    }
    List { kinds, added }
}

fn day(path: &Path) -> Day {
    let read = read(path);
    let mut troubles = Vec::new();
    for place in ["plan", "faults", CLOSING] {
        let Some(item) = read.get(place) else {
            continue;
        };
        let rows = match item.as_array() {
            Some(rows) => rows.iter().collect(),
            None => vec![item.as_value().unwrap()],
        };
        for row in rows {
            let row = row.as_inline_table().unwrap();
            let how = row.get("how").map_or("", |how| how.as_str().unwrap());
            troubles.push(Trouble {
                place,
                kind: row["kind"].as_str().unwrap().to_owned(),
                how: words(how),
            });
        }
    }
    Day {
        name: path.file_stem().unwrap().to_str().unwrap().to_owned(),
        troubles,
    }
}

fn days() -> Vec<Day> {
    let files = fs::read_dir(bench().join("days")).unwrap();
    let mut days: Vec<Day> = files.map(|file| day(&file.unwrap().path())).collect();
    days.sort_by(|a, b| a.name.cmp(&b.name));
    days
}

fn spelled(how: &Words) -> String {
    how.iter().cloned().collect::<Vec<_>>().join(" ")
}

impl List {
    /// Returns what is invalid about a fault's list, kind or variant, if anything.
    fn fault(&self, trouble: &Trouble) -> Option<&'static str> {
        let Some(kind) = self.kinds.get(&trouble.kind) else {
            return Some("no such kind");
        };
        if kind.place != trouble.place {
            return Some("in the wrong list of the day");
        }
        let fits = |word: &String| {
            let kinds = self.added.get(word);
            kinds.is_some_and(|kinds| kinds.contains(&trouble.kind))
        };
        for variant in &kind.variants {
            if variant.is_subset(&trouble.how) && trouble.how.difference(variant).all(fits) {
                return None;
            }
        }
        Some("no such variant")
    }
}

#[test]
fn days_name_known_kinds() {
    let list = list();
    let mut wrong = Vec::new();
    for day in days() {
        for trouble in &day.troubles {
            let Some(fault) = list.fault(trouble) else {
                continue;
            };
            let how = spelled(&trouble.how);
            wrong.push(format!("{}: {} '{how}': {fault}", day.name, trouble.kind));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

#[test]
fn days_cover_each_variant() {
    let days = days();
    let mut missing = Vec::new();
    let list = list();
    for (name, kind) in &list.kinds {
        let times = if kind.place == CLOSING { 1 } else { TIMES };
        for variant in &kind.variants {
            let same = |t: &&Trouble| t.kind == *name && t.how == *variant;
            let covers = |day: &Day| day.troubles.iter().filter(same).count() >= times;
            if !days.iter().any(covers) {
                missing.push(format!("{name} '{}'", spelled(variant)));
            }
        }
    }
    assert!(missing.is_empty(), "no day for:\n{}", missing.join("\n"));
}

#[test]
fn days_cover_each_word() {
    let days = days();
    let mut missing = Vec::new();
    let list = list();
    for (word, kinds) in &list.added {
        let uses = |t: &Trouble| t.how.contains(word) && kinds.contains(&t.kind);
        let covers = |day: &Day| day.troubles.iter().filter(|t| uses(t)).count() >= TIMES;
        if !days.iter().any(covers) {
            missing.push(word.as_str());
        }
    }
    assert!(missing.is_empty(), "no day for: {}", missing.join(", "));
}
