package org.apricotgauge.decision.access;

import org.apricotgauge.model.Checks;
import org.apricotgauge.model.KeyDigest;

/** What a request brings to show whom it comes from. */
public sealed interface Credentials {
    /** The request brings nothing. */
    Credentials NONE = new None();

    /** The request brings something that is no single API key. */
    Credentials UNREADABLE = new Unreadable();

    /** Returns the credentials of a request that brings a key. */
    static Credentials ofKey(KeyDigest key) {
        return new Key(key);
    }

    /** Nothing. */
    record None() implements Credentials {}

    /** Something that is no single API key. */
    record Unreadable() implements Credentials {}

    /** An API key. */
    record Key(KeyDigest digest) implements Credentials {
        /** Checks the part. */
        public Key {
            Checks.notNull("digest", digest);
        }
    }
}
