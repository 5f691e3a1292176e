//! The clock of the daemon, passed in as an interface.

use std::time::Duration;

/// Time since the boot of the VM, which goes on while the VM is suspended.
pub trait Clock: Send + Sync {
    /// Returns the time since boot.
    fn now(&self) -> Duration;
}

/// The boot-time clock of the operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Duration {
        let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
    }
}
