//! Words of a line with their columns, and errors that point at one of them.

use std::fmt::{Display, Formatter, Result as FormatResult};

/// One word of a line, without its quotes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LineWord {
    /// Column of the first character, from 1.
    pub column: usize,
    /// The word.
    pub text: String,
}

/// What is wrong with a file, and where.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FileError {
    /// Name of the file.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column of the offending word, from 1.
    pub column: usize,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl Display for FileError {
    fn fmt(&self, f: &mut Formatter<'_>) -> FormatResult {
        write!(
            f,
            "{}:{}:{}: {}",
            self.file, self.line, self.column, self.message
        )
    }
}

impl std::error::Error for FileError {}

/// What is wrong with a word of a line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WordError {
    /// The word, or a part of it.
    pub word: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl WordError {
    /// Makes an error about `word`.
    pub fn new(word: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            word: word.into(),
            message: message.into(),
        }
    }
}

/// Splits a line into words. Single or double quotes hold words together; a `#` outside of quotes starts a comment.
///
/// # Errors
///
/// Returns the quote that is not closed.
pub fn split_line(line: &str) -> Result<Vec<LineWord>, LineWord> {
    let mut words: Vec<LineWord> = Vec::new();
    let mut open_quote: Option<(char, usize)> = None;
    let mut in_word = false;
    for (index, character) in line.chars().enumerate() {
        let column = index + 1;
        if let Some((quote, _)) = open_quote {
            match character == quote {
                true => open_quote = None,
                false => push_character(&mut words, character),
            }
            continue;
        }
        if character == '#' && !in_word {
            break;
        }
        if character.is_whitespace() {
            in_word = false;
            continue;
        }
        if !in_word {
            in_word = true;
            words.push(LineWord {
                column,
                text: String::new(),
            });
        }
        match character {
            '"' | '\'' => open_quote = Some((character, column)),
            _ => push_character(&mut words, character),
        }
    }
    match open_quote {
        Some((quote, column)) => Err(LineWord {
            column,
            text: quote.into(),
        }),
        None => Ok(words),
    }
}

fn push_character(words: &mut [LineWord], character: char) {
    if let Some(word) = words.last_mut() {
        word.text.push(character);
    }
}

/// Returns the column of the word that an error names, or that of the first word.
pub fn column_of(words: &[LineWord], text: &str) -> usize {
    let exact = words.iter().skip(1).find(|word| word.text == text);
    let partial = || {
        let mut rest = words.iter().skip(1);
        rest.find(|word| !text.is_empty() && word.text.contains(text))
    };
    let first = words.first();
    exact
        .or_else(partial)
        .or(first)
        .map_or(1, |word| word.column)
}
