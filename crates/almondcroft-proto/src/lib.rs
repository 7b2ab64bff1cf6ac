//! Wire messages and codecs of almondcroft.
