//! The forms of the language with their meaning, for help texts.

/// One form of sentence.
#[derive(Debug, Clone, Copy)]
pub struct Form {
    /// The form; words in capitals stand for names and values.
    pub form: &'static str,
    /// What it asks or does.
    pub meaning: &'static str,
    /// A sentence of this form.
    pub example: &'static str,
}

const fn form(form: &'static str, meaning: &'static str, example: &'static str) -> Form {
    Form {
        form,
        meaning,
        example,
    }
}

/// All forms, questions first.
#[rustfmt::skip]
pub const FORMS: &[Form] = &[
    form("who owns SERVICE key KEY", "which VM owns a key", "who owns search key 4711"),
    form("who owns SERVICE shard N", "which VM owns a shard", "who owns search shard 12"),
    form("what does VM own", "what a VM owns", "what does vm-3 own"),
    form("why does VM own SERVICE key KEY | SERVICE shard N | it", "the decision behind an owner", "why does vm-3 own search key 4711"),
    form("why is VM away", "the decision that took a VM out of service", "why is vm-3 away"),
    form("show services", "services and their division", "show services"),
    form("show targets [of SERVICE]", "targets and their states", "show targets of search"),
    form("show load [of SERVICE]", "load of the targets", "show load"),
    form("show changes [since SPAN]", "newest decisions; SPAN is such as 30s, 10m, 2h, 1d", "show changes since 10m"),
    form("show config", "configuration in force, its author and time", "show config"),
    form("help", "this list", "help"),
    form("drain VM", "takes its target out of service; running work finishes", "drain vm-3"),
    form("return VM", "takes its target back into service", "return vm-3"),
    form("move SERVICE key KEY | SERVICE shard N | it to VM", "gives a key or shard to another VM", "move search key 4711 to vm-5"),
    form("set SERVICE.SETTING VALUE | rules.SETTING VALUE", "changes one setting of the configuration", "set search.deadline_ms 2000"),
    form("confirm lost VM", "states that a VM is lost for good and has stopped", "confirm lost vm-9"),
];
