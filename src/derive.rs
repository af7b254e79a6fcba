//! The project's common derive sets.
//!
//! `record!` is for values that travel or are stored; `key!` is for small
//! `Copy` identifiers; `name!` is for shared, cheaply cloned names.

/// Derives the common set for values that travel between processes or are stored.
#[macro_export]
macro_rules! record {
    ($($item:item)*) => {
        $(
            #[derive(Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize)]
            #[serde(rename_all = "snake_case")]
            $item
        )*
    };
}

/// Derives the common set for small `Copy` identifiers and enumerations.
#[macro_export]
macro_rules! key {
    ($($item:item)*) => {
        $(
            #[derive(
                Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(rename_all = "snake_case")]
            $item
        )*
    };
}

/// Declares shared names: cheap to clone, ordered, and written as plain strings.
#[macro_export]
macro_rules! name {
    ($($(#[$meta:meta])* $name:ident;)*) => {
        $(
            $(#[$meta])*
            #[derive(
                Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash,
                ::serde::Serialize, ::serde::Deserialize,
            )]
            #[serde(transparent)]
            pub struct $name(::std::sync::Arc<str>);

            impl $name {
                /// The name as text.
                pub fn as_str(&self) -> &str {
                    &self.0
                }
            }

            impl Default for $name {
                fn default() -> Self {
                    Self::from("")
                }
            }

            impl<T> From<T> for $name
            where
                T: Into<::std::sync::Arc<str>>,
            {
                fn from(text: T) -> Self {
                    Self(text.into())
                }
            }

            impl ::std::fmt::Display for $name {
                fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
                    f.write_str(&self.0)
                }
            }
        )*
    };
}
