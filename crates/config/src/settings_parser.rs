//! Parser of the daemon settings.

use std::net::SocketAddr;

use crate::fault::{FaultKind, Faults};
use crate::ini_text::{Section, parse_sections};
use crate::section_reader::{SectionReader, valid_values};
use crate::settings::{
    Daemon, Lease, Limits, Listen, Log, Placing, Platform, Retries, Secret, Settings, Target,
};

const SECTIONS: [&str; 10] = [
    "daemon", "listen", "platform", "lease", "limits", "secret", "log", "target", "retries",
    "placing",
];
const REQUIRED_SECTIONS: [&str; 4] = ["daemon", "listen", "platform", "secret"];
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
const LEVEL_PREFIX: &str = "level.";

/// Minimum length of a shared secret, in characters.
const MIN_SECRET_CHARS: usize = 16;
/// Maximum length of a shared secret, in characters. The secret is sent in a header.
const MAX_SECRET_CHARS: usize = 256;
/// Minimum number of renewals per lease, so that a lease does not expire after one lost message.
const MIN_RENEWALS_PER_LEASE: u32 = 3;

impl Settings {
    /// Reads the settings of a daemon from a file.
    ///
    /// # Errors
    ///
    /// The file system's error, or all faults, one per line.
    pub fn read(path: &str) -> Result<Self, String> {
        let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}\n"))?;
        Self::parse(&text, path).map_err(|faults| {
            let lines = faults.iter().map(|fault| format!("{fault}\n"));
            lines.collect()
        })
    }

    /// Parses the settings of a daemon from INI text. `file_name` is used only in faults.
    ///
    /// The sections `[daemon]`, `[listen]`, `[platform]` and `[secret]` are required. Optional keys
    /// that are absent have the values of [`Default`]. Keys that end in `_ms` are whole
    /// milliseconds.
    ///
    /// # Errors
    ///
    /// All faults of the text, ordered by line. No fault contains a secret.
    pub fn parse(text: &str, file_name: &str) -> crate::Result<Self> {
        let mut faults = Faults::new(file_name);
        let sections = parse_sections(text, &mut faults);
        check_sections(&sections, &mut faults);
        let mut settings = Self::default();
        for (index, section) in sections.iter().enumerate() {
            if sections[..index].iter().any(|s| s.name == section.name) {
                continue;
            }
            read_section(&mut settings, &mut SectionReader::new(section, &mut faults));
        }
        if let Some(listen) = sections.iter().find(|s| s.name == "listen") {
            check_addresses(&settings, &mut SectionReader::new(listen, &mut faults));
        }
        faults.finish(settings)
    }
}

fn check_sections(sections: &[Section], faults: &mut Faults<'_>) {
    for (index, section) in sections.iter().enumerate() {
        let name = section.name.as_str();
        if !SECTIONS.contains(&name) {
            let hint = valid_values(name, &SECTIONS);
            faults.push(section.line, name, "", FaultKind::UnknownSection { hint });
        } else if let Some(first) = sections[..index].iter().find(|s| s.name == name) {
            let first = first.line;
            faults.push(section.line, name, "", FaultKind::Duplicate { first });
        }
    }
    for name in REQUIRED_SECTIONS {
        if !sections.iter().any(|s| s.name == name) {
            let expected = format!("section [{name}]");
            faults.push(0, name, "", FaultKind::Missing { expected });
        }
    }
}

fn read_section(settings: &mut Settings, reader: &mut SectionReader<'_, '_>) {
    match reader.section_name() {
        "daemon" => read_daemon(&mut settings.daemon, reader),
        "listen" => read_listen(&mut settings.listen, reader),
        "platform" => read_platform(&mut settings.platform, reader),
        "lease" => read_lease(&mut settings.lease, reader),
        "limits" => read_limits(&mut settings.limits, reader),
        "secret" => read_secret(&mut settings.secret, reader),
        "log" => read_log(&mut settings.log, reader),
        "target" => read_target(&mut settings.target, reader),
        "retries" => read_retries(&mut settings.retries, reader),
        "placing" => read_placing(&mut settings.placing, reader),
        _ => {}
    }
}

fn read_daemon(daemon: &mut Daemon, reader: &mut SectionReader<'_, '_>) {
    let keys = [
        "name",
        "region",
        "data_centre",
        "threads",
        "drain_ms",
        "drain_s",
        "linger_ms",
        "seeds",
        "evacuation_s",
    ];
    reader.check_keys(&keys, None);
    reader.name("name", &mut daemon.name);
    reader.name("region", &mut daemon.region);
    reader.name("data_centre", &mut daemon.data_centre);
    reader.number("threads", 0..=1, "", &mut daemon.threads);
    reader.millis("drain_ms", 0..=3_600_000, &mut daemon.drain_timeout);
    // `drain_s` overrides `drain_ms`.
    reader.seconds("drain_s", 0.0..=3_600.0, &mut daemon.drain_timeout);
    reader.millis("linger_ms", 0..=600_000, &mut daemon.linger);
    reader.addresses("seeds", &mut daemon.seeds);
    reader.optional_seconds("evacuation_s", 0.1..=600.0, &mut daemon.evacuation);
}

