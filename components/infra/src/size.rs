//! Amounts of what a worker has and a task needs.

use {
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// Processors, memory and accelerators.
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
    /// An amount of each kind.
    pub const fn new(cpu: u32, memory: u32, accel: u32) -> Self {
        Size { cpu, memory, accel }
    }

    /// True when this fits into the room.
    pub const fn fits(self, room: Size) -> bool {
        self.cpu <= room.cpu && self.memory <= room.memory && self.accel <= room.accel
    }

    /// The first kind of which the room has too little.
    pub const fn shortage(self, room: Size) -> Option<&'static str> {
        if self.cpu > room.cpu {
            return Some("processors");
        }
        if self.memory > room.memory {
            return Some("memory");
        }
        if self.accel > room.accel {
            return Some("accelerators");
        }
        None
    }

    /// The sum, at most the largest value of each field.
    pub const fn plus(self, other: Size) -> Size {
        Size {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accel: self.accel.saturating_add(other.accel),
        }
    }

    /// The difference, at least zero in each field.
    pub const fn minus(self, other: Size) -> Size {
        Size {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accel: self.accel.saturating_sub(other.accel),
        }
    }

    /// The largest share that this takes of the whole, over the kinds, in this many parts of it.
    pub fn share(self, whole: Size, parts: u64) -> u64 {
        let of = |amount: u32, all: u32| match all {
            0 => 0,
            all => u64::from(amount) * parts / u64::from(all),
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
    #[test_case(Size::new(1, 2, 0), 500; "the larger")]
    #[test_case(Size::new(0, 0, 9), 0; "none of a kind there is none of")]
    fn share_parts(used: Size, parts: u64) {
        assert_eq!(used.share(Size::new(4, 4, 0), 1000), parts);
    }

    #[test_case(Size::new(1, 1, 0), None; "fits")]
    #[test_case(Size::new(9, 1, 0), Some("processors"); "cpu")]
    #[test_case(Size::new(1, 9, 0), Some("memory"); "memory")]
    #[test_case(Size::new(1, 1, 1), Some("accelerators"); "accel")]
    fn lacks_kind(need: Size, lacking: Option<&str>) {
        let room = Size::new(4, 4, 0);
        assert_eq!(need.shortage(room), lacking);
        assert_eq!(need.fits(room), lacking.is_none());
    }
}
