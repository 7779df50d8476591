//! Splits lines into words with columns, and defines errors that point at a word.

use std::fmt::{Display, Formatter, Result as FormatResult};

/// One word of a line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LineWord {
    /// Column of the first character, or of the opening quote, in characters from 1.
    pub column: usize,
    /// Text of the word without its quotes.
    pub text: String,
}

/// An error in a scenario file, with its position. Displayed as `file:line:column: message`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FileError {
    /// Path of the file as it was given.
    pub file: String,
    /// Line number, from 1.
    pub line: usize,
    /// Column of the offending word, in characters from 1.
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

/// An error in a word, before its position in the file is known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WordError {
    /// The offending word or a part of it; empty for an error about the whole step.
    pub word: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl WordError {
    /// Creates an error about `word`; [`column_of`] finds its column later.
    pub fn new(word: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            word: word.into(),
            message: message.into(),
        }
    }
}

/// Splits a line into words at white space. Single or double quotes keep white space inside a word; a `#` at the start
/// of a word starts a comment.
///
/// # Errors
///
/// Returns a quote that is not closed on the line.
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

/// Returns the column of the first word after the verb that equals `text`, else of the first that contains it, else of
/// the verb.
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
