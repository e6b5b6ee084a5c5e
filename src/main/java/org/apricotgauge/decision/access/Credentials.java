package org.apricotgauge.decision.access;

import org.apricotgauge.model.Checks;
import org.apricotgauge.model.KeyDigest;

/** The credentials of a request, which show the member that it comes from. */
public sealed interface Credentials {
    /** The request has no credentials. */
    Credentials NONE = new None();

    /** The request has credentials that are not a single API key. */
    Credentials UNREADABLE = new Unreadable();

    /** Returns the credentials of a request with an API key. */
    static Credentials ofKey(KeyDigest key) {
        return new Key(key);
    }

    /** No credentials. */
    record None() implements Credentials {}

    /** Credentials that are not a single API key. */
    record Unreadable() implements Credentials {}

    /** An API key. */
    record Key(KeyDigest digest) implements Credentials {
        /** Validates the component. */
        public Key {
            Checks.notNull("digest", digest);
        }
    }
}
