//! Grammar of the sentences. The parser selects each rule by the next one or two words and does not
//! try another rule after an error, so that the error refers to the first invalid word.

use std::time::Duration;

use winnow::Parser;
use winnow::ascii::digit1;
use winnow::combinator::preceded;
use winnow::stream::{Location, Stream};
use winnow::token::rest;

use crate::error::{Error, Result};
use crate::lexer::{
    Input, MAX_SENTENCE_BYTES, end_of_sentence, key, keyword, name, shard_number, skip_whitespace,
    unexpected,
};
use crate::sentence::{Sentence, Setting, SubjectRef};

const EXPECTED_VM: &str = "the name of a VM";
const EXPECTED_DATA_CENTRE: &str = "the name of a data centre";
const EXPECTED_SERVICE: &str = "the name of a service";
const EXPECTED_SETTING: &str = "a setting such as search.deadline_ms or rules.max_draining";
const EXPECTED_SPAN: &str = "a span such as 30s, 10m, 2h or 1d, at most 31d";

/// Maximum span of `show changes since`.
const MAX_SPAN: Duration = Duration::from_secs(31 * 86_400);

/// Maximum length of a value of `set`, in bytes.
const MAX_VALUE_BYTES: usize = 512;

/// First keyword of a sentence, without `please`.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Verb {
    Who,
    What,
    Why,
    Show,
    Help,
    Drain,
    Return,
    Evacuate,
    Readmit,
    Move,
    Set,
    Confirm,
}

/// Keywords with their values. Synonyms follow the keyword that errors list.
const VERBS: &[(&str, Verb)] = &[
    ("who", Verb::Who),
    ("what", Verb::What),
    ("why", Verb::Why),
    ("show", Verb::Show),
    ("list", Verb::Show),
    ("help", Verb::Help),
    ("drain", Verb::Drain),
    ("return", Verb::Return),
    ("evacuate", Verb::Evacuate),
    ("readmit", Verb::Readmit),
    ("move", Verb::Move),
    ("set", Verb::Set),
    ("confirm", Verb::Confirm),
];

/// Parses one sentence.
///
/// # Errors
///
/// The first invalid word, with the valid words at that position, and the closest one if similar.
pub fn parse(line: &str) -> Result<Sentence> {
    let line = line.trim_end();
    let mut input = Input::new(line);
    let parsed = check_line(line).and_then(|()| sentence(&mut input));
    parsed.map_err(|mut error| {
        let preceding = line.get(..error.offset).unwrap_or_default();
        error.column = preceding.chars().count() + 1;
        error
    })
}

fn check_line(line: &str) -> Result<()> {
    if line.len() > MAX_SENTENCE_BYTES {
        return Err(Error::new(0, "the line", &["at most 1024 bytes"]));
    }
    match line
        .char_indices()
        .find(|(_, c)| c.is_control() && *c != '\t')
    {
        Some((offset, c)) => {
            let escaped = c.escape_default().to_string();
            Err(Error::new(
                offset,
                &escaped,
                &["one line without control characters"],
            ))
        }
        None => Ok(()),
    }
}

fn sentence(input: &mut Input<'_>) -> Result<Sentence> {
    let mut lookahead = *input;
    if keyword(&mut lookahead, &[("please", ())]).is_ok() {
        *input = lookahead;
    }
    let sentence = match keyword(input, VERBS)? {
        Verb::Who => who(input)?,
        Verb::What => what(input)?,
        Verb::Why => why(input)?,
        Verb::Show => show(input)?,
        Verb::Move => move_command(input)?,
        Verb::Set => return set(input),
        Verb::Confirm => {
            keyword(input, &[("lost", ())])?;
            Sentence::ConfirmLost { vm: vm(input)? }
        }
        Verb::Drain => Sentence::Drain { vm: vm(input)? },
        Verb::Return => Sentence::Return { vm: vm(input)? },
        Verb::Evacuate => Sentence::Evacuate {
            data_centre: name(input, EXPECTED_DATA_CENTRE)?,
        },
        Verb::Readmit => Sentence::Readmit {
            data_centre: name(input, EXPECTED_DATA_CENTRE)?,
        },
        Verb::Help => Sentence::Help,
    };
    end_of_sentence(input)?;
    Ok(sentence)
}

fn vm(input: &mut Input<'_>) -> Result<String> {
    name(input, EXPECTED_VM)
}

fn who(input: &mut Input<'_>) -> Result<Sentence> {
    keyword(input, &[("owns", ()), ("handles", ()), ("has", ())])?;
    Ok(Sentence::Who {
        subject: subject(input)?,
    })
}

fn what(input: &mut Input<'_>) -> Result<Sentence> {
    keyword(input, &[("does", ())])?;
    let vm = vm(input)?;
    own_verb(input)?;
    Ok(Sentence::What { vm })
}

fn own_verb(input: &mut Input<'_>) -> Result<()> {
    keyword(input, &[("own", ()), ("handle", ()), ("have", ())])
}

fn why(input: &mut Input<'_>) -> Result<Sentence> {
    let asks_ownership = keyword(input, &[("does", true), ("is", false)])?;
    let vm = vm(input)?;
    if asks_ownership {
        own_verb(input)?;
        return Ok(Sentence::Why {
            vm,
            subject: subject(input)?,
        });
    }
    keyword(input, &[("away", ()), ("draining", ()), ("lost", ())])?;
    Ok(Sentence::WhyAway { vm })
}

