//! Help texts: the forms of a sentence, with descriptions and examples.

/// Help on one form of sentence.
#[derive(Debug, Clone, Copy)]
pub struct HelpEntry {
    /// Syntax; words in capitals are placeholders.
    pub syntax: &'static str,
    /// What the sentence asks or does.
    pub description: &'static str,
    /// Example sentence.
    pub example: &'static str,
}

const fn entry(
    syntax: &'static str,
    description: &'static str,
    example: &'static str,
) -> HelpEntry {
    HelpEntry {
        syntax,
        description,
        example,
    }
}

/// Help on all forms, questions first.
#[rustfmt::skip]
pub const HELP_ENTRIES: &[HelpEntry] = &[
    entry("who owns SERVICE key KEY", "which VM owns a key", "who owns search key 4711"),
    entry("who owns SERVICE shard N", "which VM owns a shard", "who owns search shard 12"),
    entry("what does VM own", "what a VM owns", "what does vm-3 own"),
    entry("why does VM own SERVICE key KEY | SERVICE shard N | it", "the decision behind an owner", "why does vm-3 own search key 4711"),
    entry("why is VM away", "the decision that took a VM out of service", "why is vm-3 away"),
    entry("show services", "services and their division", "show services"),
    entry("show targets [of SERVICE]", "targets and their states", "show targets of search"),
    entry("show load [of SERVICE]", "load of the targets", "show load"),
    entry("show cold [of SERVICE]", "cold targets and the requests a second that they get", "show cold"),
    entry("show changes [since SPAN]", "newest decisions; SPAN is such as 30s, 10m, 2h, 1d", "show changes since 10m"),
    entry("show config", "configuration in force, its author and time", "show config"),
    entry("show evacuations", "evacuated data centres, and what is still there", "show evacuations"),
    entry("show limits", "time limits of callers that the asked daemon has learned", "show limits"),
    entry("help", "this list", "help"),
    entry("drain VM", "takes its target out of service; running work finishes", "drain vm-3"),
    entry("return VM", "takes its target back into service", "return vm-3"),
    entry("evacuate DATA_CENTRE", "sends no more requests to its targets; running work finishes", "evacuate dc-b"),
    entry("readmit DATA_CENTRE", "takes its targets back into service", "readmit dc-b"),
    entry("move SERVICE key KEY | SERVICE shard N | it to VM", "gives a key or shard to another VM", "move search key 4711 to vm-5"),
    entry("set SERVICE.SETTING VALUE | rules.SETTING VALUE", "changes one setting of the configuration", "set search.deadline_ms 2000"),
    entry("confirm lost VM", "states that a VM is lost for good and has stopped", "confirm lost vm-9"),
];
