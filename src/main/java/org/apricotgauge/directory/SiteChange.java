package org.apricotgauge.directory;

/** What one published item means. */
public sealed interface SiteChange {

    /** A version of the configuration. */
    record Configured(PublishedConfiguration configuration) implements SiteChange {}

    /** A target wrote its registration. */
    record Registered(Registration registration) implements SiteChange {}

    /** A target's registration is gone: it has left, or was silent for too long. */
    record Unregistered(String name) implements SiteChange {}

    /**
     * Somebody else wrote over a registration, or wrote one that names no target. Whatever was
     * registered there gets no new work: where it now serves, and whether it does, nobody says.
     */
    record InvalidRegistration(String name, String reason) implements SiteChange {}

    /** Of no interest to the fleet. */
    record Ignored(String key) implements SiteChange {}

    /** The item cannot be read; what was known before stays in force. */
    record Unreadable(String key, String reason) implements SiteChange {}
}
