//! What is measured: a thread's processor time, the bytes that are allocated, and messages by role and kind.

use std::{
    alloc::{GlobalAlloc, Layout, System},
    collections::BTreeMap,
    sync::atomic::{AtomicUsize, Ordering::Relaxed},
};

/// Counts what is allocated now, as the allocator was asked for it.
pub struct Counting;

static HELD: AtomicUsize = AtomicUsize::new(0);

// SAFETY: every call goes on to the system's allocator unchanged.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, l: Layout) -> *mut u8 {
        HELD.fetch_add(l.size(), Relaxed);
        unsafe { System.alloc(l) }
    }
    unsafe fn realloc(&self, p: *mut u8, l: Layout, n: usize) -> *mut u8 {
        HELD.fetch_add(n.wrapping_sub(l.size()), Relaxed);
        unsafe { System.realloc(p, l, n) }
    }
    unsafe fn dealloc(&self, p: *mut u8, l: Layout) {
        HELD.fetch_sub(l.size(), Relaxed);
        unsafe { System.dealloc(p, l) }
    }
}

/// Bytes on the heap.
pub fn held() -> usize {
    HELD.load(Relaxed)
}

/// ns of processor time of this thread: what others do on the machine is not in it.
pub fn cpu() -> u64 {
    let mut t = libc::timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: writes to a timespec of ours.
    unsafe { libc::clock_gettime(libc::CLOCK_THREAD_CPUTIME_ID, &mut t) };
    t.tv_sec as u64 * 1_000_000_000 + t.tv_nsec as u64
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    Control,
    Agent,
    Proxy,
}
pub const ROLES: [Role; 3] = [Role::Control, Role::Agent, Role::Proxy];

/// How far a message went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    Loopback,
    Region,
    /// To another region: the dearest bytes.
    Far,
}

/// Messages and their bytes.
pub type Count = (u64, u64);

/// What one phase took.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// Sent, by sender, kind and way.
    pub sent: BTreeMap<(Role, &'static str, Way), Count>,
    /// Bytes that came in from other machines.
    pub came: BTreeMap<Role, u64>,
    /// ns.
    pub cpu: BTreeMap<Role, u64>,
    /// The longest message.
    pub longest: (usize, &'static str),
}

impl Meter {
    pub fn sent(&mut self, from: Role, to: Role, kind: &'static str, bytes: usize, way: Way) {
        let c = self.sent.entry((from, kind, way)).or_default();
        (c.0, c.1) = (c.0 + 1, c.1 + bytes as u64);
        if way != Way::Loopback {
            *self.came.entry(to).or_default() += bytes as u64;
        }
        self.longest = self.longest.max((bytes, kind));
    }
    /// Bytes out to other machines.
    pub fn out(&self, r: Role) -> u64 {
        self.sent
            .iter()
            .filter(|((f, _, way), _)| *f == r && *way != Way::Loopback)
            .map(|(_, c)| c.1)
            .sum()
    }
    /// Bytes out to other regions.
    pub fn far(&self, r: Role) -> u64 {
        self.sent
            .iter()
            .filter(|((f, _, way), _)| *f == r && *way == Way::Far)
            .map(|(_, c)| c.1)
            .sum()
    }
}

/// Slope and start of the line nearest to points, by least squares.
pub fn line(points: &[(f64, f64)]) -> (f64, f64) {
    let n = points.len() as f64;
    let (x, y) = (
        points.iter().map(|p| p.0).sum::<f64>() / n,
        points.iter().map(|p| p.1).sum::<f64>() / n,
    );
    let (xy, xx) = points.iter().fold((0.0, 0.0), |(a, b), p| {
        (a + (p.0 - x) * (p.1 - y), b + (p.0 - x).powi(2))
    });
    let slope = if xx > 0.0 { xy / xx } else { 0.0 };
    (slope, y - slope * x)
}
