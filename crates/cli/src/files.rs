//! Local files and environment variables of the operator.

use std::fs;
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

use masticdeal_config::MAX_TEXT_BYTES;

use crate::error::{Error, Result};

/// Minimum length of a secret that the daemons accept, in characters.
const MIN_SECRET_CHARS: usize = 16;

/// Maximum number of rejected texts that are saved next to one file for one revision.
const MAX_COPIES: u32 = 100;

/// Returns the value of an environment variable if it is not empty.
pub fn env(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn file_error(path: &Path, cause: std::io::Error) -> Error {
    let path = path.display().to_string();
    Error::File { path, cause }
}

/// Reads a configuration or settings file.
///
/// # Errors
///
/// [`Error::File`] if it cannot be read, is not valid UTF-8, or is larger than the parser accepts.
pub fn read(path: &Path) -> Result<String> {
    let size = fs::metadata(path).map_err(|e| file_error(path, e))?.len();
    if size > MAX_TEXT_BYTES as u64 {
        let message = format!("{size} bytes exceed the limit of {MAX_TEXT_BYTES}");
        return Err(file_error(
            path,
            std::io::Error::new(ErrorKind::InvalidData, message),
        ));
    }
    fs::read_to_string(path).map_err(|e| file_error(path, e))
}

/// Reads the secret from the file given by the option or else by the environment.
///
/// # Errors
///
/// [`Error::File`] if the file cannot be read, and [`Error::Usage`] if it contains no valid secret.
/// The error does not contain the secret.
pub fn secret(option: Option<&Path>) -> Result<Option<String>> {
    let from_env = env("MASTICDEAL_SECRET_FILE").map(PathBuf::from);
    let Some(path) = option.map(Path::to_path_buf).or(from_env) else {
        return Ok(None);
    };
    let text = read(&path)?;
    let secret = text.trim();
    if secret.len() < MIN_SECRET_CHARS || !secret.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(Error::Usage(format!(
            "{}: expected one line of at least {MIN_SECRET_CHARS} printable ASCII characters",
            path.display()
        )));
    }
    Ok(Some(secret.into()))
}

/// Saves a rejected text to a new file next to the original, and returns its path.
///
/// # Errors
///
/// [`Error::File`] if no file can be written.
pub fn save_rejected(original: &Path, revision: u64, text: &str) -> Result<PathBuf> {
    for copy in 0..MAX_COPIES {
        let suffix = if copy == 0 {
            String::new()
        } else {
            format!("-{copy}")
        };
        let mut path = original.as_os_str().to_owned();
        path.push(format!(".not-in-revision-{revision}{suffix}"));
        let path = PathBuf::from(path);
        match fs::File::create_new(&path) {
            Ok(mut file) => {
                file.write_all(text.as_bytes())
                    .map_err(|e| file_error(&path, e))?;
                return Ok(path);
            }
            Err(e) if e.kind() == ErrorKind::AlreadyExists => {}
            Err(e) => return Err(file_error(&path, e)),
        }
    }
    let cause = std::io::Error::new(ErrorKind::AlreadyExists, "too many copies beside the file");
    Err(file_error(original, cause))
}

/// File with the subject that "it" refers to, kept between two runs of the tool.
#[derive(Debug)]
pub struct SubjectFile(Option<PathBuf>);

impl SubjectFile {
    /// Uses the path of the option, or else a file in the home directory. Without either, nothing
    /// is stored.
    pub fn new(option: Option<&Path>) -> Self {
        let home = || env("HOME").map(|home| Path::new(&home).join(".masticdeal-subject"));
        Self(option.map(Path::to_path_buf).or_else(home))
    }

    /// Returns the stored header value, if there is a valid one.
    pub fn load(&self) -> Option<String> {
        let text = read(self.0.as_deref()?).ok()?;
        let value = text.trim();
        let printable = value.bytes().all(|b| (b' '..=b'~').contains(&b));
        (printable && !value.is_empty()).then(|| value.into())
    }

    /// Stores the header value of an answer. A write error is ignored, since the answer is valid
    /// and only the next "it" cannot be resolved.
    pub fn store(&self, value: &str) {
        if let Some(path) = &self.0 {
            let _ = fs::write(path, format!("{value}\n"));
        }
    }
}
