//! Sequential comparison of the rates of bad responses of two versions.
