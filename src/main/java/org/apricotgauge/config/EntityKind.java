package org.apricotgauge.config;

import java.util.Locale;

/** The kinds of things that a patch puts, removes or changes. */
public enum EntityKind {
    /** A service. */
    SERVICE,
    /** A target of a service. */
    TARGET,
    /** A route to a service. */
    ROUTE,
    /** A member. */
    MEMBER,
    /** The settings of the whole site. */
    SITE;

    /** Returns the name in lower case, as messages show it. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
