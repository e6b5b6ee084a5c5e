package org.apricotgauge.directory;

/** Decodes published items; implemented for each kind of platform. */
@FunctionalInterface
public interface SiteDecoder {

    /** Returns the content of an item. */
    SiteChange decode(PublishedItem item);
}