fn read_listen(listen: &mut Listen, reader: &mut SectionReader<'_, '_>) {
    let keys = [
        "callers",
        "peers",
        "peers_advertised",
        "operators",
        "announce",
    ];
    reader.check_keys(&keys, None);
    reader.address("callers", &mut listen.callers);
    reader.address("peers", &mut listen.peers);
    reader.address("operators", &mut listen.operators);
    reader.address("announce", &mut listen.announce);
    let mut advertised = listen.peers;
    if reader.optional_address("peers_advertised", &mut advertised) {
        listen.peers_advertised = Some(advertised);
    }
}

fn read_platform(platform: &mut Platform, reader: &mut SectionReader<'_, '_>) {
    reader.check_keys(&["address", "timeout_ms", "writes_per_s"], None);
    reader.address("address", &mut platform.address);
    reader.millis("timeout_ms", 10..=60_000, &mut platform.timeout);
    reader.number(
        "writes_per_s",
        0..=1_000_000,
        "",
        &mut platform.writes_per_s,
    );
}

fn read_lease(lease: &mut Lease, reader: &mut SectionReader<'_, '_>) {
    let keys = [
        "length_ms",
        "renew_ms",
        "drift_ppm",
        "settle_ms",
        "gather_ms",
        "longest_grant_s",
    ];
    reader.check_keys(&keys, None);
    reader.millis("length_ms", 30..=60_000, &mut lease.duration);
    reader.millis("renew_ms", 10..=20_000, &mut lease.renew_interval);
    reader.number(
        "drift_ppm",
        0..=200_000,
        " parts per million",
        &mut lease.drift_ppm,
    );
    reader.millis("settle_ms", 0..=10_000, &mut lease.settle_delay);
    reader.millis("gather_ms", 0..=10_000, &mut lease.gather_delay);
    reader.seconds("longest_grant_s", 0.1..=600.0, &mut lease.longest_grant);
    if lease.renew_interval * MIN_RENEWALS_PER_LEASE > lease.duration {
        let message = format!(
            "renew_ms = {} is more than a third of length_ms = {}: expected at most {}",
            lease.renew_interval.as_millis(),
            lease.duration.as_millis(),
            (lease.duration / MIN_RENEWALS_PER_LEASE).as_millis(),
        );
        reader.report_at("renew_ms", message);
    }
}

fn read_limits(limits: &mut Limits, reader: &mut SectionReader<'_, '_>) {
    let keys = [
        "max_header_bytes",
        "max_body_bytes",
        "queue_length",
        "connections",
        "requests",
        "link_mbps",
        "ping_after_ms",
        "ping_timeout_ms",
        "returning_callers",
    ];
    reader.check_keys(&keys, None);
    reader.number(
        "max_header_bytes",
        1 << 10..=512 << 10,
        " bytes",
        &mut limits.max_header_bytes,
    );
    reader.number(
        "max_body_bytes",
        0..=1 << 40,
        " bytes",
        &mut limits.max_body_bytes,
    );
    reader.number("queue_length", 1..=1_000_000, "", &mut limits.queue_length);
    reader.number("connections", 1..=1_000_000, "", &mut limits.connections);
    reader.number("requests", 1..=1_000_000, "", &mut limits.requests);
    reader.number(
        "link_mbps",
        0.0..=1_000_000.0,
        " Mbit/s",
        &mut limits.link_mbps,
    );
    reader.millis("ping_after_ms", 10..=60_000, &mut limits.ping_after);
    reader.millis("ping_timeout_ms", 10..=60_000, &mut limits.ping_timeout);
    reader.switch("returning_callers", &mut limits.returning_callers);
}

fn read_target(target: &mut Target, reader: &mut SectionReader<'_, '_>) {
    reader.check_keys(&["service", "address"], None);
    if reader.entry("service").is_some() {
        reader.name("service", &mut target.service);
    }
    let mut address = Listen::default().announce;
    if reader.optional_address("address", &mut address) {
        target.address = Some(address);
    }
}

fn read_retries(retries: &mut Retries, reader: &mut SectionReader<'_, '_>) {
    reader.check_keys(&["share", "reserve", "window_s"], None);
    if reader.entry("share").is_some() {
        let mut share = 0.0;
        reader.number("share", 0.0..=1.0, "", &mut share);
        retries.share = Some(share);
    }
    reader.number("reserve", 0..=1_000_000, " retries", &mut retries.reserve);
    reader.seconds("window_s", 0.1..=600.0, &mut retries.window);
}

