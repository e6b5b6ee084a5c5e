/**
 * What a platform publishes under keys: the configuration whole, and targets that register
 * themselves.
 *
 * <p>The decisions here are pure; {@link org.apricotgauge.directory.DirectoryFeed} alone has
 * timers.
 */
package org.apricotgauge.directory;
