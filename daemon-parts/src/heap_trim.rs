//! Returns free memory to the system after many clients have left. The allocator keeps what was freed between blocks that
//! are still used, and a process would stay as large as its largest crowd made it.

/// Part of its peak to which what clients hold must fall, before the heap is trimmed.
const FALL_PART: u64 = 4;

/// Looks at which the heap is trimmed after a fall.
const SETTLING_LOOKS: u32 = 10;

/// Watches what clients hold, and trims the heap after it has fallen.
#[derive(Debug)]
pub struct HeapTrimmer {
    /// Peak below which nothing is trimmed, in bytes: trimming takes some ms.
    least_peak: u64,
    peak: u64,
    /// Looks after a fall at which the heap is trimmed again: what clients held is freed little by little.
    settling_looks: u32,
}

impl HeapTrimmer {
    /// A trimmer that does nothing after peaks below `least_peak` bytes.
    #[must_use]
    pub fn new(least_peak: u64) -> Self {
        HeapTrimmer {
            least_peak,
            peak: 0,
            settling_looks: 0,
        }
    }

    /// Clients hold so many bytes now.
    pub fn observe(&mut self, held: u64) {
        if self.is_due(held) {
            self.settling_looks = SETTLING_LOOKS;
        } else if !self.is_settling() {
            return;
        }
        self.settling_looks -= 1;
        trim();
    }

    /// Whether the heap is still to be trimmed, whatever clients hold.
    #[must_use]
    pub fn is_settling(&self) -> bool {
        self.settling_looks > 0
    }

    /// Whether the heap is to be trimmed now that clients hold so many bytes.
    pub fn is_due(&mut self, held: u64) -> bool {
        self.peak = self.peak.max(held);
        let is_due = self.peak >= self.least_peak && held <= self.peak / FALL_PART;
        if is_due {
            self.peak = held;
        }
        is_due
    }
}

#[cfg(target_env = "gnu")]
fn trim() {
    // SAFETY: the call takes no pointers, and may be made at any time.
    unsafe {
        libc::malloc_trim(0);
    }
}

/// Other allocators return memory by themselves.
#[cfg(not(target_env = "gnu"))]
fn trim() {}