fn read_placing(placing: &mut Placing, reader: &mut SectionReader<'_, '_>) {
    reader.check_keys(&["far_ms_per_kb"], None);
    // A section without the key sets 0, since the default of 100 µs is rounded down to
    // milliseconds.
    reader.millis(
        "far_ms_per_kb",
        0..=60_000,
        &mut placing.remote_penalty_per_kb,
    );
}

fn read_secret(secret: &mut Secret, reader: &mut SectionReader<'_, '_>) {
    reader.check_keys(&["peers", "operators"], None);
    read_secret_value("peers", &mut secret.peers, reader);
    read_secret_value("operators", &mut secret.operators, reader);
}

fn read_secret_value(key: &str, field: &mut String, reader: &mut SectionReader<'_, '_>) {
    let expected =
        format!("{MIN_SECRET_CHARS} to {MAX_SECRET_CHARS} printable ASCII characters, no spaces");
    let Some(entry) = reader.entry(key) else {
        return reader.report_missing(key, expected);
    };
    let length = MIN_SECRET_CHARS..=MAX_SECRET_CHARS;
    let printable = entry.value.bytes().all(|b| b.is_ascii_graphic());
    if printable && length.contains(&entry.value.len()) {
        *field = entry.value.clone();
    } else {
        reader.report_fault(entry, FaultKind::InvalidSecret { expected });
    }
}

fn read_log(log: &mut Log, reader: &mut SectionReader<'_, '_>) {
    reader.check_keys(&["level"], Some(LEVEL_PREFIX));
    for entry in reader.entries() {
        let module = entry.key.strip_prefix(LEVEL_PREFIX);
        if module.is_none() && entry.key != "level" {
            continue;
        }
        if !LOG_LEVELS.contains(&entry.value.as_str()) {
            reader.report_invalid_choice(entry, &LOG_LEVELS);
            continue;
        }
        match module {
            // INI accepts a colon between key and value, so module paths are written with dots.
            Some(module) => log
                .modules
                .push((module.replace('.', "::"), entry.value.clone())),
            None => log.level = entry.value.clone(),
        }
    }
}

/// Checks for addresses that cannot be bound at the same time or are the platform store's, and for
/// those that the target or other daemons cannot connect to.
fn check_addresses(settings: &Settings, reader: &mut SectionReader<'_, '_>) {
    let listen = &settings.listen;
    let vm_ip = listen.peer_address().ip();
    if !listen.announce.ip().is_loopback() && listen.announce.ip() != vm_ip {
        let message = format!(
            "{} is not a loopback address such as 127.0.0.1",
            listen.announce
        );
        reader.report_at("announce", message);
    }
    check_advertised_address(listen, reader);
    let addresses = [
        ("callers", listen.callers),
        ("peers", listen.peers),
        ("operators", listen.operators),
        ("announce", listen.announce),
    ];
    for (index, (key, address)) in addresses.iter().enumerate() {
        if !sets_address(reader, key, *address) {
            continue;
        }
        for (other_key, other) in &addresses[..index] {
            if sets_address(reader, other_key, *other) && addresses_overlap(*address, *other) {
                let message = format!("{address} is taken by {other_key} = {other}");
                reader.report_at(key, message);
            }
        }
        if *address == settings.platform.address {
            reader.report_at(
                key,
                format!("{address} is the address of the platform service"),
            );
        }
    }
}

/// Returns whether the text sets `key` to this address. A default that replaces an invalid value
/// must not cause further faults.
fn sets_address(reader: &SectionReader<'_, '_>, key: &str, address: SocketAddr) -> bool {
    reader
        .entry(key)
        .is_some_and(|e| e.value.parse() == Ok(address))
}

/// Checks that other daemons can connect to the advertised address: it must not be a wildcard.
fn check_advertised_address(listen: &Listen, reader: &mut SectionReader<'_, '_>) {
    match listen.peers_advertised {
        None if listen.peers.ip().is_unspecified() => {
            let message = format!("{} needs peers_advertised = ip:port", listen.peers);
            reader.report_at("peers", message);
        }
        Some(address) if address.ip().is_unspecified() => {
            let message = format!("{address} is not an address that others can connect to");
            reader.report_at("peers_advertised", message);
        }
        _ => {}
    }
}

/// Returns whether the two addresses cannot be bound at the same time.
fn addresses_overlap(a: SocketAddr, b: SocketAddr) -> bool {
    let wildcard = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() == b.port() && (wildcard || a.ip() == b.ip())
}
