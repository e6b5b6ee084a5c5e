package org.apricotgauge.directory;

/** The decoded content of a published item. */
public sealed interface SiteChange {

    /** A version of the configuration. */
    record Configured(PublishedConfiguration configuration) implements SiteChange {}

    /** A target wrote its registration. */
    record Registered(Registration registration) implements SiteChange {}

    /** A target's registration was removed: the target left, or its heartbeats were missing. */
    record Unregistered(String name) implements SiteChange {}

    /**
     * A registration that names no valid target, for example because another writer overwrote it.
     * The target that was registered there receives no new work, since its present address is
     * unknown and it may no longer serve.
     */
    record InvalidRegistration(String name, String reason) implements SiteChange {}

    /** An item that the fleet does not use. */
    record Ignored(String key) implements SiteChange {}

    /** An item that cannot be decoded; its previous content stays in force. */
    record Unreadable(String key, String reason) implements SiteChange {}
}
