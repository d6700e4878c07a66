//! Plug-in registry: implementations that register themselves and are selected by name in the
//! settings.
//!
//! A crate adds a plug-in with `inventory::submit!` of an [`Entry`], without changes to the kernel
//! or to the crate that uses it. The `kind` is the extension point, and `make` returns a box of the
//! trait object that this kind requires, as `dyn Any`.

use {
    crate::verdict::{Cause, Failure},
    std::any::Any,
};

pub use inventory::submit;

/// One plug-in in the registry.
pub struct Entry {
    /// The extension point, such as `placement`.
    pub kind: &'static str,
    /// The name that selects it in the settings.
    pub name: &'static str,
    /// One sentence for `--help` and for the operator documentation.
    pub about: &'static str,
    /// Creates an instance, as a `Box<Box<dyn Trait>>` behind `dyn Any`.
    pub make: fn() -> Box<dyn Any>,
}

inventory::collect!(Entry);

/// The plug-ins of a kind, sorted by name.
pub fn of_kind(kind: &str) -> Vec<&'static Entry> {
    let mut matching = Vec::new();
    for entry in inventory::iter::<Entry> {
        if entry.kind != kind {
            continue;
        }
        matching.push(entry);
    }
    matching.sort_by_key(|entry| entry.name);
    matching
}

/// Creates the plug-in of this kind and name.
///
/// # Errors
///
/// `Invalid` if no plug-in has this name (the message lists the available names) or if its type
/// does not match.
pub fn make<T: 'static>(kind: &str, name: &str) -> Result<T, Failure> {
    let entries = of_kind(kind);
    for entry in &entries {
        if entry.name != name {
            continue;
        }
        return match (entry.make)().downcast::<T>() {
            Ok(plugin) => Ok(*plugin),
            Err(_) => Err(Failure::not_run(
                Cause::Invalid,
                format!("the type of the plug-in {name} does not match the kind {kind}"),
            )),
        };
    }
    let names: Vec<&str> = entries.iter().map(|entry| entry.name).collect();
    let text = format!(
        "unknown {kind} plug-in {name}; available: {}",
        names.join(", ")
    );
    Err(Failure::not_run(Cause::Invalid, text))
}

#[cfg(test)]
mod tests {
    use super::*;

    trait Shape {
        fn sides(&self) -> u32;
    }

    struct Square;

    impl Shape for Square {
        fn sides(&self) -> u32 {
            4
        }
    }

    fn square() -> Box<dyn Any> {
        Box::new(Box::new(Square) as Box<dyn Shape>)
    }

    submit! {
        Entry { kind: "shape", name: "square", about: "Four sides.", make: square }
    }

    #[test]
    fn make_registered() {
        let shape: Box<dyn Shape> = make("shape", "square").unwrap();
        assert_eq!(shape.sides(), 4);
    }

    #[test]
    fn make_unknown() {
        let failure = make::<Box<dyn Shape>>("shape", "circle").err().unwrap();
        assert!(failure.text.contains("available: square"));
    }

    #[test]
    fn make_type_mismatch() {
        assert!(make::<u32>("shape", "square").is_err());
    }
}