/// What a sentence with `show` asks for.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Topic {
    Services,
    Targets,
    Load,
    Cold,
    Changes,
    Config,
    Evacuations,
    Limits,
}

fn show(input: &mut Input<'_>) -> Result<Sentence> {
    let topic = keyword(
        input,
        &[
            ("services", Topic::Services),
            ("targets", Topic::Targets),
            ("load", Topic::Load),
            ("cold", Topic::Cold),
            ("changes", Topic::Changes),
            ("config", Topic::Config),
            ("configuration", Topic::Config),
            ("evacuations", Topic::Evacuations),
            ("limits", Topic::Limits),
        ],
    )?;
    Ok(match topic {
        Topic::Services => Sentence::ShowServices,
        Topic::Targets => Sentence::ShowTargets {
            service: of_service(input)?,
        },
        Topic::Load => Sentence::ShowLoad {
            service: of_service(input)?,
        },
        Topic::Cold => Sentence::ShowCold {
            service: of_service(input)?,
        },
        Topic::Changes => Sentence::ShowChanges {
            since: since(input)?,
        },
        Topic::Config => Sentence::ShowConfig,
        Topic::Evacuations => Sentence::ShowEvacuations,
        Topic::Limits => Sentence::ShowLimits,
    })
}

fn of_service(input: &mut Input<'_>) -> Result<Option<String>> {
    if end_of_sentence(&mut input.clone()).is_ok() {
        return Ok(None);
    }
    keyword(input, &[("of", ())])?;
    name(input, EXPECTED_SERVICE).map(Some)
}

fn since(input: &mut Input<'_>) -> Result<Option<Duration>> {
    if end_of_sentence(&mut input.clone()).is_ok() {
        return Ok(None);
    }
    keyword(input, &[("since", ())])?;
    let start = input.checkpoint();
    match span(input) {
        Ok(span) if !span.is_zero() && span <= MAX_SPAN => Ok(Some(span)),
        _ => {
            input.reset(&start);
            Err(unexpected(input, &[EXPECTED_SPAN]))
        }
    }
}

fn span(input: &mut Input<'_>) -> Result<Duration> {
    let count: u64 = preceded(skip_whitespace, digit1.parse_to()).parse_next(input)?;
    let units = &[("s", 1), ("m", 60), ("h", 3_600), ("d", 86_400)];
    let unit: u64 = keyword(input, units)?;
    Ok(Duration::from_secs(count.saturating_mul(unit)))
}

fn subject(input: &mut Input<'_>) -> Result<SubjectRef> {
    let start = input.checkpoint();
    let service = name(input, "the name of a service, or `it`")?;
    // `it` alone refers to the last subject. `it` before `key` or `shard` is the name of a service.
    let mut lookahead = *input;
    let kind = keyword(&mut lookahead, &[("key", true), ("shard", false)]);
    match kind {
        Ok(is_key) => {
            *input = lookahead;
            if is_key {
                return Ok(SubjectRef::Key {
                    service,
                    key: key(input)?,
                });
            }
            Ok(SubjectRef::Shard {
                service,
                shard: shard_number(input)?,
            })
        }
        Err(_) if service.eq_ignore_ascii_case("it") => Ok(SubjectRef::It),
        Err(error) => {
            input.reset(&start);
            Err(error)
        }
    }
}

fn move_command(input: &mut Input<'_>) -> Result<Sentence> {
    let subject = subject(input)?;
    keyword(input, &[("to", ())])?;
    Ok(Sentence::Move {
        subject,
        to: vm(input)?,
    })
}

/// Parses a setting and its value, which is the rest of the line since it may be a list.
fn set(input: &mut Input<'_>) -> Result<Sentence> {
    let setting = setting(input)?;
    skip_whitespace(input)?;
    let offset = input.current_token_start();
    let value = rest.parse_next(input)?;
    let value = value.strip_prefix('=').unwrap_or(value).trim();
    if value.is_empty() || value.starts_with('=') || value.len() > MAX_VALUE_BYTES {
        return Err(Error::new(offset, value, &["a value of at most 512 bytes"]));
    }
    Ok(Sentence::Set {
        setting,
        value: value.into(),
    })
}

/// Parses `SCOPE.KEY`, with the key in any case.
fn setting(input: &mut Input<'_>) -> Result<Setting> {
    let start = input.checkpoint();
    let mut parse_setting = || -> Result<Setting> {
        skip_whitespace(input)?;
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '_' | '-');
        let part = || winnow::token::take_while(1..=crate::lexer::MAX_NAME_BYTES, allowed);
        let (scope, _, key): (&str, char, &str) = (part(), '.', part()).parse_next(input)?;
        Ok(Setting {
            scope: scope.into(),
            key: key.to_ascii_lowercase(),
        })
    };
    let parsed = parse_setting();
    let at_end = input
        .chars()
        .next()
        .is_none_or(|c| c.is_whitespace() || c == '=');
    match parsed {
        Ok(setting) if at_end => Ok(setting),
        _ => {
            input.reset(&start);
            Err(unexpected(input, &[EXPECTED_SETTING]))
        }
    }
}
