//! Recovers the newest configuration after the platform store was restored from a backup.
//!
//! Such a store may have lost the newest configuration, while members have it in force. A daemon
//! that has no configuration yet therefore asks the members before it uses the stored one. It finds
//! them in the stored table, which may be older too: members that it lacks are found once one of
//! them has written the table back.
//!
//! If daemons write the configuration, each one that has a newer one in force than the store writes
//! it back. Otherwise the operator does.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use masticdeal_wire::headers::PATH_PULL;
use masticdeal_wire::peer::{ConfigValue, Pull, Versions};

use super::Control;
use super::dissemination::PEER_CALL_TIMEOUT;

/// Longest search for a newer configuration. The stored one is used after it, since a daemon must
/// also start when no member replies.
const SEARCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest delay before the configuration is written back. Usually one daemon has written it before
/// the others read it.
const MAX_WRITE_BACK_DELAY: Duration = Duration::from_millis(300);

/// Delay before the table is read again.
const TABLE_READ_DELAY: Duration = Duration::from_millis(200);

impl Control {
    /// Installs a configuration that was read from the platform's store in this era, if it is newer
    /// than the current one. Returns whether it was installed.
    pub(super) async fn install_stored_config(
        self: &Arc<Self>,
        stored: &ConfigValue,
        era: u64,
    ) -> bool {
        if era > 0 && self.config.revision() == 0 {
            let search = self.pull_newer_config(stored.revision, era);
            self.config_search
                .get_or_init(|| async {
                    let completed = tokio::time::timeout(SEARCH_TIMEOUT, search).await.is_ok();
                    let found = self.config.revision();
                    log::info!(era, stored = stored.revision, found, completed;
                        "asked members for a newer configuration than the restored one");
                })
                .await;
        }
        if self.config.is_lost(stored) {
            tokio::spawn(self.clone().write_back_config());
        }
        self.config.install(stored)
    }

    /// Writes the configuration back if the store lost it, and disseminates the result if it is newer.
    pub(super) async fn write_back_config(self: Arc<Self>) {
        let before = self.config.revision();
        tokio::time::sleep(MAX_WRITE_BACK_DELAY.mul_f64(rand::random())).await;
        self.config.write_back().await;
        if self.config.revision() > before {
            self.disseminate_config();
        }
    }

    /// Pulls the configuration from each member that has a newer one than revision `stored`, until
    /// the table of this era of the store shows all members.
    async fn pull_newer_config(self: &Arc<Self>, stored: u64, era: u64) {
        let own_address = self.node.settings.listen.peer_address();
        let mut asked = BTreeSet::from([own_address]);
        loop {
            let table = self.tables.read().await;
            if let Ok((table, _)) = &table {
                let members = table.sessions.iter().map(|s| s.address);
                let unasked: Vec<_> = members.filter(|member| asked.insert(*member)).collect();
                let pulls = unasked
                    .iter()
                    .map(|member| self.pull_config(*member, stored));
                join_all(pulls).await;
            }
            match table {
                Ok((table, _)) if table.era >= era => return,
                Ok(_) => {}
                Err(e) => log::warn!("cannot read the table to find members: {e}"),
            }
            tokio::time::sleep(TABLE_READ_DELAY).await;
        }
    }

    /// Pulls and installs the configuration of a member if it is newer than revision `stored`.
    async fn pull_config(self: &Arc<Self>, member: SocketAddr, stored: u64) {
        let versions = Versions {
            // Excludes the table from the reply.
            table: u64::MAX,
            config: stored,
            evacuations: self.node.versions().evacuations,
        };
        let pull = Pull {
            versions,
            config_digest: self.config.digest(),
        };
        let reply = self
            .peers
            .control(member, PATH_PULL, &pull, PEER_CALL_TIMEOUT)
            .await;
        match reply {
            Ok(update) => self.apply_update(&update),
            Err(e) => log::debug!("pull of the configuration from {member} failed: {e}"),
        }
    }
}
