//! Amounts of resources (processors, memory, accelerators) of workers and tasks, and their arithmetic.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// An amount of each resource.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Size {
    /// Thousandths of a processor.
    pub cpu: u32,
    /// Memory in megabytes.
    pub memory: u32,
    /// Whole accelerators.
    pub accel: u32,
}

impl Size {
    /// Creates an amount from thousandths of a processor, megabytes and accelerators.
    pub const fn new(cpu: u32, memory: u32, accel: u32) -> Self {
        Size { cpu, memory, accel }
    }

    /// Whether each resource fits into the available amount.
    pub const fn fits(self, available: Size) -> bool {
        self.cpu <= available.cpu
            && self.memory <= available.memory
            && self.accel <= available.accel
    }

    /// Returns the name of the first resource of which too little is available.
    pub const fn shortage(self, available: Size) -> Option<&'static str> {
        if self.cpu > available.cpu {
            return Some("processors");
        }
        if self.memory > available.memory {
            return Some("memory");
        }
        if self.accel > available.accel {
            return Some("accelerators");
        }
        None
    }

    /// Returns the sum of each resource, saturating.
    pub const fn plus(self, other: Size) -> Size {
        Size {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accel: self.accel.saturating_add(other.accel),
        }
    }

    /// Returns the difference of each resource, at least 0.
    pub const fn minus(self, other: Size) -> Size {
        Size {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accel: self.accel.saturating_sub(other.accel),
        }
    }

    /// Returns the dominant share: the largest fraction of a resource of `whole`, in units of 1/`parts`.
    /// Resources of which `whole` has nothing are ignored.
    pub fn share(self, whole: Size, parts: u64) -> u64 {
        let of = |amount: u32, total: u32| match total {
            0 => 0,
            total => u64::from(amount) * parts / u64::from(total),
        };
        of(self.cpu, whole.cpu)
            .max(of(self.memory, whole.memory))
            .max(of(self.accel, whole.accel))
    }
}

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "cpu={}m memory={}MB accel={}",
            self.cpu, self.memory, self.accel
        )
    }
}

#[cfg(test)]
mod tests {
    use {super::*, test_case::test_case};

    #[test_case(Size::new(1, 0, 0), 250; "a quarter")]
    #[test_case(Size::new(1, 2, 0), 500; "the larger of two")]
    #[test_case(Size::new(0, 0, 9), 0; "ignores a resource that is absent")]
    fn share_parts(used: Size, parts: u64) {
        assert_eq!(used.share(Size::new(4, 4, 0), 1000), parts);
    }

    #[test_case(Size::new(1, 1, 0), None; "fits")]
    #[test_case(Size::new(9, 1, 0), Some("processors"); "cpu")]
    #[test_case(Size::new(1, 9, 0), Some("memory"); "memory")]
    #[test_case(Size::new(1, 1, 1), Some("accelerators"); "accel")]
    fn shortage_resource(need: Size, expected: Option<&str>) {
        let available = Size::new(4, 4, 0);
        assert_eq!(need.shortage(available), expected);
        assert_eq!(need.fits(available), expected.is_none());
    }
}
