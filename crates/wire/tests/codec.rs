//! Frames between daemons: whole messages, cut and forged ones, and arbitrary bytes.

use bytes::{BufMut, BytesMut};
use googletest::prelude::*;
use masticdeal_ownership::change::{Change, Delta};
use masticdeal_ownership::ids::{ChangeId, Epoch, ServiceId, SessionId, ShardId};
use masticdeal_ownership::table::{
    KeyOverride, MAX_SHARDS, Service, Session, Shard, Table, TargetInfo, TargetState,
};
use masticdeal_policy::Verdict;
use masticdeal_wire::codec::{Error, MAX_FRAME_BYTES, PREFIX_BYTES, decode, decode_body, encode};
use masticdeal_wire::peer::{
    ConfigValue, ExpiryReply, ExpiryRequest, Forward, ForwardReply, LoadHint, MoveReason, Pull,
    Reason, Release, ReleaseReply, Renew, RenewReply, Update, Versions,
};
use proptest::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest configuration that its reader accepts, in bytes.
const MAX_TEXT_BYTES: usize = 128 << 10;

const VERSIONS: Versions = Versions {
    table: u64::MAX,
    config: 1,
};

fn session(id: u32) -> Session {
    Session {
        id: SessionId(id),
        incarnation: u64::MAX,
        vm: format!("vm-{id:059}"),
        address: "[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535"
            .parse()
            .unwrap(),
        region: "r".repeat(63),
        data_centre: "d".repeat(63),
        lessors: vec![SessionId(u32::MAX), SessionId(u32::MAX)],
        term: u32::MAX,
        target: Some(TargetInfo {
            service: ServiceId(u16::MAX),
            slots: u16::MAX,
            checks_grants: true,
            state: TargetState::Ready,
            capacity: u32::MAX,
            incarnation: 0,
        }),
    }
}

fn table(services: usize, shards: usize, sessions: u32) -> Table {
    let shard = Shard {
        owner: Some(SessionId(u32::MAX)),
        epoch: Epoch(u32::MAX),
    };
    let service = |at| Service {
        name: format!("service-{at:055}"),
        shards: vec![shard; shards / services],
        overrides: vec![
            KeyOverride {
                key_hash: u64::MAX,
                assignment: shard
            };
            64
        ],
    };
    Table {
        version: u64::MAX,
        next_session: u32::MAX,
        sessions: (0..sessions).map(session).collect(),
        services: (0..services).map(service).collect(),
        recent_changes: vec![ChangeId(u64::MAX); 128],
    }
}

fn update() -> Update {
    let change = Change::Assign {
        service: ServiceId(1),
        owner: SessionId(7),
        shards: (0..40).map(ShardId).collect(),
    };
    let delta = Delta {
        to_version: 8,
        change_id: ChangeId(3),
        changes: vec![change],
    };
    Update {
        origin: Some(SessionId(1)),
        reasons: vec![(7, MoveReason::Operator("duc".into()))],
        deltas: vec![delta; 3],
        table: Some(table(2, 6, 2)),
        config: Some(ConfigValue {
            text: "[rules]\n".repeat(50),
            ..ConfigValue::default()
        }),
    }
}

fn forward() -> Forward {
    Forward {
        service: ServiceId(1),
        shard: Some(ShardId(9)),
        key_hash: Some(5),
        method: "GET".into(),
        path: "/search/4711?a=b".into(),
        headers: vec![("accept".into(), vec![0xff, 0])],
        prefix_bytes: 7,
        objective_ms: Some(300),
        rank: 1,
        deadline_ms: 100,
        idempotent: true,
        request_id: "r".into(),
        traceparent: "t".into(),
        versions: VERSIONS,
    }
}

fn framed<M: Serialize>(message: &M) -> BytesMut {
    BytesMut::from(&encode(message).unwrap()[..])
}

/// Feeds a frame byte by byte: nothing is taken before it is whole, and then exactly the message.
fn arrives_in_pieces<M>(message: &M)
where
    M: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug,
{
    let frame = framed(message);
    let mut buf = BytesMut::new();
    for (at, byte) in frame.iter().enumerate() {
        assert_that!(decode::<M>(&mut buf).unwrap().is_none(), eq(true));
        assert_that!(buf.len(), eq(at));
        buf.put_u8(*byte);
    }
    buf.put_slice(b"next");
    expect_that!(decode::<M>(&mut buf), ok(some(eq(message))));
    expect_that!(&buf[..], eq(b"next"));
}

