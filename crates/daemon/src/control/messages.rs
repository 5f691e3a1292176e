//! Handles control messages from other daemons.

use std::sync::Arc;

use bytes::Bytes;
use displaydoc::Display;
use masticdeal_ownership::lease::{
    Effect, Event, ExpiryQuery, HeldShard, JoinRequest, MoveWriter, Renewal,
};
use masticdeal_wire::codec;
use masticdeal_wire::format::Format;
use masticdeal_wire::headers;
use masticdeal_wire::peer::{
    ExpiryReply, ExpiryRequest, LoadRequest, Pull, Release, ReleaseReply, Renew, RenewReply, Update,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Control;

/// Error of handling a control message.
#[derive(Debug, Display)]
pub enum Error {
    /// unknown control message {0}
    UnknownPath(&'static str),
    /// {0}
    Codec(codec::Error),
    /// the daemon has not joined yet
    NotJoined,
}

impl std::error::Error for Error {}

/// Result with [`Error`] as the default error.
pub type Result<T, E = Error> = std::result::Result<T, E>;

impl Control {
    /// Handles one control message and returns the reply. Message and reply are complete frames of
    /// this format, see [`codec`].
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the path is unknown, if the message cannot be decoded or its reply
    /// cannot be encoded, or if the message needs a session and this daemon has not joined.
    pub async fn handle_message(
        self: &Arc<Self>,
        format: Format,
        path: &'static str,
        frame: &[u8],
    ) -> Result<Bytes> {
        match path {
            headers::PATH_STORE => encode(
                format,
                &self.tables.relay().serve(decode(format, frame)?).await,
            ),
            headers::PATH_RENEW => encode(format, &self.on_renew(decode(format, frame)?)?),
            headers::PATH_EXPIRED => encode(format, &self.on_expiry_query(decode(format, frame)?)?),
            headers::PATH_UPDATE => {
                let update: Update = decode(format, frame)?;
                self.apply_update(&update);
                self.forward_update(update);
                encode(format, &self.node.versions())
            }
            headers::PATH_PULL => {
                let pull: Pull = decode(format, frame)?;
                encode(format, &self.updates_since(&pull))
            }
            headers::PATH_RELEASE => encode(format, &self.on_release(decode(format, frame)?)),
            headers::PATH_RELEASED => {
                self.on_released(decode(format, frame)?);
                encode(format, &())
            }
            headers::PATH_LOAD => {
                let _: LoadRequest = decode(format, frame)?;
                encode(format, &self.load_report())
            }
            headers::PATH_HANDOVER => {
                self.on_handover(decode(format, frame)?);
                encode(format, &())
            }
            headers::PATH_JOIN => {
                let request: JoinRequest = decode(format, frame)?;
                log::info!(vm = request.vm.as_str(), address:% = request.address;
                    "received a join request");
                self.handle_event(Event::JoinRequested(request));
                encode(format, &self.session().is_some())
            }
            headers::PATH_TARGET => {
                self.handle_event(Event::TargetRequested(decode(format, frame)?));
                encode(format, &self.session().is_some())
            }
            other => Err(Error::UnknownPath(other)),
        }
    }

    fn on_renew(self: &Arc<Self>, message: Renew) -> Result<RenewReply> {
        let versions = message.versions;
        let lessee = message.session;
        self.confirm_config(versions.config, message.config_proof, self.node.clock.now());
        let replies = self.handle_event(Event::RenewRequest(Renewal {
            lessee,
            lessor: message.lessor,
            term: message.term,
            sequence: message.sequence,
            version: versions.table,
        }));
        self.pull_if_newer(lessee, versions);
        let granted = replies.iter().find_map(|effect| match effect {
            Effect::ReplyRenew { granted, .. } => Some(*granted),
            _ => None,
        });
        Ok(RenewReply {
            sequence: message.sequence,
            granted: granted.ok_or(Error::NotJoined)?,
            versions: self.node.versions(),
            config_proof: self.config_proof(),
        })
    }

    /// Handles the query of another lessor whether the lease of a session has expired here too.
    /// Once this daemon replies that it is committed, it no longer renews the lease in that term.
    fn on_expiry_query(self: &Arc<Self>, message: ExpiryRequest) -> Result<ExpiryReply> {
        let to = self.session().ok_or(Error::NotJoined)?;
        let replies = self.handle_event(Event::ExpiredRequest(ExpiryQuery {
            from: message.from,
            to,
            lessee: message.lessee,
            term: message.term,
            version: message.versions.table,
        }));
        self.pull_if_newer(message.from, message.versions);
        let committed = replies.iter().find_map(|effect| match effect {
            Effect::ReplyExpired { committed, .. } => Some(*committed),
            _ => None,
        });
        Ok(ExpiryReply {
            committed: committed.ok_or(Error::NotJoined)?,
            versions: self.node.versions(),
        })
    }

    /// Starts the move of a shard or key that this daemon owns. With range grants, a shard's move
    /// starts with the target's next report, and single keys cannot move.
    ///
    /// Unless the planner is to write the move, the owner itself writes the swap once the shard is
    /// drained, so that no other daemon can write the move after the owner has cancelled it.
    pub(super) fn on_release(self: &Arc<Self>, message: Release) -> ReleaseReply {
        let has_range_grants = self.node.range_shard_count(message.service).is_some();
        // A planner writes moves of shards with range grants only; a key there cannot move.
        let is_movable = match has_range_grants {
            true => message.key_hash.is_none(),
            false => message.writer.is_none(),
        };
        if !is_movable || !self.owns(&message) {
            return ReleaseReply::NotOwner;
        }
        self.move_reasons.lock().unwrap().record_request(&message);
        let event = match message.key_hash {
            None => Event::MoveRequested {
                held: HeldShard {
                    service: message.service,
                    shard: message.shard,
                    epoch: message.epoch,
                },
                to: message.to,
                by: match message.writer {
                    Some(_) => MoveWriter::Planner,
                    None => MoveWriter::Owner,
                },
            },
            Some(key_hash) => Event::OverrideRequested {
                service: message.service,
                key_hash,
                to: Some(message.to),
            },
        };
        if let Some(planner) = message.writer {
            self.planned_releases.record(&message, planner);
            self.deferred_moves.lock().unwrap().push(event);
        } else if has_range_grants {
            self.defer_move(event);
        } else {
            self.handle_event(event);
        }
        ReleaseReply::Started
    }

    /// Returns whether this daemon owns the shard or key of a release under the epoch of the
    /// release.
    fn owns(&self, release: &Release) -> bool {
        let table = self.node.table.borrow();
        let Some(service) = table.service(release.service) else {
            return false;
        };
        let key_override = |hash| service.overrides.iter().find(|o| o.key_hash == hash);
        let assignment = match release.key_hash.and_then(key_override) {
            Some(key_override) => Some(&key_override.assignment),
            None => service.shards.get(release.shard.index()),
        };
        assignment.is_some_and(|a| a.owner == self.session() && a.epoch == release.epoch)
    }
}

fn decode<M: DeserializeOwned>(format: Format, frame: &[u8]) -> Result<M> {
    codec::decode_frame_as(format, frame).map_err(Error::Codec)
}

fn encode<M: Serialize>(format: Format, message: &M) -> Result<Bytes> {
    codec::encode_as(format, message).map_err(Error::Codec)
}
