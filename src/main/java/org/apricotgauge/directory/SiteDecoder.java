package org.apricotgauge.directory;

/** Reads the platform's items; implemented where the platform's names are known. */
@FunctionalInterface
public interface SiteDecoder {

    /** Returns what an item means. */
    SiteChange decode(PublishedItem item);
}