#[gtest]
fn messages_arrive_in_pieces() {
    arrives_in_pieces(&forward());
    arrives_in_pieces(&Pull { have: VERSIONS });
    arrives_in_pieces(&ReleaseReply::NotOwner);
    arrives_in_pieces(&ForwardReply::Failed {
        verdict: Verdict::MayHaveRun,
        reason: Reason::Silent,
        retry_after_ms: Some(5),
        versions: VERSIONS,
        load: LoadHint {
            running: 1,
            queued: 2,
            service_us: 3,
        },
    });
}

/// Guards against a limit that lets a table be written but not be read: the decoder counts decoded
/// sizes, the encoder encoded ones.
#[gtest]
fn largest_table_and_configuration_are_read_back() {
    let text = "x".repeat(MAX_TEXT_BYTES);
    let config = Some(ConfigValue {
        text,
        ..ConfigValue::default()
    });
    let largest = Update {
        table: Some(table(16, MAX_SHARDS, 480)),
        config,
        ..Update::default()
    };
    let mut frame = framed(&largest);
    println!("largest table with configuration: {} bytes", frame.len());
    expect_that!(
        decode::<Update>(&mut frame).unwrap() == Some(largest),
        eq(true)
    );
}

#[gtest]
fn too_long_a_frame_is_refused_from_its_prefix() {
    let mut buf = BytesMut::from(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes()[..]);
    expect_that!(
        decode::<Pull>(&mut buf),
        err(eq(&Error::TooLong(MAX_FRAME_BYTES + 1)))
    );
    let text = "x".repeat(MAX_FRAME_BYTES);
    expect_that!(
        encode(&ConfigValue {
            text,
            ..ConfigValue::default()
        }),
        err(anything())
    );
}

#[gtest]
fn forged_lengths_inside_a_message_are_refused() {
    // A delta list of 2^63 entries, in the encoding's form of a long number.
    let mut body = vec![0, 253];
    body.extend_from_slice(&(1_u64 << 63).to_le_bytes());
    expect_that!(
        decode_body::<Update>(&body),
        err(matches_pattern!(Error::Malformed(_)))
    );
    let mut trailing = framed(&ReleaseReply::NotOwner)[PREFIX_BYTES..].to_vec();
    trailing.push(0);
    let found = decode_body::<ReleaseReply>(&trailing);
    expect_that!(found, err(eq(&Error::TrailingBytes(1))));
}

/// Decodes bytes as a message. What is accepted reads back from its own encoding.
fn probe<M>(body: &[u8]) -> std::result::Result<(), TestCaseError>
where
    M: Serialize + DeserializeOwned,
{
    if let Ok(message) = decode_body::<M>(body) {
        let again = encode(&message).map_err(|e| TestCaseError::fail(e.to_string()))?;
        prop_assert!(decode_body::<M>(&again[PREFIX_BYTES..]).is_ok());
    }
    Ok(())
}

fn probe_all(body: &[u8]) -> std::result::Result<(), TestCaseError> {
    probe::<Renew>(body)?;
    probe::<RenewReply>(body)?;
    probe::<ExpiryRequest>(body)?;
    probe::<ExpiryReply>(body)?;
    probe::<Pull>(body)?;
    probe::<Update>(body)?;
    probe::<Table>(body)?;
    probe::<Delta>(body)?;
    probe::<ConfigValue>(body)?;
    probe::<Release>(body)?;
    probe::<ReleaseReply>(body)?;
    probe::<Forward>(body)?;
    probe::<ForwardReply>(body)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1024,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(19),
        ..ProptestConfig::default()
    })]

    /// Arbitrary bytes as each message: no panic.
    #[test]
    fn arbitrary_bytes(body in proptest::collection::vec(any::<u8>(), 0..600)) {
        probe_all(&body)?;
        let mut buf = BytesMut::from(&body[..]);
        while let Ok(Some(_)) = decode::<Update>(&mut buf) {}
    }

    /// Valid messages with some bytes overwritten reach the inner fields.
    #[test]
    fn damaged_messages(at in any::<proptest::sample::Index>(), junk in proptest::collection::vec(any::<u8>(), 1..9)) {
        for frame in [framed(&update()), framed(&forward())] {
            let mut body = frame[PREFIX_BYTES..].to_vec();
            let start = at.index(body.len());
            let end = (start + junk.len()).min(body.len());
            body[start..end].copy_from_slice(&junk[..end - start]);
            probe_all(&body)?;
        }
    }
}
