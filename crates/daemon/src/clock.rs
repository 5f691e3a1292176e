//! Clock of the daemon, behind a trait that tests implement.

use std::time::Duration;

/// Time since the boot of the VM, including the time in which the VM was suspended.
pub trait Clock: Send + Sync {
    /// Returns the time since boot.
    fn now(&self) -> Duration;
}

/// Clock of the operating system that counts from boot (`CLOCK_BOOTTIME`).
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Duration {
        let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
    }
}
