package org.apricotgauge.model;

/**
 * What a configuration says of the whole site.
 *
 * <pre>{@code
 * SiteSettings settings = new SiteSettings(true);
 * }</pre>
 *
 * @param keysRequired whether requests need an API key, even if no member has one
 */
public record SiteSettings(boolean keysRequired) {}
