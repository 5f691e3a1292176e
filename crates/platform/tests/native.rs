//! Tests of the native wire format of the store.

use bytes::Bytes;
use googletest::prelude::*;
use http::{HeaderMap, StatusCode};
use masticdeal_platform::binding::{HttpResponse, Op, OpReply};
use masticdeal_platform::{Error, NATIVE_BINDING};
use std::time::Duration;

fn response(status: u16, headers: &[(&'static str, &'static str)]) -> HttpResponse {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        map.insert(*name, value.parse().unwrap());
    }
    HttpResponse {
        status: StatusCode::from_u16(status).unwrap(),
        headers: map,
        body: Bytes::new(),
    }
}

/// Guards against revisions of a restored store that are compared with those of an earlier era.
#[gtest]
fn era_of_the_store_is_read_from_every_response() {
    struct Case {
        status: u16,
        headers: &'static [(&'static str, &'static str)],
        expected: u64,
    }
    let cases = [
        Case {
            status: 200,
            headers: &[("x-revision", "4"), ("x-store-era", "2")],
            expected: 2,
        },
        Case {
            status: 204,
            headers: &[("x-store-era", "2")],
            expected: 2,
        },
        Case {
            status: 404,
            headers: &[("x-store-era", "2")],
            expected: 2,
        },
        Case {
            status: 503,
            headers: &[("x-store-era", "2")],
            expected: 2,
        },
        Case {
            status: 200,
            headers: &[("x-revision", "4")],
            expected: 0,
        },
        Case {
            status: 200,
            headers: &[("x-revision", "4"), ("x-store-era", "new")],
            expected: 0,
        },
    ];
    let watch = Op::Watch {
        key: "k",
        after_revision: 3,
        wait: Duration::from_secs(1),
    };
    for case in cases {
        let res = response(case.status, case.headers);
        expect_that!((NATIVE_BINDING.era)(&res), eq(case.expected));
        for op in [Op::Get { key: "k" }, watch] {
            match (NATIVE_BINDING.decode)(&op, &res) {
                Ok(OpReply::Read(read) | OpReply::Watched(read)) => {
                    expect_that!(read.era, eq(case.expected));
                }
                Ok(other) => panic!("{other:?}"),
                Err(e) => expect_that!(e, matches_pattern!(Error::Status(_))),
            }
        }
    }
}
