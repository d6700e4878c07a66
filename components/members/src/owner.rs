//! Assignment of cells to owner boxes by rendezvous hashing with bounded loads.

use {
    std::{collections::BTreeMap, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// Returns the hash weight of a box for a cell; the box with the largest weight is preferred.
pub fn weight(cell: &str, name: &str) -> u64 {
    let mut bytes = Vec::with_capacity(cell.len() + name.len() + 1);
    bytes.extend_from_slice(cell.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(name.as_bytes());
    xxh3_64(&bytes)
}

/// Returns the boxes in a cell's order of preference.
pub fn ranked(cell: &str, boxes: &[Arc<str>]) -> Vec<Arc<str>> {
    let mut ranked = boxes.to_vec();
    ranked.sort_by_key(|name| std::cmp::Reverse(weight(cell, name)));
    ranked
}

/// Assigns each cell to the first box in its order of preference that is below the load bound, which
/// is the equal share of cells per box, rounded up.
///
/// The result depends only on the sets of cells and boxes. When a box is removed, its cells move, and
/// few others.
pub fn assign(cells: &[Arc<str>], boxes: &[Arc<str>]) -> BTreeMap<Arc<str>, Arc<str>> {
    let mut owners = BTreeMap::new();
    if boxes.is_empty() {
        return owners;
    }
    let bound = cells.len().div_ceil(boxes.len());
    let mut loads: BTreeMap<Arc<str>, usize> = BTreeMap::new();
    let mut sorted = cells.to_vec();
    sorted.sort();
    for cell in sorted {
        for name in ranked(&cell, boxes) {
            let load = loads.entry(name.clone()).or_default();
            if *load >= bound {
                continue;
            }
            *load += 1;
            owners.insert(cell, name);
            break;
        }
    }
    owners
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    fn names(prefix: &str, count: usize) -> Vec<Arc<str>> {
        (0..count)
            .map(|n| Arc::from(format!("{prefix}{n}")))
            .collect()
    }

    #[test_case(4, 6; "fewer cells than boxes")]
    #[test_case(20, 6; "many cells on few boxes")]
    #[test_case(20, 160; "more boxes than cells")]
    #[test_case(1, 1; "one of each")]
    fn assign_bounded(cells: usize, boxes: usize) {
        let (cells, boxes) = (names("h", cells), names("b", boxes));
        let owners = assign(&cells, &boxes);
        assert_eq!(owners.len(), cells.len());
        let bound = cells.len().div_ceil(boxes.len());
        for name in &boxes {
            assert!(owners.values().filter(|owner| *owner == name).count() <= bound);
        }
    }

    #[test]
    fn assign_moves_few() {
        let (cells, boxes) = (names("h", 200), names("b", 10));
        let before = assign(&cells, &boxes);
        let after = assign(&cells, &boxes[1..]);
        let moved = cells
            .iter()
            .filter(|cell| before[*cell] != after[*cell])
            .count();
        // The 20 cells of the removed box must move; the load bound moves some others.
        assert!((20..=60).contains(&moved), "{moved} of 200 cells moved");
    }

    #[test]
    fn assign_no_boxes() {
        assert!(assign(&names("h", 2), &[]).is_empty());
    }
}
