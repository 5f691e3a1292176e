//! Key-value store of the platform stand-in, with revisions and leases.
//!
//! Invariants:
//!
//! - Revisions come from one counter and are never reused, also not for a key that is deleted and
//!   written again.
//! - A key that is attached to a lease does not exist after the lease has expired or was revoked.
//!
//! The current time is an argument of each call.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;

/// Maximum size of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Value of a key with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Value {
    /// Revision of the last write.
    pub revision: u64,
    /// Contents.
    pub bytes: Bytes,
    lease: Option<u64>,
}

/// Outcome of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PutOutcome {
    /// The write was applied; the key has this revision.
    Applied(u64),
    /// The key has this revision instead of the expected one; 0 if it does not exist.
    Conflict(u64),
    /// The lease does not exist or has expired.
    NoLease,
}

/// Key-value store.
#[derive(Debug, Default)]
pub struct Store {
    values: HashMap<String, Value>,
    leases: HashMap<u64, Lease>,
    last_revision: u64,
    last_lease_id: u64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Duration,
}

impl Store {
    /// Returns the value of a key.
    pub fn get(&mut self, now: Duration, key: &str) -> Option<Value> {
        self.expire_leases(now);
        self.values.get(key).cloned()
    }

    /// Writes a value if the key has revision `expected_revision`; 0 means that the key must not
    /// exist.
    pub fn put(
        &mut self,
        now: Duration,
        key: &str,
        expected_revision: u64,
        bytes: Bytes,
        lease: Option<u64>,
    ) -> PutOutcome {
        self.expire_leases(now);
        if lease.is_some_and(|id| !self.leases.contains_key(&id)) {
            return PutOutcome::NoLease;
        }
        let current_revision = self.values.get(key).map_or(0, |v| v.revision);
        if current_revision != expected_revision {
            return PutOutcome::Conflict(current_revision);
        }
        self.last_revision += 1;
        let value = Value {
            revision: self.last_revision,
            bytes,
            lease,
        };
        self.values.insert(key.to_owned(), value);
        PutOutcome::Applied(self.last_revision)
    }

    /// Grants a lease and returns its id.
    pub fn grant_lease(&mut self, now: Duration, ttl: Duration) -> u64 {
        self.last_lease_id += 1;
        let expires_at = now + ttl;
        self.leases
            .insert(self.last_lease_id, Lease { ttl, expires_at });
        self.last_lease_id
    }

    /// Renews a lease. Returns `false` if it does not exist or has expired.
    pub fn renew_lease(&mut self, now: Duration, id: u64) -> bool {
        self.expire_leases(now);
        let Some(lease) = self.leases.get_mut(&id) else {
            return false;
        };
        lease.expires_at = now + lease.ttl;
        true
    }

    /// Revokes a lease and deletes its keys. Returns `false` if it does not exist or has expired.
    pub fn revoke_lease(&mut self, now: Duration, id: u64) -> bool {
        self.expire_leases(now);
        let existed = self.leases.remove(&id).is_some();
        self.remove_expired_values();
        existed
    }

    fn expire_leases(&mut self, now: Duration) {
        let count_before = self.leases.len();
        self.leases.retain(|_, lease| lease.expires_at > now);
        if self.leases.len() < count_before {
            self.remove_expired_values();
        }
    }

    /// Removes the values whose lease has expired or was revoked.
    fn remove_expired_values(&mut self) {
        let leases = &self.leases;
        self.values
            .retain(|_, v| v.lease.is_none_or(|id| leases.contains_key(&id)));
    }
}
