//! Files and environment of the operator's machine.

use std::fs;
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

use masticdeal_config::MAX_TEXT_BYTES;

use crate::error::{Error, Result};

/// Shortest secret that the daemons accept, in characters.
const MIN_SECRET: usize = 16;

/// Most copies of refused texts beside one file.
const MAX_COPIES: u32 = 100;

/// Returns an environment variable that is set to something.
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
/// [`Error::File`] when it cannot be read, is no UTF-8, or is larger than the reader accepts.
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

/// Reads the secret from a file, or from the one that the environment names.
///
/// # Errors
///
/// [`Error::File`] when it cannot be read, and [`Error::Usage`] when it holds no valid secret. The
/// secret is never part of the error.
pub fn secret(option: Option<&Path>) -> Result<Option<String>> {
    let named = env("MASTICDEAL_SECRET_FILE").map(PathBuf::from);
    let Some(path) = option.map(Path::to_path_buf).or(named) else {
        return Ok(None);
    };
    let text = read(&path)?;
    let secret = text.trim();
    if secret.len() < MIN_SECRET || !secret.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(Error::Usage(format!(
            "{}: expected one line of at least {MIN_SECRET} printable ASCII characters",
            path.display()
        )));
    }
    Ok(Some(secret.into()))
}

/// Keeps a text that was not accepted in a new file beside the original, and returns its path.
///
/// # Errors
///
/// [`Error::File`] when no file can be written.
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

/// The file that keeps what "it" refers to between two runs of the tool.
#[derive(Debug)]
pub struct SubjectFile(Option<PathBuf>);

impl SubjectFile {
    /// Makes it from the option, or in the home directory.
    pub fn new(option: Option<&Path>) -> Self {
        let home = || env("HOME").map(|home| Path::new(&home).join(".masticdeal-subject"));
        Self(option.map(Path::to_path_buf).or_else(home))
    }

    /// Returns the header value of the last answer, if there is a usable one.
    pub fn load(&self) -> Option<String> {
        let text = read(self.0.as_deref()?).ok()?;
        let value = text.trim();
        let printable = value.bytes().all(|b| (b' '..=b'~').contains(&b));
        (printable && !value.is_empty()).then(|| value.into())
    }

    /// Keeps the header value of an answer. A file that cannot be written only costs the next
    /// "it", so the answer stands without it.
    pub fn store(&self, value: &str) {
        if let Some(path) = &self.0 {
            let _ = fs::write(path, format!("{value}\n"));
        }
    }
}
